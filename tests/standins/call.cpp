#include "call.h"

#include <chrono>

namespace StandIns {

namespace {

constexpr int kMaxAttempts = 40;
constexpr int kMaxDatagrams = 12;
constexpr std::chrono::milliseconds kDatagramInterval{ 500 };
/** A TCP call that received no packet for this time is broken. */
constexpr std::chrono::seconds kStallTimeout{ 8 };
constexpr std::uint8_t kPortUnreachableCode = 3;

} // namespace

const char*
outcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Pending:
      return "pending";
    case Outcome::Completed:
      return "completed";
    case Outcome::Broken:
      return "broken";
    case Outcome::Misrouted:
      return "misrouted";
    case Outcome::Refused:
      return "refused";
    case Outcome::Unknown:
      return "unknown";
  }
  return "pending";
}

Call::Call(CallPlan aPlan, Send aSend)
  : mPlan(std::move(aPlan))
  , mSend(std::move(aSend))
{
}

bool
Call::isUdp() const
{
  return mPlan.serviceClass.protocol == Packet::Protocol::Udp;
}

void
Call::start(const Core::Endpoint& aCaller,
            std::uint32_t aFirstSequence,
            Core::TimePoint aNow)
{
  ++mAttempts;
  mIsRefused = false;
  mLastPacketAt = aNow;
  mPlan.caller = aCaller;
  mDatagramsSent = 0;
  if (isUdp()) {
    sendDatagram(aNow);
    return;
  }
  mConnection = std::make_unique<TcpConnection>(
    aCaller, mPlan.address, aFirstSequence, mSend);
  auto text = mPlan.request.toText();
  if (mPlan.request.verb == "UPLOAD") {
    text += bodyFor(mPlan.request.id, mPlan.request.amount);
  }
  mConnection->write(text, aNow);
  mConnection->open(aNow);
}

void
Call::sendDatagram(Core::TimePoint aNow)
{
  mSentAt = aNow;
  ++mDatagramsSent;
  Packet::PacketBuilder builder(Packet::Protocol::Udp);
  const auto text = mPlan.request.toText();
  builder.from(mPlan.caller).to(mPlan.address);
  mSend(builder.payload(absl::string_view(text)).build());
}

void
Call::handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow)
{
  mLastPacketAt = aNow;
  if (isUdp()) {
    handleDatagram(aPacket);
    return;
  }
  if (mConnection == nullptr || mOutcome != Outcome::Pending) {
    return;
  }
  mConnection->handlePacket(aPacket, aNow);
  readAnswers();
  if (mConnection->isPeerFinished()) {
    mConnection->finish(aNow);
  }
  checkEnd();
}

void
Call::handleDatagram(const Packet::PacketView& aPacket)
{
  const auto payload = aPacket.payload();
  std::string text(payload.begin(), payload.end());
  const auto line = takeLine(text);
  const auto answer = line ? AnswerLine::parse(*line) : std::nullopt;
  if (!answer || !checkAnswer(*answer)) {
    return;
  }
  if (mOutcome == Outcome::Completed) {
    mWasAnsweredTwice = answer->target != mAnsweringTarget;
    return;
  }
  const bool isComplete = text == bodyFor(answer->id, answer->bytes);
  mAnsweringTarget = answer->target;
  finish(isComplete);
}

void
Call::handleUnreachable(std::uint8_t aCode)
{
  if (mOutcome != Outcome::Pending) {
    return;
  }
  if (aCode == kPortUnreachableCode) {
    handleRefusal();
  } else {
    mOutcome = Outcome::Unknown;
  }
}

void
Call::finish(bool aIsComplete)
{
  if (aIsComplete) {
    mOutcome = Outcome::Completed;
  } else {
    markBroken("the answer is incomplete or wrong");
  }
}

void
Call::markBroken(const std::string& aCause)
{
  mOutcome = Outcome::Broken;
  mCause = aCause;
}

void
Call::handleRefusal()
{
  mIsRefused = mAttempts < kMaxAttempts;
  if (!mIsRefused) {
    mOutcome = Outcome::Refused;
  }
}

bool
Call::checkAnswer(const AnswerLine& aAnswer)
{
  const bool isExpected =
    aAnswer.service == mPlan.service && aAnswer.id == mPlan.request.id;
  if (!isExpected) {
    mOutcome = Outcome::Misrouted;
  }
  return isExpected;
}

void
Call::readAnswers()
{
  if (mPlan.request.verb == "STREAM") {
    readStreamMessages();
  } else {
    readAnswer();
  }
}

void
Call::readStreamMessages()
{
  while (const auto line = takeLine(mConnection->received())) {
    const auto answer = AnswerLine::parse(*line);
    if (!answer || !checkAnswer(*answer)) {
      return;
    }
    mAnsweringTarget = answer->target;
    // A missing or duplicate message breaks the stream.
    if (answer->bytes != ++mStreamMessages) {
      markBroken("a stream message is missing or duplicated");
      return;
    }
  }
}

void
Call::readAnswer()
{
  if (mAnswer) {
    return;
  }
  const auto line = takeLine(mConnection->received());
  if (!line) {
    return;
  }
  mAnswer = AnswerLine::parse(*line);
  if (mAnswer) {
    checkAnswer(*mAnswer);
  }
}

void
Call::checkEnd()
{
  if (mOutcome != Outcome::Pending) {
    return;
  }
  switch (mConnection->state()) {
    case TcpState::Refused:
      handleRefusal();
      return;
    case TcpState::Broken:
      markBroken("reset");
      return;
    case TcpState::Finished:
      break;
    default:
      return;
  }
  if (mPlan.request.verb == "STREAM") {
    const bool isComplete = mStreamMessages == mPlan.request.amount;
    finish(isComplete);
    return;
  }
  const bool isUpload = mPlan.request.verb == "UPLOAD";
  const auto body =
    isUpload ? std::string() : bodyFor(mPlan.request.id, mPlan.request.amount);
  const bool isComplete = mAnswer && mAnswer->bytes == mPlan.request.amount &&
                          mConnection->received() == body;
  finish(isComplete);
}

void
Call::tick(Core::TimePoint aNow)
{
  if (mOutcome != Outcome::Pending || mIsRefused) {
    return;
  }
  if (isUdp()) {
    if (aNow - mSentAt < kDatagramInterval) {
      return;
    }
    if (mDatagramsSent >= kMaxDatagrams) {
      mOutcome = Outcome::Unknown;
      return;
    }
    sendDatagram(aNow);
    return;
  }
  mConnection->tick(aNow);
  if (aNow - mLastPacketAt > kStallTimeout) {
    markBroken("stalled");
    return;
  }
  checkEnd();
}

} // namespace StandIns
