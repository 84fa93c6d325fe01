#pragma once

#include "requesttext.h"
#include "tcpconnection.h"

#include "config/document.h"

#include <cstdint>
#include <memory>
#include <string>

namespace StandIns {

enum class Outcome
{
  Pending,
  Completed,
  /** Reset or stalled, or the answer is incomplete or wrong. */
  Broken,
  /** Answered by another service or with the answer to another request. */
  Misrouted,
  /** Refused as not run on every attempt. */
  Refused,
  /**
   * It is unclear whether the request ran: an ICMP message other than "port
   * unreachable" arrived, or no datagram was answered.
   */
  Unknown,
};

const char*
outcomeName(Outcome aOutcome);

/** The request of a call, its caller and its destination. */
struct CallPlan
{
  std::string service;
  Config::ServiceClass serviceClass;
  RequestLine request;
  Core::Endpoint caller;
  Core::Endpoint address;
};

/** One request of a caller. Each attempt after a refusal uses a new flow. */
class Call
{
public:
  using Send = TcpConnection::Send;

  Call(CallPlan aPlan, Send aSend);

  /** Starts an attempt on a new flow from aCaller. */
  void start(const Core::Endpoint& aCaller,
             std::uint32_t aFirstSequence,
             Core::TimePoint aNow);
  void handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow);
  /** Handles ICMP destination unreachable; aCode is defined by RFC 792. */
  void handleUnreachable(std::uint8_t aCode);
  void tick(Core::TimePoint aNow);
  void giveUp() { markBroken("not finished at the end of the run"); }

  const CallPlan& plan() const { return mPlan; }
  Outcome outcome() const { return mOutcome; }
  bool wasAnsweredTwice() const { return mWasAnsweredTwice; }
  int attempts() const { return mAttempts; }
  const std::string& answeringTarget() const { return mAnsweringTarget; }
  /** Reason for Outcome::Broken; empty for other outcomes. */
  const std::string& cause() const { return mCause; }
  /** True if the flow was refused and another attempt is allowed. */
  bool wantsRetry() const { return mIsRefused; }

private:
  bool isUdp() const;
  void sendDatagram(Core::TimePoint aNow);
  void handleDatagram(const Packet::PacketView& aPacket);
  void readAnswers();
  void readStreamMessages();
  void readAnswer();
  bool checkAnswer(const AnswerLine& aAnswer);
  void checkEnd();
  void handleRefusal();
  void finish(bool aIsComplete);
  void markBroken(const std::string& aCause);

  CallPlan mPlan;
  Send mSend;
  std::unique_ptr<TcpConnection> mConnection;
  Outcome mOutcome = Outcome::Pending;
  std::optional<AnswerLine> mAnswer;
  std::string mAnsweringTarget;
  std::string mCause;
  std::uint64_t mStreamMessages = 0;
  bool mIsRefused = false;
  bool mWasAnsweredTwice = false;
  int mAttempts = 0;
  int mDatagramsSent = 0;
  Core::TimePoint mSentAt{};
  Core::TimePoint mLastPacketAt{};
};

} // namespace StandIns
