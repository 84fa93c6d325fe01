#include "flowsimulation/faketarget.h"

#include "platform/datagramfields.h"

#include <algorithm>
#include <utility>

namespace FlowTesting {

namespace {

constexpr std::chrono::milliseconds kInitialRetransmitDelay{ 200 };
constexpr std::chrono::milliseconds kMaxRetransmitDelay{ 1'600 };
constexpr int kColdFactorPercent = 160;

} // namespace

FakeTarget::FakeTarget(std::string aService,
                       std::string aName,
                       std::uint32_t aSlots,
                       std::uint32_t aFirstFlowNumber,
                       std::vector<RequestRun>& aRuns)
  : mService(std::move(aService))
  , mName(std::move(aName))
  , mSlots(aSlots)
  , mFlowNumber(aFirstFlowNumber)
  , mRuns(aRuns)
{
}

bool
FakeTarget::ownsFlow(const Packet::FlowKey& aFlow) const
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
      flow.sequence = ++mFlowNumber * 1'000;
    }
    return { PacketWriter::toCaller(key)
               .flags(kSyn | kAck)
               .sequence(flow.sequence)
               .write() };
  }
  if (it == mFlows.end()) {
    Bytes returned = aPacket;
    returned[Platform::Internal::kFlagsOffset] |= kReturned;
    return { returned };
  }
  return handleFlowPacket(it->second, *packet, aPacket, aNow);
}

std::vector<Bytes>
FakeTarget::handleFlowPacket(Flow& aFlow,
                             const Platform::Datagram& aPacket,
                             const Bytes& aBytes,
                             Core::TimePoint aNow)
{
  const auto key = aPacket.flowFromCaller();
  const bool isForThisTarget =
    aPacket.acknowledgment() > aFlow.sequence &&
    aPacket.acknowledgment() < aFlow.sequence + 1'000;
  if (!aFlow.isOpen && !isForThisTarget) {
    // The caller acknowledged the SYN-ACK of another backend server.
    Bytes returned = aBytes;
    returned[Platform::Internal::kFlagsOffset] |= kReturned;
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
  if (mIsResetting) {
    mFlows.erase(key);
    return { PacketWriter::toCaller(key).flags(kReset).write() };
  }
  if (aPacket.sequence() == aFlow.expectedSequence) {
    aFlow.expectedSequence += 1;
    recordRequest(aNow);
    mQueuedJobs.push_back({ key, payloadText(aBytes), {} });
    startJobs(aNow);
  }
  return { PacketWriter::toCaller(key).flags(kAck).write() };
}

void
FakeTarget::recordRequest(Core::TimePoint aNow)
{
  ++mRequestCount;
  mArrivals.push_back(aNow);
  while (aNow - mArrivals.front() > std::chrono::seconds(1)) {
    mArrivals.pop_front();
  }
  mIsSlowStartLimitExceeded |=
    mColdLimit > 0 && aNow < mColdUntil && mArrivals.size() > mColdLimit;
}

void
FakeTarget::startJobs(Core::TimePoint aNow)
{
  while (!mQueuedJobs.empty() && mRunningJobs.size() < mSlots) {
    auto job = std::move(mQueuedJobs.front());
    mQueuedJobs.pop_front();
    const auto time = aNow < mColdUntil
                        ? mProcessingTime * kColdFactorPercent / 100
                        : mProcessingTime;
    job.doneAt = aNow + time;
    mRuns.push_back({ mService, mName, job.request });
    mRunningJobs.push_back(std::move(job));
  }
  mPeakJobCount =
    std::max(mPeakJobCount, mRunningJobs.size() + mQueuedJobs.size());
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
                  .sequence(flow.sequence + flow.expectedSequence - 1)
                  .payload("done " + aJob.request)
                  .write();
  flow.retransmitAt = aNow;
  flow.retransmitDelay = kInitialRetransmitDelay;
}

std::vector<Bytes>
FakeTarget::takeDuePackets(Core::TimePoint aNow)
{
  std::vector<Bytes> due;
  std::vector<Job> done;
  std::erase_if(mRunningJobs, [&done, aNow](const Job& aJob) {
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
    if (flow.answer && flow.retransmitAt <= aNow) {
      due.push_back(*flow.answer);
      flow.retransmitAt = aNow + flow.retransmitDelay;
      flow.retransmitDelay =
        std::min<Core::Duration>(flow.retransmitDelay * 2, kMaxRetransmitDelay);
    }
  }
  return due;
}

} // namespace FlowTesting
