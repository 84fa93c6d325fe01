#pragma once

#include "steering/callersequence.h"
#include "steering/flowreuse.h"
#include "steering/servicetimeestimator.h"

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace Steering {

/** State of the newest request of a flow. */
enum class RequestState : std::uint8_t
{
  /** There is no request, or it was answered. */
  None,
  /** The flow was admitted; its first request has not arrived yet. */
  Expected,
  /** The request is queued at the agent until a slot is free. */
  Queued,
  /** The backend server has the request and has not answered yet. */
  Delivered,
};

/** An agent's record of a flow of its backend server. */
struct TargetFlow
{
  /** The balancer that sent the last packet. */
  Core::Endpoint balancer;
  Core::TimePoint lastPacketAt{};
  /** When the request was delivered. */
  Core::TimePoint deliveredAt{};
  /** When the backend server had a slot for the request. */
  Core::TimePoint startedAt{};
  /** Start of the caller's waiting time for the flow, as far as known. */
  Core::TimePoint waitingSince{};
  /**
   * When the newest request took its place in the slow-start window; null if it
   * has none. The first request gets its place with the SYN.
   */
  Core::TimePoint slowStartPlaceAt{};
  /**
   * Sequence number of the first byte of the first answer, until a byte of it
   * has been seen; std::nullopt if this agent did not see the SYN-ACK.
   */
  std::optional<std::uint32_t> answerSequence;
  std::uint32_t lastCallerSequence = 0;
  CallerSequence callerSequence;
  /** Class of the newest request. */
  RequestClass requestClass = 0;
  RequestState request = RequestState::None;
  bool isLongLived = false;
  /** The backend server got a request. */
  bool hasRequest = false;
  /** The backend server got a second request of a long-lived flow. */
  bool isReused = false;
  /** The backend server has sent a packet of the flow. */
  bool isConfirmed = false;
  bool hasCallerData = false;
  /**
   * The caller has sent a FIN, so it has most likely left; or either side has
   * reset the flow.
   */
  bool hasCallerClosed = false;
  bool wantsOwnerNotice = false;
  /**
   * The backend server closed the flow, or either side reset it. Further
   * packets have no effect on the load.
   */
  bool isEnded = false;

  /** The backend server owns the flow, as far as its packets show. */
  bool isOpen() const { return isConfirmed && !isEnded; }
};

/**
 * The flows of one backend server, as seen by its agent, and the resulting
 * load. A request is in progress from its delivery to the first data of the
 * answer. The first request of a flow that was admitted on time is in progress
 * from the admission. Used by one thread.
 */
class TargetFlowTable
{
public:
  /**
   * Time after which an admitted flow without a request releases its slot: the
   * caller used another answer or gave up. Five round trips between zones.
   */
  static constexpr std::chrono::milliseconds kFirstRequestTimeout{ 100 };
  /** Time after which the caller of an unanswered request has given up. */
  static constexpr std::chrono::seconds kAnswerTimeout{ 10 };
  /**
   * How long a flow without packets is kept. No flow is older than a minute on
   * the supported platforms, and the idle timeout may be as long.
   */
  static constexpr std::chrono::seconds kIdleTimeout{ 60 };
  /**
   * How long a flow is kept after both sides have closed it, or one has reset
   * it. Retransmissions of its last packets arrive within two retransmission
   * intervals.
   */
  static constexpr std::chrono::seconds kEndedFlowRetention{ 4 };
  static constexpr std::chrono::seconds kSweepInterval{ 1 };
  /**
   * Open flows that the backend server returns in succession, without an answer
   * between them, when it has been restarted.
   */
  static constexpr int kRestartThreshold = 2;

  TargetFlow* find(const Packet::FlowKey& aFlow);
  /** Returns the flow, which is added if new, with lastPacketAt set to aNow. */
  TargetFlow& touch(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  /**
   * Marks the flow as one that carries many requests, if aIsLongLived is true.
   * The mark stays until the flow ends.
   */
  void setLongLived(TargetFlow& aFlow, bool aIsLongLived);
  /** Reserves a slot for the first request of a flow that was just admitted. */
  void expectRequest(const Packet::FlowKey& aKey,
                     TargetFlow& aFlow,
                     Core::TimePoint aNow);
  /** Returns true for new data, false for a retransmission. */
  static bool recordCallerData(TargetFlow& aFlow, std::uint32_t aSequence);
  void markQueued(TargetFlow& aFlow);
  /**
   * Records that the backend server got the flow's request. It works on aSlots
   * requests at a time, so a request in excess of them starts with the next
   * answer.
   */
  void markDelivered(const Packet::FlowKey& aKey,
                     TargetFlow& aFlow,
                     std::uint32_t aSlots,
                     Core::TimePoint aNow);
  void recordAnswer(TargetFlow& aFlow, Core::TimePoint aNow);
  /**
   * Records that the backend server returned a packet of the flow. A backend
   * server that returns open flows was restarted; its speed is learned anew.
   */
  void recordReturned(const TargetFlow& aFlow);
  /**
   * Marks the flow as closed by the backend server, and releases its slot. The
   * caller may still send packets.
   */
  void markEnded(TargetFlow& aFlow);
  /** Marks the flow as reset by either side, and releases its slot. */
  void markReset(TargetFlow& aFlow);
  /**
   * Removes the flow's newest request, which was not delivered, and its load.
   * The flow stays open; a retransmission of the request counts as a new one.
   */
  void forgetRequest(TargetFlow& aFlow);
  void erase(const Packet::FlowKey& aFlow);
  /**
   * Releases the slots of requests that did not arrive or were not answered in
   * time, and removes idle and ended flows.
   */
  void expire(Core::TimePoint aNow);

  /** Requests that the backend server has. */
  std::uint32_t delivered() const { return mDelivered; }
  /** Requests that the backend server has or is expected to get shortly. */
  std::uint32_t inProgress() const { return mDelivered + mExpected; }
  /**
   * Open flows that are expected to carry further requests: those marked as
   * long-lived, or, if callers do not reuse such flows, those that were reused.
   */
  std::uint32_t longLivedFlows() const
  {
    return mFlowReuse.areFlowsReused() ? mLongLivedFlows : mReusedFlows;
  }
  /** Mean time to answer a request, or an initial value. */
  std::chrono::milliseconds serviceTime() const;
  /** Mean time to answer a request for load reports; 0 if it is not known. */
  std::chrono::milliseconds reportedServiceTime() const
  {
    return mServiceTime.reportedMean();
  }
  std::size_t size() const { return mFlows.size(); }

private:
  struct AdmittedFlow
  {
    Core::TimePoint admittedAt;
    Packet::FlowKey key;
  };

  void releaseUnusedSlots(Core::TimePoint aNow);
  void sweep(Core::TimePoint aNow);
  void recordReuse(TargetFlow& aFlow);
  void removeLoad(TargetFlow& aFlow);
  void setRequest(TargetFlow& aFlow, RequestState aState);
  /** A slot is free for the next request delivered in excess of the slots. */
  void startNext(Core::TimePoint aNow);

  absl::flat_hash_map<Packet::FlowKey, TargetFlow> mFlows;
  /** In order of admission. */
  std::deque<AdmittedFlow> mAdmittedFlows;
  /** Flows whose request was delivered in excess of the slots, in order. */
  std::deque<Packet::FlowKey> mUnstarted;
  std::uint32_t mExpected = 0;
  std::uint32_t mDelivered = 0;
  std::uint32_t mLongLivedFlows = 0;
  /** The long-lived flows that got a second request. */
  std::uint32_t mReusedFlows = 0;
  FlowReuse mFlowReuse;
  ServiceTimeEstimator mServiceTime;
  /** Open flows that were returned since the last answer. */
  int mReturnedOpenFlows = 0;
  Core::TimePoint mLastSweepAt{};
};

} // namespace Steering
