#include "flowworld/faketarget.h"

#include "platform/datagramfields.h"

#include <algorithm>
#include <utility>

namespace FlowWorld {

namespace {

constexpr std::chrono::milliseconds kFirstResend{ 200 };
constexpr std::chrono::milliseconds kMostResend{ 1'600 };

} // namespace

FakeTarget::FakeTarget(std::string aService,
                       std::string aName,
                       std::uint32_t aSlots,
                       std::uint32_t aFirstSequence,
                       std::vector<FlowRun>& aRuns)
  : mService(std::move(aService))
  , mName(std::move(aName))
  , mSlots(aSlots)
  , mNextSequence(aFirstSequence)
  , mRuns(aRuns)
{
}

bool
FakeTarget::holds(const Packet::FlowKey& aFlow) const
{
  const auto it = mFlows.find(aFlow);
  return it != mFlows.end() && it->second.isOpen;
}

std::vector<Bytes>
FakeTarget::handlePacket(const Bytes& aPacket, Core::TimePoint aNow)
{
  const auto packet = Platform::Datagram::parse(aPacket);
  const auto key = packet->flowFromCaller();
  const auto it = mFlows.find(key);
  if (packet->isSyn()) {
    auto& flow = it != mFlows.end() ? it->second : mFlows[key];
    if (flow.sequence == 0) {
      flow.sequence = ++mNextSequence * 1'000;
    }
    return { PacketWriter::toCaller(key)
               .flags(kSyn | kAck)
               .sequence(flow.sequence)
               .write() };
  }
  if (it == mFlows.end()) {
    Bytes returned = aPacket;
    returned[Platform::Internal::kFlagsOffset] |= kBounced;
    return { returned };
  }
  return handleHeld(it->second, *packet, aPacket, aNow);
}

std::vector<Bytes>
FakeTarget::handleHeld(Flow& aFlow,
                       const Platform::Datagram& aPacket,
                       const Bytes& aBytes,
                       Core::TimePoint aNow)
{
  const auto key = aPacket.flowFromCaller();
  const bool isMine = aPacket.acknowledgment() > aFlow.sequence &&
                      aPacket.acknowledgment() < aFlow.sequence + 1'000;
  if (!aFlow.isOpen && !isMine) {
    // The caller acknowledged another backend server.
    Bytes returned = aBytes;
    returned[Platform::Internal::kFlagsOffset] |= kBounced;
    mFlows.erase(key);
    return { returned };
  }
  aFlow.isOpen = true;
  if (aPacket.acknowledgment() > aFlow.sequence + 1) {
    aFlow.answer.reset();
  }
  if (aPacket.isReset() || aPacket.isFin()) {
    mFlows.erase(key);
    return {};
  }
  if (!aPacket.hasPayload()) {
    return {};
  }
  if (aPacket.sequence() == aFlow.expected) {
    aFlow.expected += 1;
    mWaiting.push_back({ key, dataOf(aBytes), {} });
    startJobs(aNow);
  }
  return { PacketWriter::toCaller(key).flags(kAck).write() };
}

void
FakeTarget::startJobs(Core::TimePoint aNow)
{
  while (!mWaiting.empty() && mRunning.size() < mSlots) {
    auto job = std::move(mWaiting.front());
    mWaiting.pop_front();
    job.doneAt = aNow + mWork;
    mRuns.push_back({ mService, mName, job.request });
    mRunning.push_back(std::move(job));
  }
  mMostRunning = std::max(mMostRunning, mRunning.size() + mWaiting.size());
}

void
FakeTarget::finishJob(const Job& aJob, Core::TimePoint aNow)
{
  const auto it = mFlows.find(aJob.flow);
  if (it == mFlows.end()) {
    return;
  }
  auto& flow = it->second;
  flow.answer = PacketWriter::toCaller(aJob.flow)
                  .flags(kAck)
                  .sequence(flow.sequence + flow.expected - 1)
                  .data("done " + aJob.request)
                  .write();
  flow.resendAt = aNow;
  flow.resendAfter = kFirstResend;
}

std::vector<Bytes>
FakeTarget::takeDue(Core::TimePoint aNow)
{
  std::vector<Bytes> due;
  std::vector<Job> done;
  std::erase_if(mRunning, [&done, aNow](const Job& aJob) {
    if (aJob.doneAt <= aNow) {
      done.push_back(aJob);
    }
    return aJob.doneAt <= aNow;
  });
  for (const auto& job : done) {
    finishJob(job, aNow);
  }
  startJobs(aNow);
  for (auto& [key, flow] : mFlows) {
    if (flow.answer && flow.resendAt <= aNow) {
      due.push_back(*flow.answer);
      flow.resendAt = aNow + flow.resendAfter;
      flow.resendAfter =
        std::min<Core::Duration>(flow.resendAfter * 2, kMostResend);
    }
  }
  return due;
}

} // namespace FlowWorld
