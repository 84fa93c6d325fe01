#include "commands.h"

#include "guesender.h"
#include "requesttext.h"
#include "tcpconnection.h"

#include "core/systemclock.h"
#include "messages/flowid.h"
#include "messages/peermessages.pb.h"

#include <httplib.h>
#include <json/value.h>
#include <json/writer.h>

#include <poll.h>

#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace StandIns {

namespace {

constexpr int kPollMilliseconds = 5;
constexpr std::chrono::seconds kClosedSessionRetention{ 5 };

/** Counts the runs of each request ID; served over HTTP. */
class RunCounts
{
public:
  void recordRun(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    ++mCounts[aId];
  }

  std::string toJson() const
  {
    const std::lock_guard lock(mMutex);
    Json::Value page(Json::objectValue);
    for (const auto& [id, count] : mCounts) {
      page[id] = count;
    }
    return Json::writeString(Json::StreamWriterBuilder(), page);
  }

private:
  mutable std::mutex mMutex;
  std::map<std::string, int> mCounts;
};

/** A TCP connection and the request received on it. */
struct Session
{
  std::unique_ptr<TcpConnection> connection;
  std::optional<RequestLine> request;
  Core::TimePoint readyAt{};
  std::uint64_t streamMessagesSent = 0;
  bool isAnswered = false;
  Core::TimePoint lastPacketAt{};
};

/** A UDP request that is being processed. */
struct PendingDatagram
{
  Packet::FlowKey flow;
  RequestLine request;
  Core::TimePoint readyAt;
};

/** A backend server that processes requests over TCP and UDP. */
class BackendServer
{
public:
  BackendServer(std::string aService,
                std::string aTarget,
                GueSender& aSender,
                RunCounts& aCounts,
                unsigned aSeed)
    : mService(std::move(aService))
    , mTarget(std::move(aTarget))
    , mSender(aSender)
    , mCounts(aCounts)
    , mRandom(aSeed)
  {
  }

  void handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow)
  {
    if (aPacket.protocol() == Packet::Protocol::Udp) {
      handleDatagram(aPacket, aNow);
      return;
    }
    const auto flow = aPacket.flowFromCaller();
    auto it = mSessions.find(flow);
    if (it == mSessions.end()) {
      if (!aPacket.isSyn()) {
        sendReset(aPacket);
        return;
      }
      it = accept(aPacket, flow, aNow);
      return;
    }
    it->second.lastPacketAt = aNow;
    it->second.connection->handlePacket(aPacket, aNow);
  }

  void tick(Core::TimePoint aNow)
  {
    for (auto it = mSessions.begin(); it != mSessions.end();) {
      serve(it->second, aNow);
      it->second.connection->tick(aNow);
      const auto state = it->second.connection->state();
      const bool isEnded =
        state == TcpState::Finished || state == TcpState::Broken;
      const bool isExpired =
        isEnded && aNow - it->second.lastPacketAt > kClosedSessionRetention;
      it = isExpired ? mSessions.erase(it) : std::next(it);
    }
    answerDatagrams(aNow);
  }

  /** The serialized reply to the agent's query for open flows. */
  std::string openFlowsMessage() const
  {
    Messages::BackendMessage message;
    auto& flows = *message.mutable_flows();
    for (const auto& [flow, session] : mSessions) {
      if (session.connection->state() == TcpState::Established) {
        Messages::writeFlow(flow, *flows.add_flows());
      }
    }
    return message.SerializeAsString();
  }

private:
  using Sessions = std::map<Packet::FlowKey, Session>;

  Sessions::iterator accept(const Packet::PacketView& aPacket,
                            const Packet::FlowKey& aFlow,
                            Core::TimePoint aNow)
  {
    Session session;
    session.lastPacketAt = aNow;
    session.connection = std::make_unique<TcpConnection>(
      aFlow.service,
      aFlow.caller,
      static_cast<std::uint32_t>(mRandom()),
      [this](const Packet::Bytes& aBytes) { mSender.send(aBytes); });
    session.connection->accept(aPacket, aNow);
    return mSessions.emplace(aFlow, std::move(session)).first;
  }

  void sendReset(const Packet::PacketView& aPacket)
  {
    if (!aPacket.hasFlag(Packet::kTcpRst)) {
      mSender.send(Packet::buildRefusal(aPacket));
    }
  }

  void serve(Session& aSession, Core::TimePoint aNow)
  {
    auto& connection = *aSession.connection;
    if (!aSession.request) {
      const auto line = takeLine(connection.received());
      if (!line) {
        return;
      }
      aSession.request = RequestLine::parse(*line);
      if (!aSession.request) {
        return;
      }
      aSession.readyAt = completionTime(*aSession.request, aNow);
    }
    if (aSession.isAnswered || aNow < aSession.readyAt) {
      return;
    }
    if (aSession.request->verb == "STREAM") {
      sendStreamMessage(aSession, aNow);
    } else {
      sendAnswer(aSession, aNow);
    }
  }

  static Core::TimePoint completionTime(const RequestLine& aRequest,
                                        Core::TimePoint aNow)
  {
    return aNow + std::chrono::milliseconds(aRequest.workMilliseconds);
  }

