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
  /** Established and then cut, stalled, or answered in part. */
  Broken,
  /** Answered by another service, or with another request's answer. */
  Misrouted,
  /** Refused as not run, as often as it was tried. */
  Refused,
  /** Given up on by the system, which does not know whether it ran. */
  Unknown,
};

const char*
nameOf(Outcome aOutcome);

/** What one call is about. */
struct CallPlan
{
  std::string service;
  Config::ServiceClass serviceClass;
  RequestLine request;
  Core::Endpoint caller;
  Core::Endpoint address;
};

/** One request of a caller, over as many flows as it is refused. */
class Call
{
public:
  using Send = TcpConnection::Send;

  Call(CallPlan aPlan, Send aSend);

  /** Starts a new flow from the given end. */
  void start(const Core::Endpoint& aCaller,
             std::uint32_t aFirstSequence,
             Core::TimePoint aNow);
  void handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow);
  /** An ICMP message about the flow; the code as in RFC 792. */
  void handleUnreachable(std::uint8_t aCode);
  void tick(Core::TimePoint aNow);
  void giveUp() { breakOff("not done at the end of the test"); }

  const CallPlan& plan() const { return mPlan; }
  Outcome outcome() const { return mOutcome; }
  bool wasAnsweredTwice() const { return mWasAnsweredTwice; }
  int attempts() const { return mAttempts; }
  const std::string& answeringTarget() const { return mAnsweringTarget; }
  /** Why the call is broken; empty otherwise. */
  const std::string& cause() const { return mCause; }
  /** True when the flow was refused and a new one may be tried. */
  bool wantsRetry() const { return mIsRefused; }

private:
  bool isUdp() const;
  void sendDatagram(Core::TimePoint aNow);
  void handleDatagram(const Packet::PacketView& aPacket);
  void readAnswers();
  void readBeats();
  void readAnswer();
  bool checkAnswer(const AnswerLine& aAnswer);
  void checkEnd();
  void refuse();
  void finish(bool aIsWhole);
  void breakOff(const std::string& aCause);

  CallPlan mPlan;
  Send mSend;
  std::unique_ptr<TcpConnection> mConnection;
  Outcome mOutcome = Outcome::Pending;
  std::optional<AnswerLine> mAnswer;
  std::string mAnsweringTarget;
  std::string mCause;
  std::uint64_t mBeats = 0;
  bool mIsRefused = false;
  bool mWasAnsweredTwice = false;
  int mAttempts = 0;
  int mDatagramsSent = 0;
  Core::TimePoint mSentAt{};
  Core::TimePoint mProgressAt{};
};

} // namespace StandIns
