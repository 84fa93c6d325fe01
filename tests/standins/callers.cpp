#include "commands.h"

#include "call.h"
#include "guesender.h"

#include "config/documentparser.h"
#include "core/systemclock.h"
#include "packet/byteorder.h"

#include <absl/strings/str_cat.h>
#include <json/value.h>
#include <json/writer.h>

#include <poll.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <vector>

namespace StandIns {

namespace {

constexpr int kPollMilliseconds = 5;
/** Time for pending calls to end after the last new call. */
constexpr std::chrono::seconds kDrainTimeout{ 30 };
constexpr std::chrono::milliseconds kStreamMessageInterval{ 100 };
constexpr std::chrono::milliseconds kRetryDelay{ 100 };
constexpr std::uint16_t kMinCallerPort = 1024;
constexpr std::size_t kAnswerBytes = 3000;
constexpr std::size_t kUploadBytes = 60'000;
constexpr std::uint64_t kMeanWorkMilliseconds = 60;

struct RefusedCall
{
  std::size_t callIndex;
  Core::TimePoint retryAt;
};

/** Generates calls to each service class of a document; keeps the outcomes. */
class CallGenerator
{
public:
  CallGenerator(const Config::Document& aDocument,
                GueSender& aSender,
                unsigned aSeed)
    : mDocument(aDocument)
    , mSender(aSender)
    , mRandom(aSeed)
  {
  }

  /**
   * Starts the calls that are due: aRate requests per second for each request
   * class, and aStreams streams for each stream class.
   */
  void generate(unsigned aRate,
                unsigned aStreams,
                std::chrono::milliseconds aElapsed,
                std::chrono::milliseconds aDuration,
                Core::TimePoint aNow)
  {
    for (const auto& service : mDocument.services) {
      for (const auto& serviceClass : service.classes) {
        auto& callCount =
          mCallCounts[absl::StrCat(service.name, "/", serviceClass.name)];
        const bool isStream =
          serviceClass.resource == Config::Resource::Connection;
        const auto dueCount =
          isStream
            ? streamsDue(aStreams, aElapsed)
            : static_cast<std::uint64_t>(aRate * aElapsed.count() / 1000);
        for (; callCount < dueCount; ++callCount) {
          makeCall(
            service, serviceClass, callCount, aDuration - aElapsed, aNow);
        }
      }
    }
  }

  void handleDatagram(absl::Span<const std::uint8_t> aDatagram,
                      Core::TimePoint aNow)
  {
    const auto gue = Packet::GuePacket::parse(aDatagram);
    if (!gue.ok()) {
      return;
    }
    const auto packet =
      Packet::PacketView::parse(gue->body, Packet::Verify::HeadersAndPayload);
    if (packet.ok()) {
      const auto it = mCallIndexByFlow.find(packet->flowFromBackend());
      // Packets of previous flows of the call are ignored.
      const bool isCurrent =
        it != mCallIndexByFlow.end() &&
        mCalls[it->second]->plan().caller == packet->destination();
      if (isCurrent) {
        mCalls[it->second]->handlePacket(*packet, aNow);
        scheduleRetryIfRefused(it->second, aNow);
      }
      return;
    }
    handleIcmp(gue->body, aNow);
  }

  void tick(Core::TimePoint aNow)
  {
    std::erase_if(mPendingCalls, [this, aNow](std::size_t aCallIndex) {
      mCalls[aCallIndex]->tick(aNow);
      scheduleRetryIfRefused(aCallIndex, aNow);
      return mCalls[aCallIndex]->outcome() != Outcome::Pending;
    });
    const auto refused = std::exchange(mRefusedCalls, {});
    for (const auto& refusedCall : refused) {
      if (refusedCall.retryAt <= aNow) {
        startFlow(refusedCall.callIndex, aNow);
      } else {
        mRefusedCalls.push_back(refusedCall);
      }
    }
  }

  std::size_t pendingCount() const { return mPendingCalls.size(); }

  void giveUpPending()
  {
    for (auto& call : mCalls) {
      if (call->outcome() == Outcome::Pending) {
        call->giveUp();
      }
    }
  }