  void sendStreamMessage(Session& aSession, Core::TimePoint aNow)
  {
    const auto& request = *aSession.request;
    const AnswerLine line{
      mService, mTarget, request.id, ++aSession.streamMessagesSent
    };
    aSession.connection->write(line.toText(), aNow);
    aSession.readyAt = completionTime(request, aNow);
    if (aSession.streamMessagesSent >= request.amount) {
      aSession.isAnswered = true;
      aSession.connection->finish(aNow);
    }
  }

  void sendAnswer(Session& aSession, Core::TimePoint aNow)
  {
    const auto& request = *aSession.request;
    auto bytes = request.amount;
    std::string body;
    if (request.verb == "UPLOAD") {
      auto& received = aSession.connection->received();
      if (received.size() < request.amount) {
        return;
      }
      // An answer of 0 bytes tells the caller that the body was wrong.
      const bool isExpectedBody =
        received == bodyFor(request.id, request.amount);
      bytes = isExpectedBody ? request.amount : 0;
    } else {
      body = bodyFor(request.id, request.amount);
    }
    mCounts.recordRun(request.id);
    const AnswerLine line{ mService, mTarget, request.id, bytes };
    aSession.isAnswered = true;
    aSession.connection->write(line.toText() + body, aNow);
    aSession.connection->finish(aNow);
  }

  void handleDatagram(const Packet::PacketView& aPacket, Core::TimePoint aNow)
  {
    const auto payload = aPacket.payload();
    const std::string text(payload.begin(), payload.end());
    const auto request = RequestLine::parse(text);
    if (!request) {
      return;
    }
    mCounts.recordRun(request->id);
    mPendingDatagrams.push_back(
      { aPacket.flowFromCaller(), *request, completionTime(*request, aNow) });
  }

  void answerDatagrams(Core::TimePoint aNow)
  {
    std::erase_if(
      mPendingDatagrams, [this, aNow](const PendingDatagram& aPending) {
        if (aNow < aPending.readyAt) {
          return false;
        }
        const auto& request = aPending.request;
        const AnswerLine line{ mService, mTarget, request.id, request.amount };
        Packet::PacketBuilder builder(Packet::Protocol::Udp);
        builder.from(aPending.flow.service).to(aPending.flow.caller);
        const auto text = line.toText() + bodyFor(request.id, request.amount);
        mSender.send(builder.payload(absl::string_view(text)).build());
        return true;
      });
  }

  std::string mService;
  std::string mTarget;
  GueSender& mSender;
  RunCounts& mCounts;
  std::mt19937_64 mRandom;
  Sessions mSessions;
  std::vector<PendingDatagram> mPendingDatagrams;
};

void
handleGue(const Packet::GuePacket& aGue,
          BackendServer& aServer,
          Transport::DatagramSender& aSender,
          const Core::Endpoint& aAgent,
          Core::TimePoint aNow)
{
  if (aGue.content == Packet::GueContent::Ipv4Packet) {
    const auto packet =
      Packet::PacketView::parse(aGue.body, Packet::Verify::HeadersAndPayload);
    if (packet.ok()) {
      aServer.handlePacket(*packet, aNow);
    }
    return;
  }
  const auto text = aServer.openFlowsMessage();
  Packet::GuePacket reply;
  reply.content = Packet::GueContent::ControlMessage;
  reply.body = absl::MakeConstSpan(
    reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
  std::vector<std::uint8_t> buffer;
  reply.appendTo(buffer);
  aSender.send(aAgent, buffer);
}

} // namespace

int
runBackendServer(const cxxopts::ParseResult& aOptions)
{
  const auto listen = Core::parseEndpoint(aOptions["listen"].as<std::string>());
  const auto agent = Core::parseEndpoint(aOptions["agent"].as<std::string>());
  const auto control =
    Core::parseEndpoint(aOptions["control"].as<std::string>());
  if (!listen.ok() || !agent.ok() || !control.ok()) {
    std::cerr << "backend server: invalid endpoint\n";
    return 2;
  }
  auto socket = Transport::UdpSocket::bind(*listen);
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return 1;
  }
  RunCounts counts;
  httplib::Server http;
  http.Get("/runs", [&counts](const auto&, auto& aResponse) {
    aResponse.set_content(counts.toJson(), "application/json");
  });
  std::thread httpThread([&http, &control] {
    http.listen(Core::formatAddress(control->address), control->port);
  });
  GueSender sender(*socket, *agent);
  Transport::DatagramSender controlSender(*socket);
  BackendServer server(aOptions["service"].as<std::string>(),
                       aOptions["target"].as<std::string>(),
                       sender,
                       counts,
                       aOptions["seed"].as<unsigned>());
  const Core::SystemClock clock;
  Transport::DatagramReceiver receiver;
  pollfd pollEntry{ socket->descriptor(), POLLIN, 0 };
  while (!isStopRequested()) {
    poll(&pollEntry, 1, kPollMilliseconds);
    const auto now = clock.now();
    receiver.receive(*socket, [&](const auto& aDatagram) {
      const auto gue = Packet::GuePacket::parse(aDatagram);
      if (gue.ok()) {
        handleGue(*gue, server, controlSender, *agent, now);
      }
    });
    server.tick(now);
    sender.flush();
    controlSender.flush();
  }
  http.stop();
  httpThread.join();
  return 0;
}

} // namespace StandIns
