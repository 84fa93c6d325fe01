#include "steering/waitestimate.h"

#include "steering/queuetime.h"

#include <algorithm>

namespace Steering {

WaitEstimate
estimateWait(absl::Span<const Candidate> aCandidates,
             std::size_t aTargetCount,
             Core::TimePoint aNow)
{
  using Milliseconds = std::chrono::milliseconds;
  WaitEstimate estimate;
  auto behindOnTime = Milliseconds::max();
  auto behindAll = Milliseconds::max();
  std::size_t reportCount = 0;
  for (const auto& candidate : aCandidates) {
    const auto& load = *candidate.load;
    if (load.reportedAt == Core::TimePoint{}) {
      continue;
    }
    ++reportCount;
    const auto serviceTime = load.reported.serviceTime;
    estimate.serviceTime += serviceTime;
    const auto slots = candidate.target->slots;
    const auto age =
      std::chrono::duration_cast<Milliseconds>(aNow - load.reportedAt);
    const auto remaining = [&](std::uint32_t aRequests) {
      return std::max(estimatedQueueTime(aRequests, slots, serviceTime) - age,
                      Milliseconds(0));
    };
    behindOnTime = std::min(behindOnTime, remaining(load.inProgress()));
    behindAll = std::min(behindAll, remaining(load.totalRequests()));
  }
  if (reportCount == 0) {
    return estimate;
  }
  estimate.serviceTime /= static_cast<std::int64_t>(reportCount);
  if (reportCount == aTargetCount) {
    estimate.behindOnTime = behindOnTime;
    estimate.behindAll = behindAll;
  }
  return estimate;
}

} // namespace Steering