  Json::Value result() const
  {
    Json::Value calls(Json::arrayValue);
    for (const auto& call : mCalls) {
      Json::Value entry;
      entry["id"] = call->plan().request.id;
      entry["verb"] = call->plan().request.verb;
      entry["service"] = call->plan().service;
      entry["class"] = call->plan().serviceClass.name;
      entry["idempotent"] = call->plan().serviceClass.idempotent;
      entry["outcome"] = outcomeName(call->outcome());
      entry["answeredTwice"] = call->wasAnsweredTwice();
      entry["cause"] = call->cause();
      entry["target"] = call->answeringTarget();
      entry["caller"] = Core::formatEndpoint(call->plan().caller);
      entry["attempts"] = call->attempts();
      calls.append(entry);
    }
    Json::Value page;
    page["calls"] = calls;
    page["foreignPackets"] = Json::Value::UInt64(mForeignPackets);
    return page;
  }

private:
  /** Number of streams that are due; all are opened in the first second. */
  static std::uint64_t streamsDue(unsigned aStreams,
                                  std::chrono::milliseconds aElapsed)
  {
    const auto share = std::min<std::int64_t>(aElapsed.count(), 1000);
    return aStreams * share / 1000;
  }

  void makeCall(const Config::Service& aService,
                const Config::ServiceClass& aClass,
                std::uint64_t aNumber,
                std::chrono::milliseconds aRemaining,
                Core::TimePoint aNow)
  {
    CallPlan plan;
    plan.service = aService.name;
    plan.serviceClass = aClass;
    plan.address = { aService.address, aClass.port };
    plan.request.id =
      absl::StrCat(aService.name, "-", aClass.name, "-", aNumber);
    std::exponential_distribution<double> work(1.0 / kMeanWorkMilliseconds);
    plan.request.workMilliseconds =
      static_cast<std::uint64_t>(work(mRandom)) + 1;
    if (aClass.resource == Config::Resource::Connection) {
      plan.request.verb = "STREAM";
      plan.request.workMilliseconds = kStreamMessageInterval.count();
      plan.request.amount = std::max<std::int64_t>(
        1, aRemaining.count() / kStreamMessageInterval.count());
    } else if (aClass.protocol == Packet::Protocol::Udp) {
      plan.request.verb = "CLAIM";
      plan.request.amount = 100;
    } else if (!aClass.idempotent) {
      plan.request.verb = "CLAIM";
      plan.request.amount = kAnswerBytes;
    } else if (aClass.name == "upload") {
      plan.request.verb = "UPLOAD";
      plan.request.amount = kUploadBytes;
    } else {
      plan.request.verb = "REQUEST";
      plan.request.amount = kAnswerBytes;
    }
    mCalls.push_back(std::make_unique<Call>(
      std::move(plan),
      [this](const Packet::Bytes& aBytes) { mSender.send(aBytes); }));
    mPendingCalls.push_back(mCalls.size() - 1);
    startFlow(mCalls.size() - 1, aNow);
  }

  void startFlow(std::size_t aCallIndex, Core::TimePoint aNow)
  {
    auto& call = *mCalls[aCallIndex];
    Packet::FlowKey flow;
    flow.service = call.plan().address;
    flow.protocol = call.plan().serviceClass.protocol;
    do {
      flow.caller = randomCaller();
    } while (mCallIndexByFlow.contains(flow));
    mCallIndexByFlow[flow] = aCallIndex;
    call.start(flow.caller, static_cast<std::uint32_t>(mRandom()), aNow);
  }

  Core::Endpoint randomCaller()
  {
    const auto& members = mDocument.members;
    const auto& member = members[mRandom() % members.size()];
    const auto host =
      static_cast<std::uint32_t>(mRandom()) >> member.prefixLength;
    const auto port =
      kMinCallerPort + mRandom() % (UINT16_MAX - kMinCallerPort);
    return { member.address | host, static_cast<std::uint16_t>(port) };
  }

  void scheduleRetryIfRefused(std::size_t aCallIndex, Core::TimePoint aNow)
  {
    if (!mCalls[aCallIndex]->wantsRetry()) {
      return;
    }
    const auto isScheduled = [aCallIndex](const RefusedCall& aRefused) {
      return aRefused.callIndex == aCallIndex;
    };
    if (std::none_of(mRefusedCalls.begin(), mRefusedCalls.end(), isScheduled)) {
      const auto jitter = std::chrono::milliseconds(mRandom() % 100);
      mRefusedCalls.push_back({ aCallIndex, aNow + kRetryDelay + jitter });
    }
  }

