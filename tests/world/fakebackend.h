#pragma once

#include "core/clock.h"
#include "packet/packetbuilder.h"
#include "packet/packetview.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace World {

/** One request that a backend server ran. */
struct Run
{
  std::string target;
  std::string request;
  Packet::FlowKey flow;
  Core::TimePoint at;
};

/**
 * A backend server that runs each payload as one request and answers it after
 * its work time. It outlives its agent's restarts.
 */
class FakeBackend
{
public:
  FakeBackend(std::string aTarget, std::vector<Run>& aRuns);

  /** Tells the work time of a request. */
  using WorkOf = std::function<Core::Duration(const std::string& aRequest)>;

  void setWork(Core::Duration aWork) { mWork = aWork; }
  void setWorkOf(WorkOf aWorkOf) { mWorkOf = std::move(aWorkOf); }
  /** A deaf server takes packets and does nothing. */
  void setDeaf(bool aIsDeaf) { mIsDeaf = aIsDeaf; }

  void handlePacket(absl::Span<const std::uint8_t> aData, Core::TimePoint aNow);
  /** Packets that are due, to be handed to the agent. */
  std::vector<Packet::Bytes> takeDue(Core::TimePoint aNow);
  std::vector<Packet::FlowKey> heldFlows() const;

private:
  struct Answer
  {
    Core::TimePoint at;
    Packet::Bytes packet;
  };
  struct Connection
  {
    std::uint32_t sequence = 0;
    std::uint32_t expected = 0;
  };

  Core::Duration workOf(const std::string& aRequest) const;
  void handleTcp(const Packet::PacketView& aPacket, Core::TimePoint aNow);
  void answer(const Packet::FlowKey& aFlow,
              const std::string& aText,
              Core::TimePoint aAt);
  void answerTcp(const Packet::FlowKey& aFlow,
                 std::uint8_t aFlags,
                 const std::string& aText,
                 Core::TimePoint aAt);

  std::string mTarget;
  std::vector<Run>& mRuns;
  Core::Duration mWork = std::chrono::milliseconds(20);
  WorkOf mWorkOf;
  bool mIsDeaf = false;
  std::uint32_t mNextSequence;
  std::map<Packet::FlowKey, Connection> mConnections;
  std::vector<Answer> mAnswers;
};

} // namespace World
