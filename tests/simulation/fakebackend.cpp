#include "simulation/fakebackend.h"

#include "config/document.h"

#include <algorithm>

namespace Simulation {

namespace {

/** Difference between the initial sequence numbers of two connections. */
constexpr std::uint32_t kInitialSequenceStep = 100'003;

std::string
toString(absl::Span<const std::uint8_t> aData)
{
  return { aData.begin(), aData.end() };
}

} // namespace

FakeBackend::FakeBackend(std::string aTarget, std::vector<Run>& aRuns)
  : mTarget(std::move(aTarget))
  , mRuns(aRuns)
  , mLastInitialSequence(
      static_cast<std::uint32_t>(Config::identityOf(mTarget)))
{
}

Core::Duration
FakeBackend::workTime(const std::string& aRequest) const
{
  return mWorkTimeFunction ? mWorkTimeFunction(aRequest) : mWorkTime;
}

void
FakeBackend::handlePacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
{
  const auto packet =
    Packet::PacketView::parse(aData, Packet::Verify::HeadersAndPayload);
  if (!packet.ok() || mIsUnresponsive) {
    return;
  }
  if (packet->protocol() == Packet::Protocol::Tcp) {
    handleTcpPacket(*packet, aNow);
    return;
  }
  const auto text = toString(packet->payload());
  const auto flow = packet->flowFromCaller();
  mRuns.push_back({ mTarget, text, flow, aNow });
  queueUdpPacket(flow, text, aNow + workTime(text));
}

void
FakeBackend::handleTcpPacket(const Packet::PacketView& aPacket,
                             Core::TimePoint aNow)
{
  const auto flow = aPacket.flowFromCaller();
  if (aPacket.isSyn()) {
    auto [it, isNew] = mConnections.try_emplace(flow);
    if (isNew) {
      mLastInitialSequence += kInitialSequenceStep;
      it->second = { mLastInitialSequence, aPacket.sequence() + 1 };
    }
    queueTcpPacket(flow, Packet::kTcpSyn | Packet::kTcpAck, "", aNow);
    return;
  }
  const auto it = mConnections.find(flow);
  if (it == mConnections.end()) {
    if (!aPacket.hasFlag(Packet::kTcpRst)) {
      mQueuedPackets.push_back({ aNow, Packet::buildRefusal(aPacket) });
    }
    return;
  }
  const bool isNewData = !aPacket.payload().empty() &&
                         aPacket.sequence() == it->second.expectedSequence;
  if (isNewData) {
    const auto text = toString(aPacket.payload());
    it->second.expectedSequence += static_cast<std::uint32_t>(text.size());
    mRuns.push_back({ mTarget, text, flow, aNow });
    queueTcpPacket(flow, Packet::kTcpAck, text, aNow + workTime(text));
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    queueTcpPacket(flow, Packet::kTcpFin | Packet::kTcpAck, "", aNow);
    mConnections.erase(it);
  }
}

void
FakeBackend::queueUdpPacket(const Packet::FlowKey& aFlow,
                            const std::string& aText,
                            Core::TimePoint aDueAt)
{
  Packet::PacketBuilder builder(Packet::Protocol::Udp);
  builder.from(aFlow.service).to(aFlow.caller);
  mQueuedPackets.push_back(
    { aDueAt, builder.payload(absl::string_view(aText)).build() });
}

void
FakeBackend::queueTcpPacket(const Packet::FlowKey& aFlow,
                            std::uint8_t aFlags,
                            const std::string& aText,
                            Core::TimePoint aDueAt)
{
  const auto& connection = mConnections[aFlow];
  Packet::PacketBuilder builder(Packet::Protocol::Tcp);
  builder.from(aFlow.service).to(aFlow.caller).flags(aFlags);
  const bool hasSynFlag = (aFlags & Packet::kTcpSyn) != 0;
  builder.sequence(connection.initialSequence + (hasSynFlag ? 0 : 1))
    .acknowledgment(connection.expectedSequence);
  mQueuedPackets.push_back(
    { aDueAt, builder.payload(absl::string_view(aText)).build() });
}

std::vector<Packet::Bytes>
FakeBackend::takeDuePackets(Core::TimePoint aNow)
{
  std::vector<Packet::Bytes> due;
  std::erase_if(mQueuedPackets, [&](QueuedPacket& aQueued) {
    if (aQueued.dueAt > aNow) {
      return false;
    }
    due.push_back(std::move(aQueued.packet));
    return true;
  });
  return due;
}

std::vector<Packet::FlowKey>
FakeBackend::openFlows() const
{
  std::vector<Packet::FlowKey> flows;
  for (const auto& it : mConnections) {
    flows.push_back(it.first);
  }
  return flows;
}

} // namespace Simulation