  void handleIcmp(absl::Span<const std::uint8_t> aBody, Core::TimePoint aNow)
  {
    constexpr std::size_t kIpv4Bytes = 20;
    constexpr std::size_t kQuotedOffset = kIpv4Bytes + 8;
    constexpr std::size_t kMinBytes = kQuotedOffset + kIpv4Bytes + 8;
    const bool isUnreachable =
      aBody.size() >= kMinBytes && aBody[9] == 1 && aBody[kIpv4Bytes] == 3;
    if (!isUnreachable) {
      ++mForeignPackets;
      return;
    }
    const auto* quoted = &aBody[kQuotedOffset];
    Packet::FlowKey flow;
    flow.caller.address = Packet::load32(quoted + 12);
    flow.service.address = Packet::load32(quoted + 16);
    flow.caller.port = Packet::load16(quoted + kIpv4Bytes);
    flow.service.port = Packet::load16(quoted + kIpv4Bytes + 2);
    flow.protocol = static_cast<Packet::Protocol>(quoted[9]);
    const auto it = mCallIndexByFlow.find(flow);
    if (it == mCallIndexByFlow.end()) {
      ++mForeignPackets;
      return;
    }
    // ICMP messages about previous flows of the call are ignored.
    if (mCalls[it->second]->plan().caller == flow.caller) {
      mCalls[it->second]->handleUnreachable(aBody[kIpv4Bytes + 1]);
      scheduleRetryIfRefused(it->second, aNow);
    }
  }

  const Config::Document& mDocument;
  GueSender& mSender;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<Call>> mCalls;
  std::map<Packet::FlowKey, std::size_t> mCallIndexByFlow;
  std::map<std::string, std::uint64_t> mCallCounts;
  std::vector<std::size_t> mPendingCalls;
  std::vector<RefusedCall> mRefusedCalls;
  std::uint64_t mForeignPackets = 0;
};

void
runLoop(CallGenerator& aGenerator,
        GueSender& aSender,
        const Transport::UdpSocket& aSocket,
        const cxxopts::ParseResult& aOptions)
{
  const Core::SystemClock clock;
  const std::chrono::milliseconds duration =
    std::chrono::seconds(aOptions["seconds"].as<unsigned>());
  const auto start = clock.now();
  Transport::DatagramReceiver receiver;
  pollfd pollEntry{ aSocket.descriptor(), POLLIN, 0 };
  while (!isStopRequested()) {
    poll(&pollEntry, 1, kPollMilliseconds);
    const auto now = clock.now();
    const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - start);
    receiver.receive(aSocket, [&](const auto& aDatagram) {
      aGenerator.handleDatagram(aDatagram, now);
    });
    if (elapsed < duration) {
      aGenerator.generate(aOptions["rate"].as<unsigned>(),
                          aOptions["streams"].as<unsigned>(),
                          elapsed,
                          duration,
                          now);
    }
    aGenerator.tick(now);
    aSender.flush();
    const bool isDone = elapsed >= duration && aGenerator.pendingCount() == 0;
    if (isDone || elapsed > duration + kDrainTimeout) {
      break;
    }
  }
  aGenerator.giveUpPending();
}

} // namespace

int
runCallers(const cxxopts::ParseResult& aOptions)
{
  const auto listen = Core::parseEndpoint(aOptions["listen"].as<std::string>());
  const auto fabric = Core::parseEndpoint(aOptions["fabric"].as<std::string>());
  if (!listen.ok() || !fabric.ok()) {
    std::cerr << "callers: invalid endpoint\n";
    return 2;
  }
  const auto file = aOptions["document"].as<std::string>();
  std::stringstream text;
  text << std::ifstream(file).rdbuf();
  const auto document = Config::parseDocumentOrStatus(file, text.str());
  if (!document.ok()) {
    std::cerr << document.status().message() << "\n";
    return 2;
  }
  auto socket = Transport::UdpSocket::bind(*listen);
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return 1;
  }
  GueSender sender(*socket, *fabric);
  CallGenerator generator(*document, sender, aOptions["seed"].as<unsigned>());
  runLoop(generator, sender, *socket, aOptions);
  std::ofstream(aOptions["json"].as<std::string>())
    << Json::writeString(Json::StreamWriterBuilder(), generator.result());
  return 0;
}

} // namespace StandIns
