#include "steering/flowreuse.h"

namespace Steering {

void
FlowReuse::recordSecondRequest()
{
  record(1);
}

void
FlowReuse::recordSingleRequest()
{
  record(0);
}

void
FlowReuse::record(double aValue)
{
  constexpr double kSmoothingFactor = 0.05;
  mReusedShare += kSmoothingFactor * (aValue - mReusedShare);
}

} // namespace Steering
