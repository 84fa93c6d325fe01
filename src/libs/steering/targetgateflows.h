#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>

namespace Steering {

/** Where the newest request of a flow stands. */
enum class RequestState : std::uint8_t
{
  /** There is none, or it was answered. */
  None,
  /** The flow was opened for it; it comes next. */
  Expected,
  /** It waits at the agent for a slot. */
  Held,
  /** The backend server has it and did not answer. */
  Delivered,
};

/** What an agent knows of a flow of its backend server. */
struct GatedFlow
{
  /** The balancer that sent the last packet. */
  Core::Endpoint balancer;
  Core::TimePoint lastPacketAt{};
  /** When the request was delivered. */
  Core::TimePoint deliveredAt{};
  /** When the caller began to wait for the flow, as far as known. */
  Core::TimePoint startedAt{};
  std::uint32_t lastCallerSequence = 0;
  RequestState request = RequestState::None;
  bool isLong = false;
  /** The backend server sent a packet of it. */
  bool isConfirmed = false;
  bool hasCallerData = false;
  bool wantsNotice = false;
  /** The backend server closed or reset it; late packets count no more. */
  bool isEnded = false;
};

/**
 * The flows of one backend server, as its agent sees them pass, and the load
 * that follows from them: a request is with the backend server from the
 * caller's data to the first data of the answer. Used by one thread.
 */
class TargetGateFlows
{
public:
  /**
   * A flow that does not send its first request holds no slot for longer: its
   * caller took another answer, or gave up. Five round trips between zones.
   */
  static constexpr std::chrono::milliseconds kRequestPatience{ 100 };
  /** A request without an answer for so long is over for its caller. */
  static constexpr std::chrono::seconds kRequestLimit{ 10 };
  /** Backend servers close a flow that is idle for less. */
  static constexpr std::chrono::seconds kIdleTime{ 30 };
  /** Copies of a flow's last packets come within two retransmissions. */
  static constexpr std::chrono::seconds kEndedTime{ 4 };
  static constexpr std::chrono::seconds kSweepInterval{ 1 };
  /** Taken for the time of a request until some were measured. */
  static constexpr std::chrono::milliseconds kFirstServiceTime{ 50 };

  GatedFlow* find(const Packet::FlowKey& aFlow);
  GatedFlow& touch(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  /** The flow is of a class that keeps flows open. */
  void noteLong(GatedFlow& aFlow, bool aIsLong);
  /** A new flow is delivered; its first request takes a slot from now on. */
  void expectRequest(const Packet::FlowKey& aKey,
                     GatedFlow& aFlow,
                     Core::TimePoint aNow);
  /** Notes data of the caller; true for data that did not come before. */
  static bool noteCallerData(GatedFlow& aFlow, std::uint32_t aSequence);
  /** The request waits at the agent. */
  void noteHeld(GatedFlow& aFlow);
  void noteDelivered(GatedFlow& aFlow, Core::TimePoint aNow);
  void noteAnswer(GatedFlow& aFlow, Core::TimePoint aNow);
  /** The backend server ended the flow. */
  void noteEnd(GatedFlow& aFlow);
  void erase(const Packet::FlowKey& aFlow);
  /** Gives slots back that nobody will use; forgets idle flows. */
  void expire(Core::TimePoint aNow);

  /** Requests that the backend server has. */
  std::uint32_t delivered() const { return mDelivered; }
  /** Requests that the backend server has or will have in a moment. */
  std::uint32_t inProgress() const { return mDelivered + mExpected; }
  std::uint32_t longFlows() const { return mLongFlows; }
  std::chrono::milliseconds serviceTime() const;
  std::size_t size() const { return mFlows.size(); }

private:
  struct Opened
  {
    Core::TimePoint at;
    Packet::FlowKey flow;
  };

  void endUnused(Core::TimePoint aNow);
  void sweep(Core::TimePoint aNow);
  void setRequest(GatedFlow& aFlow, RequestState aState);

  absl::flat_hash_map<Packet::FlowKey, GatedFlow> mFlows;
  /** Flows that were opened, in that order. */
  std::deque<Opened> mOpened;
  std::uint32_t mExpected = 0;
  std::uint32_t mDelivered = 0;
  std::uint32_t mLongFlows = 0;
  /** Smoothed time from delivery to answer. */
  std::chrono::duration<double, std::milli> mServiceTime{ kFirstServiceTime };
  Core::TimePoint mSweptAt{};
};

} // namespace Steering
