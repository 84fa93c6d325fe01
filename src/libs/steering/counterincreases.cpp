#include "steering/counterincreases.h"

namespace Steering {

void
CounterIncreases::addTo(Telemetry::EventFields& aFields) const
{
  for (std::size_t i = 0; i < mShown.size(); ++i) {
    const auto increase = mCounters.value(mShown[i]) - mPreviousValues[i];
    if (increase > 0) {
      aFields.add(nameOf(mShown[i]).c_str(), increase);
    }
  }
}

void
CounterIncreases::restart()
{
  for (std::size_t i = 0; i < mShown.size(); ++i) {
    mPreviousValues[i] = mCounters.value(mShown[i]);
  }
}

} // namespace Steering
