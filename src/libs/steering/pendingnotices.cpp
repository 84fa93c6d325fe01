#include "steering/pendingnotices.h"

#include <limits>

namespace Steering {

void
PendingNotices::add(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  std::erase_if(mNotices, [&aAgent](const Notice& aNotice) {
    return aNotice.agent == aAgent;
  });
  mNotices.push_back({ aAgent, aNow, 0 });
}

void
PendingNotices::confirm(const Core::Endpoint& aAgent, SendTime aSendTime)
{
  std::erase_if(mNotices, [&](const Notice& aNotice) {
    // Send times are modulo 2^32, so a greater half stands for earlier ones.
    constexpr auto kHalf = std::numeric_limits<std::uint32_t>::max() / 2;
    const auto later = aSendTime.count() - toSendTime(aNotice.toldAt).count();
    return aNotice.agent == aAgent && later <= kHalf;
  });
}

std::vector<Core::Endpoint>
PendingNotices::takeDue(Core::TimePoint aNow)
{
  std::vector<Core::Endpoint> agents;
  for (auto& notice : mNotices) {
    if (aNow - notice.toldAt >= kInterval * (notice.repetitionCount + 1)) {
      ++notice.repetitionCount;
      agents.push_back(notice.agent);
    }
  }
  std::erase_if(mNotices, [](const Notice& aNotice) {
    return aNotice.repetitionCount == kMaxRepetitions;
  });
  return agents;
}

} // namespace Steering
