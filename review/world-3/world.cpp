#include "world.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace World {

namespace {

const auto sStart = std::chrono::steady_clock::now();
std::mutex sNoteMutex;

std::mt19937&
random()
{
  static thread_local std::mt19937 sRandom{ std::random_device{}() };
  return sRandom;
}

sockaddr_in
socketAddress(std::uint32_t aAddress, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aAddress);
  address.sin_port = htons(aPort);
  return address;
}

int
bindSocket(int aType, std::uint32_t aAddress, std::uint16_t aPort)
{
  const int descriptor = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  if (aType == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  }
  const auto address = socketAddress(aAddress, aPort);
  if (::bind(descriptor,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

void
sendTo(int aSocket,
       std::uint32_t aAddress,
       std::uint16_t aPort,
       const std::string& aBytes)
{
  const auto address = socketAddress(aAddress, aPort);
  sendto(aSocket,
         aBytes.data(),
         aBytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
}

bool
waitReadable(int aSocket, int aMs)
{
  pollfd entry{ aSocket, POLLIN, 0 };
  return poll(&entry, 1, aMs) > 0;
}

template<typename T>
void
append(std::string& aBytes, T aValue)
{
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    aBytes += static_cast<char>((aValue >> (8 * i)) & 0xFFU);
  }
}

template<typename T>
T
load(const char* aData)
{
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<T>(static_cast<std::uint8_t>(aData[i]))
                            << (8 * i));
  }
  return value;
}

std::string
base64(const std::string& aText)
{
  static const char* sDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t group = 0;
    const auto count = std::min<std::size_t>(3, aText.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8U) |
              (j < count ? static_cast<std::uint8_t>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += j <= count ? sDigits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string
decodePercent(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return text;
}

} // namespace

std::int64_t
nowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - sStart)
    .count();
}

std::int64_t
unixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
sleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

std::string
formatAddress(std::uint32_t aAddress)
{
  in_addr address{ htonl(aAddress) };
  char text[INET_ADDRSTRLEN];
  return inet_ntop(AF_INET, &address, text, sizeof(text));
}

void
note(const std::string& aLine)
{
  static FILE* sRecord = [] {
    const char* path = std::getenv("RECORD");
    return path != nullptr ? std::fopen(path, "w") : nullptr;
  }();
  const std::lock_guard lock(sNoteMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", double(nowMs()) / 1000);
  for (FILE* file : { stdout, sRecord }) {
    if (file != nullptr) {
      std::fprintf(file, "%s%s\n", time, aLine.c_str());
      std::fflush(file);
    }
  }
}

// Packets

std::string
Packet::bytes(bool aWithSum) const
{
  std::string text;
  append(text, static_cast<std::uint16_t>(data.size()));
  append(text, echo);
  append(text, seq);
  append(text, ack);
  text += static_cast<char>(flags);
  append(text, dst);
  append(text, src);
  append(text, dport);
  append(text, sport);
  // The platform's key is not disclosed; any keyed sum does here. It covers all
  // fields except echo, pad and BOUNCED, and is never 0.
  std::uint32_t hash = 2'166'136'261U;
  const auto mix = [&hash](std::uint32_t aValue) {
    hash = (hash ^ aValue) * 16'777'619U;
  };
  for (const std::uint32_t value : { 0x5EEDU,
                                     std::uint32_t(data.size()),
                                     seq,
                                     ack,
                                     std::uint32_t(flags & ~kBounced),
                                     dst,
                                     src,
                                     std::uint32_t(dport),
                                     std::uint32_t(sport) }) {
    mix(value);
  }
  for (const char byte : data) {
    mix(static_cast<std::uint8_t>(byte));
  }
  append(text, aWithSum ? (hash | 1U) : sum);
  return text + data;
}

bool
Packet::parse(const char* aData, std::size_t aSize, Packet& aPacket)
{
  constexpr std::size_t kHead = 31;
  if (aSize < kHead || load<std::uint16_t>(aData) != aSize - kHead) {
    return false;
  }
  aPacket.echo = load<std::uint32_t>(aData + 2);
  aPacket.seq = load<std::uint32_t>(aData + 6);
  aPacket.ack = load<std::uint32_t>(aData + 10);
  aPacket.flags = static_cast<std::uint8_t>(aData[14]);
  aPacket.dst = load<std::uint32_t>(aData + 15);
  aPacket.src = load<std::uint32_t>(aData + 19);
  aPacket.dport = load<std::uint16_t>(aData + 23);
  aPacket.sport = load<std::uint16_t>(aData + 25);
  aPacket.sum = load<std::uint32_t>(aData + 27);
  aPacket.data.assign(aData + kHead, aSize - kHead);
  return true;
}

// Store

Store::Store(std::uint32_t aAddress, std::uint16_t aPort)
{
  mListener = bindSocket(SOCK_STREAM, aAddress, aPort);
  listen(mListener, 64);
  mThread = std::thread([this] { accept(); });
}

Store::~Store()
{
  mIsStopping = true;
  mChanged.notify_all();
  mThread.join();
  close(mListener);
}

std::uint64_t
Store::put(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  auto& item = mItems[aKey];
  item.value = aValue;
  item.revision = ++mRevision;
  if (item.created == 0) {
    item.created = mRevision;
  }
  mEvents.push_back({ aKey, aValue, item.revision, item.created, false });
  mChanged.notify_all();
  return mRevision;
}

std::uint64_t
Store::remove(const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  mItems.erase(aKey);
  mEvents.push_back({ aKey, "", ++mRevision, 0, true });
  mChanged.notify_all();
  return mRevision;
}

void
Store::accept()
{
  while (!mIsStopping) {
    if (!waitReadable(mListener, 100)) {
      continue;
    }
    const int descriptor = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor >= 0) {
      std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
  }
}

void
Store::serve(int aSocket)
{
  const int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  std::string input;
  char buffer[4096];
  while (!mIsStopping) {
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      if (!waitReadable(aSocket, 200)) {
        continue;
      }
      const auto n = recv(aSocket, buffer, sizeof(buffer), 0);
      if (n <= 0) {
        break;
      }
      input.append(buffer, static_cast<std::size_t>(n));
      continue;
    }
    std::istringstream line(input.substr(0, input.find("\r\n")));
    input.erase(0, end + 4);
    std::string method;
    std::string target;
    line >> method >> target;
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark != std::string::npos) {
      std::istringstream parts(target.substr(mark + 1));
      std::string part;
      while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] =
          equals == std::string::npos ? ""
                                      : decodePercent(part.substr(equals + 1));
      }
      target.erase(mark);
    }
    int status = 200;
    const auto body = answer(target, query, status);
    std::ostringstream head;
    head << "HTTP/1.1 " << status << (status == 200 ? " OK" : " Error")
         << "\r\nContent-Type: application/json\r\nContent-Length: "
         << body.size() << "\r\n\r\n";
    const auto text = head.str() + body;
    if (::send(aSocket, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
      break;
    }
  }
  close(aSocket);
}

std::string
Store::answer(const std::string& aPath,
              std::map<std::string, std::string>& aQuery,
              int& aStatus)
{
  std::unique_lock lock(mMutex);
  const auto itemText = [](const std::string& aKey, const Item& aItem) {
    std::ostringstream text;
    text << "{\"key\":\"" << aKey << "\",\"value\":\"" << base64(aItem.value)
         << "\",\"revision\":" << aItem.revision
         << ",\"createdRev\":" << aItem.created << ",\"lease\":0}";
    return text.str();
  };
  std::ostringstream text;
  const auto& prefix = aQuery["prefix"];
  if (aPath == "/api/kv-range") {
    text << "{\"items\":[";
    bool isFirst = true;
    for (const auto& [key, item] : mItems) {
      if (key.compare(0, prefix.size(), prefix) == 0 && key > aQuery["after"]) {
        text << (isFirst ? "" : ",") << itemText(key, item);
        isFirst = false;
      }
    }
    text << "],\"hasMore\":false,\"currentRev\":" << mRevision << "}";
    return text.str();
  }
  if (aPath == "/api/kv-watch") {
    const auto after = std::strtoull(aQuery["after"].c_str(), nullptr, 10);
    const auto wait = std::strtol(aQuery["waitMs"].c_str(), nullptr, 10);
    const auto hasEvent = [&] {
      return mIsStopping ||
             (!mEvents.empty() && mEvents.back().revision > after);
    };
    mChanged.wait_for(lock, std::chrono::milliseconds(wait), hasEvent);
    text << "{\"events\":[";
    bool isFirst = true;
    for (const auto& event : mEvents) {
      if (event.revision <= after ||
          event.key.compare(0, prefix.size(), prefix) != 0) {
        continue;
      }
      text << (isFirst ? "" : ",");
      isFirst = false;
      if (event.isDeleted) {
        text << "{\"key\":\"" << event.key
             << "\",\"revision\":" << event.revision << ",\"deleted\":true}";
      } else {
        text << itemText(event.key,
                         { event.value, event.revision, event.created });
      }
    }
    text << "],\"currentRev\":" << mRevision << "}";
    return text.str();
  }
  if (aPath == "/api/kv-key") {
    const auto it = mItems.find(aQuery["key"]);
    if (it != mItems.end()) {
      auto item = itemText(it->first, it->second);
      item.pop_back();
      text << item << ",\"currentRev\":" << mRevision << "}";
      return text.str();
    }
  }
  aStatus = 404;
  return "{}";
}

// Addresses and ports

Net
chooseNet()
{
  for (int i = 0; i < 200; ++i) {
    Net net;
    net.base =
      0x7F000000U |
      (std::uniform_int_distribution<std::uint32_t>(20, 250)(random()) << 16U);
    const auto first = static_cast<std::uint16_t>(
      std::uniform_int_distribution<int>(20'000, 31'000)(random()));
    const auto port = [first](int aOffset) {
      return static_cast<std::uint16_t>(first + aOffset);
    };
    net.ports = {
      port(0), port(1), port(2), port(3), port(4), port(5), port(6)
    };
    bool isFree = true;
    for (const auto address :
         { net.balancer(0), net.machine(0), net.client(0), net.store() }) {
      for (int offset = 0; offset < 22 && isFree; ++offset) {
        for (const int type : { SOCK_DGRAM, SOCK_STREAM }) {
          const int descriptor = bindSocket(type, address, port(offset));
          isFree = isFree && descriptor >= 0;
          if (descriptor >= 0) {
            close(descriptor);
          }
        }
      }
    }
    if (isFree) {
      return net;
    }
  }
  note("no free ports");
  std::exit(2);
}

// Processes

Process::Process(std::string aName,
                 std::string aCommand,
                 std::string aSettingsFile)
  : mName(std::move(aName))
  , mCommand(std::move(aCommand))
  , mSettingsFile(std::move(aSettingsFile))
{
}

Process::~Process()
{
  kill();
}

void
Process::start()
{
  std::vector<std::string> words;
  std::istringstream stream(mCommand);
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  std::vector<char*> arguments;
  for (auto& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string setting = "LACEWINGSPREAD_SETTINGS=" + mSettingsFile;
  const std::string path =
    std::string("PATH=") +
    (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
  std::vector<char*> environment{ const_cast<char*>(setting.c_str()),
                                  const_cast<char*>(path.c_str()),
                                  nullptr };
  const auto logFile = mSettingsFile + ".log";
  const pid_t parent = getpid();
  mPid = fork();
  if (mPid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  note("start " + mName + " pid " + std::to_string(mPid));
}

void
Process::signal(int aSignal)
{
  if (mPid > 0) {
    ::kill(mPid, aSignal);
    note("signal " + std::to_string(aSignal) + " to " + mName);
  }
}

void
Process::kill()
{
  if (mPid > 0) {
    ::kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    note("killed " + mName);
    mPid = -1;
  }
}

void
Process::stop(int aGraceMs)
{
  if (mPid <= 0) {
    return;
  }
  signal(SIGTERM);
  for (const auto end = nowMs() + aGraceMs; nowMs() < end; sleepMs(10)) {
    if (waitpid(mPid, nullptr, WNOHANG) == mPid) {
      note("stopped " + mName);
      mPid = -1;
      return;
    }
  }
  kill();
}

bool
Process::hasEndedByItself()
{
  int status = 0;
  if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
    note(mName + " ended by itself, status " + std::to_string(status));
    mPid = -1;
    return true;
  }
  return false;
}

// Backend servers

Server::Server(const Net& aNet, int aIndex, std::string aService)
  : mName("i-" + std::to_string(1000 + aIndex))
  , mService(std::move(aService))
  , mAddress(aNet.machine(aIndex))
  , mOutbound(aNet.ports.outbound)
{
  mSocket = bindSocket(SOCK_DGRAM, mAddress, aNet.ports.app);
  mThread = std::thread([this] { run(); });
}

Server::~Server()
{
  mIsStopping = true;
  mThread.join();
  close(mSocket);
}

bool
Server::holds(std::uint32_t aClient, std::uint16_t aPort)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [key, flow] : mFlows) {
    if (key.first == FlowKey{ aClient, aPort } && flow.isOpen) {
      return true;
    }
  }
  return false;
}

std::int64_t
Server::openedAt(std::uint32_t aClient, std::uint16_t aPort)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [key, flow] : mFlows) {
    if (key.first == FlowKey{ aClient, aPort }) {
      return flow.openedAt;
    }
  }
  return -1;
}

void
Server::send(const Packet& aPacket)
{
  sendTo(mSocket, mAddress, mOutbound, aPacket.bytes());
}

void
Server::run()
{
  char buffer[2048];
  while (!mIsStopping) {
    if (waitReadable(mSocket, 20)) {
      const auto n = recv(mSocket, buffer, sizeof(buffer), MSG_DONTWAIT);
      Packet packet;
      if (n > 0 && Packet::parse(buffer, static_cast<std::size_t>(n), packet)) {
        handle(packet, buffer, static_cast<std::size_t>(n));
      }
    }
    // Retransmits answers that are not acknowledged, 8 times at most.
    const std::lock_guard lock(mMutex);
    for (auto& [key, flow] : mFlows) {
      if (flow.retryAt != 0 && nowMs() >= flow.retryAt && flow.retries < 8) {
        send(flow.answer);
        ++flow.retries;
        flow.retryAt =
          nowMs() + std::min<std::int64_t>(1'600, 200LL << flow.retries);
      }
    }
  }
}

void
Server::handle(const Packet& aPacket, const char* aBytes, std::size_t aSize)
{
  const std::lock_guard lock(mMutex);
  const auto key =
    std::make_pair(FlowKey{ aPacket.src, aPacket.sport }, aPacket.dport);
  Packet reply;
  reply.src = aPacket.dst;
  reply.sport = aPacket.dport;
  reply.dst = aPacket.src;
  reply.dport = aPacket.sport;
  auto it = mFlows.find(key);
  if ((aPacket.flags & kSyn) != 0) {
    if (it != mFlows.end() && it->second.isOpen) {
      return;
    }
    auto& flow = mFlows[key];
    if (it == mFlows.end()) {
      flow.mySeq = random()();
      flow.expected = aPacket.seq + 1;
      flow.openedAt = nowMs();
      note(mName + " takes SYN of " + formatAddress(aPacket.src) + ":" +
           std::to_string(aPacket.sport));
    }
    reply.flags = kSyn | kAck;
    reply.seq = flow.mySeq;
    reply.ack = flow.expected;
    send(reply);
    return;
  }
  if (it != mFlows.end() && !it->second.isOpen &&
      aPacket.ack == it->second.mySeq + 1) {
    it->second.isOpen = true;
    ++it->second.mySeq;
  }
  if (it == mFlows.end() || !it->second.isOpen) {
    // Not a flow of this server: back to the agent, echo unchanged, pad 0.
    std::string bytes(aBytes, aSize);
    bytes[14] = static_cast<char>(bytes[14] | kBounced);
    ++bounced;
    sendTo(mSocket, mAddress, mOutbound, bytes);
    return;
  }
  auto& flow = it->second;
  if ((aPacket.flags & kReset) != 0) {
    mFlows.erase(it);
    return;
  }
  if (flow.retryAt != 0 &&
      aPacket.ack == flow.answer.seq + flow.answer.data.size()) {
    flow.retryAt = 0;
  }
  if (aPacket.data.empty()) {
    return;
  }
  if (aPacket.seq != flow.expected) {
    if (flow.answer.ack == aPacket.seq + aPacket.data.size()) {
      send(flow.answer);
    }
    return;
  }
  flow.expected += aPacket.data.size();
  reply.flags = kAck;
  reply.seq = flow.mySeq;
  reply.ack = flow.expected;
  const auto idAt = aPacket.data.find("X-Request-Id: ");
  const auto id =
    aPacket.data.substr(idAt + 14, aPacket.data.find("\r\n", idAt) - idAt - 14);
  const std::string body = "done " + id + "\n";
  reply.data =
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: " + mName + "\r\nX-Request-Id: " + id +
    "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  flow.mySeq += reply.data.size();
  flow.answer = reply;
  flow.retries = 0;
  flow.retryAt = nowMs() + 200;
  send(reply);
}

// Fabric

Fabric::Fabric(const Net& aNet, int aCount)
  : mNet(aNet)
  , mIsIn(aCount, false)
  , mIsProbed(aCount, true)
  , mMisses(aCount, 0)
  , mNextProbeAt(aCount, 0)
{
  for (int i = 0; i < aCount; ++i) {
    mThreads.emplace_back([this, i] { run(i); });
  }
}

Fabric::~Fabric()
{
  mIsStopping = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
}

namespace {

/** Body of a GET with status 200; false otherwise. */
bool
httpGet(std::uint32_t aAddress,
        std::uint16_t aPort,
        const std::string& aPath,
        int aTimeoutMs,
        std::string& aBody)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const auto address = socketAddress(aAddress, aPort);
  bool isOk = false;
  if (connect(descriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    const std::string call = "GET " + aPath +
                             " HTTP/1.1\r\nHost: " + formatAddress(aAddress) +
                             "\r\nConnection: close\r\n\r\n";
    ::send(descriptor, call.data(), call.size(), MSG_NOSIGNAL);
    std::string reply;
    char buffer[4096];
    while (true) {
      const auto n = recv(descriptor, buffer, sizeof(buffer), 0);
      if (n <= 0) {
        break;
      }
      reply.append(buffer, static_cast<std::size_t>(n));
    }
    isOk = reply.compare(0, 12, "HTTP/1.1 200") == 0;
    const auto head = reply.find("\r\n\r\n");
    aBody = head == std::string::npos ? "" : reply.substr(head + 4);
  }
  close(descriptor);
  return isOk;
}

} // namespace

void
Fabric::run(int aIndex)
{
  auto next = nowMs() + std::uniform_int_distribution<int>(0, 400)(random());
  while (!mIsStopping) {
    {
      const std::lock_guard lock(mMutex);
      mNextProbeAt[aIndex] = next;
    }
    while (nowMs() < next && !mIsStopping) {
      sleepMs(
        std::min<std::int64_t>(5, std::max<std::int64_t>(1, next - nowMs())));
    }
    std::string body;
    const bool isReady =
      mIsProbed[aIndex] &&
      httpGet(
        mNet.balancer(aIndex), mNet.ports.readiness, "/api/readyz", 400, body);
    const std::lock_guard lock(mMutex);
    mMisses[aIndex] = isReady ? 0 : mMisses[aIndex] + 1;
    const bool isIn = isReady || (mIsIn[aIndex] && mMisses[aIndex] < 2);
    if (isIn != mIsIn[aIndex]) {
      mIsIn[aIndex] = isIn;
      note("balancer " + std::to_string(aIndex) +
           (isIn ? " in rotation" : " out of rotation"));
    }
    next += 500;
  }
}

void
Fabric::setProbed(int aIndex, bool aIsProbed)
{
  const std::lock_guard lock(mMutex);
  mIsProbed[aIndex] = aIsProbed;
}

void
Fabric::waitBeforeProbe(int aIndex)
{
  std::int64_t next = 0;
  {
    const std::lock_guard lock(mMutex);
    next = mNextProbeAt[aIndex];
  }
  while (nowMs() < next + 450) {
    sleepMs(2);
  }
}

std::vector<int>
Fabric::rotation()
{
  const std::lock_guard lock(mMutex);
  std::vector<int> nodes;
  std::vector<int> all;
  for (std::size_t i = 0; i < mIsIn.size(); ++i) {
    if (mIsProbed[i]) {
      all.push_back(static_cast<int>(i));
    }
    if (mIsIn[i]) {
      nodes.push_back(static_cast<int>(i));
    }
  }
  // With fewer than half in rotation, all nodes of the zone are used.
  return nodes.size() * 2 < all.size() ? all : nodes;
}

int
Fabric::nodeFor(std::uint32_t aClient, std::uint16_t aPort)
{
  return nodeFor(aClient, aPort, rotation());
}

int
Fabric::nodeFor(std::uint32_t aClient,
                std::uint16_t aPort,
                const std::vector<int>& aRotation) const
{
  if (aRotation.empty()) {
    return -1;
  }
  const auto hash = (aClient * 2'654'435'761U) ^ (aPort * 40'503U);
  return aRotation[(hash >> 4U) % aRotation.size()];
}

bool
Fabric::waitForRotation(std::size_t aCount, std::int64_t aTimeoutMs)
{
  for (const auto end = nowMs() + aTimeoutMs; nowMs() < end; sleepMs(20)) {
    const std::lock_guard lock(mMutex);
    std::size_t count = 0;
    for (const bool isIn : mIsIn) {
      count += isIn ? 1 : 0;
    }
    if (count == aCount) {
      return true;
    }
  }
  return false;
}

// Callers

namespace {

std::string
requestId(const ClientFlow& aFlow)
{
  const auto& text = aFlow.request.data;
  const auto begin = text.find("q-");
  return begin == std::string::npos
           ? ""
           : text.substr(begin, text.find("\r\n", begin) - begin);
}

} // namespace

Client::Client(const Net& aNet, int aIndex, Fabric& aFabric)
  : mNet(aNet)
  , mFabric(aFabric)
  , mAddress(aNet.client(aIndex))
{
  mSocket = bindSocket(SOCK_DGRAM, mAddress, aNet.ports.data);
  mThread = std::thread([this] { run(); });
}

Client::~Client()
{
  mIsStopping = true;
  mThread.join();
  close(mSocket);
}

Packet
Client::packet(const ClientFlow& aFlow, std::uint8_t aFlags) const
{
  Packet packet;
  packet.src = mAddress;
  packet.sport = aFlow.port;
  packet.dst = mNet.routeHost();
  packet.dport = aFlow.routePort;
  packet.flags = aFlags;
  packet.seq = aFlow.seq;
  packet.ack = aFlow.peerSeq;
  return packet;
}

void
Client::send(const Packet& aPacket)
{
  const int node = mFabric.nodeFor(aPacket.src, aPacket.sport);
  if (node >= 0) {
    sendTo(mSocket, mNet.balancer(node), mNet.ports.data, aPacket.bytes());
  }
}

std::uint16_t
Client::open(std::uint16_t aRoutePort, std::uint16_t aPort)
{
  const std::lock_guard lock(mMutex);
  const auto port = aPort != 0 ? aPort : mNextPort++;
  auto& flow = mFlows[port];
  flow = {};
  flow.port = port;
  flow.routePort = aRoutePort;
  flow.seq = random()();
  flow.sentAt = nowMs();
  flow.synCount = 1;
  auto syn = packet(flow, kSyn);
  syn.ack = 0;
  note("caller opens flow " + std::to_string(port) + " to port " +
       std::to_string(aRoutePort) + " through balancer " +
       std::to_string(mFabric.nodeFor(mAddress, port)));
  send(syn);
  return port;
}

bool
Client::request(std::uint16_t aPort)
{
  const std::lock_guard lock(mMutex);
  const auto it = mFlows.find(aPort);
  if (it == mFlows.end() || !it->second.isOpen || it->second.isAborted ||
      it->second.isWaiting) {
    return false;
  }
  auto& flow = it->second;
  flow.request = packet(flow, kAck);
  flow.request.data = "GET /r HTTP/1.1\r\nHost: service\r\nX-Request-Id: q-" +
                      std::to_string(mNextRequest++) + "\r\n\r\n";
  flow.isWaiting = true;
  flow.sentAt = nowMs();
  flow.retryDelay = 200;
  flow.retryAt = nowMs() + flow.retryDelay;
  send(flow.request);
  return true;
}

ClientFlow
Client::get(std::uint16_t aPort)
{
  const std::lock_guard lock(mMutex);
  return mFlows[aPort];
}

std::vector<ClientFlow>
Client::all()
{
  const std::lock_guard lock(mMutex);
  std::vector<ClientFlow> flows;
  for (const auto& [port, flow] : mFlows) {
    flows.push_back(flow);
  }
  return flows;
}

void
Client::run()
{
  char buffer[2048];
  while (!mIsStopping) {
    if (waitReadable(mSocket, 10)) {
      const auto n = recv(mSocket, buffer, sizeof(buffer), MSG_DONTWAIT);
      Packet packet;
      if (n > 0 && Packet::parse(buffer, static_cast<std::size_t>(n), packet)) {
        handle(packet);
      }
    }
    const std::lock_guard lock(mMutex);
    const auto now = nowMs();
    for (auto& [port, flow] : mFlows) {
      if (!flow.isOpen && !flow.isAborted && flow.synCount > 0) {
        const auto age = now - flow.sentAt;
        if (age >= 1'400) {
          flow.isAborted = true;
          note("flow " + std::to_string(port) + " did not open");
        } else if (flow.synCount < 3 &&
                   age >= (flow.synCount == 1 ? 200 : 600)) {
          auto syn = packet(flow, kSyn);
          syn.ack = static_cast<std::uint32_t>(flow.synCount++);
          send(syn);
        }
      } else if (flow.isWaiting && !flow.isAborted && now >= flow.retryAt) {
        if (now - flow.sentAt >= 4'000) {
          flow.isAborted = true;
          note("flow " + std::to_string(port) + " timed out");
          continue;
        }
        send(flow.request);
        flow.retryDelay = std::min<std::int64_t>(1'600, 2 * flow.retryDelay);
        flow.retryAt = now + flow.retryDelay;
      }
    }
  }
}

void
Client::handle(const Packet& aPacket)
{
  const std::lock_guard lock(mMutex);
  const auto it = mFlows.find(aPacket.dport);
  if (it == mFlows.end() || it->second.isAborted) {
    return;
  }
  auto& flow = it->second;
  const auto name = "flow " + std::to_string(flow.port);
  if ((aPacket.flags & kReset) != 0) {
    const bool isForeign = aPacket.sum == 0;
    const auto distance = static_cast<std::int32_t>(aPacket.seq - flow.peerSeq);
    if (flow.isOpen && std::abs(distance) > 76'800) {
      return;
    }
    flow.isAborted = true;
    flow.resetAt = nowMs();
    flow.hasForeignReset = flow.isOpen && isForeign;
    note(name + (flow.isOpen ? " (open)" : " (not open)") + " gets a reset " +
         (isForeign ? "of the system" : "of a server") +
         (flow.isWaiting ? ", " + requestId(flow) + " is not answered" : ""));
    return;
  }
  if ((aPacket.flags & (kSyn | kAck)) == (kSyn | kAck)) {
    if (!flow.isOpen) {
      flow.isOpen = true;
      flow.openedAt = nowMs();
      flow.peerSeq = aPacket.seq + 1;
      ++flow.seq;
      send(packet(flow, kAck));
    }
    return;
  }
  if (aPacket.data.empty() || aPacket.seq != flow.peerSeq) {
    if (!aPacket.data.empty()) {
      send(packet(flow, kAck));
    }
    return;
  }
  flow.peerSeq += aPacket.data.size();
  const auto id = requestId(flow);
  if (aPacket.data.find("X-Request-Id: " + id + "\r\n") == std::string::npos) {
    note(name + " gets a foreign answer");
  }
  const auto stampAt = aPacket.data.find("X-Server-Stamp: ") + 16;
  flow.server =
    aPacket.data.substr(stampAt, aPacket.data.find("\r\n", stampAt) - stampAt);
  flow.seq += flow.request.data.size();
  flow.isWaiting = false;
  ++flow.answers;
  flow.lastAnswerAt = nowMs();
  send(packet(flow, kAck));
}

// Settings

namespace {

std::string
commonSettings(const Deployment& aDeployment,
               const std::string& aName,
               const std::string& aClass,
               std::uint32_t aAddress)
{
  const auto& net = aDeployment.net;
  std::ostringstream text;
  text << "nodeName = \"" << aName << "\"\nmachineClass = \"" << aClass
       << "\"\nip = \"" << formatAddress(aAddress)
       << "\"\nzone = \"sofia-a\"\nregion = \"bg-west\"\ninternalPorts = ["
       << net.ports.internal << "," << net.ports.internal + 15
       << "]\nseedNodes = [";
  for (int i = 0; i < std::min(3, aDeployment.balancers); ++i) {
    text << (i == 0 ? "" : ",") << "\"" << formatAddress(net.balancer(i)) << ":"
         << net.ports.control << "\"";
  }
  text << "]\nbootstrap = true\ninTolerance = false\ndiscovery = "
          "\"platform\"\nentryMode = \"bgp\"\nheartbeatMs = 1200\ncontracts = "
          "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\","
          "\"platform\"]\nhash = \"mod\"\ndeploymentMode = \"agent\"\n";
  return text.str();
}

std::string
boundsSettings(const Net& aNet)
{
  std::ostringstream text;
  text << "[zones]\nsofia-a = \"bg-west\"\n"
          "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
          "[bounds]\nseedLagS = 3\nreuseDelayS = 2\nstableWindowMs = 4000\n"
          "ackTimeoutMs = 5000\ncatchUpS = 4\ndrainTimeoutMs = 3000\n"
          "gracePeriodS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n"
          "rollbackSlackMs = 250\nmaxSkewMs = 12000\nrecoveryS = 12\n"
          "flowTimeoutMs = 2000\nflowLifetimeS = 60\n"
          "[platform]\naddress = \""
       << formatAddress(aNet.store()) << ":" << aNet.ports.store
       << "\"\ndeploymentMode = \"read\"\nwritesPerS = 400\nreadsPerS = 2000\n"
          "historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
  return text.str();
}

std::string
endpointText(std::uint32_t aAddress, std::uint16_t aPort)
{
  return formatAddress(aAddress) + ":" + std::to_string(aPort);
}

} // namespace

std::unique_ptr<Process>
Deployment::balancer(int aIndex) const
{
  const auto address = net.balancer(aIndex);
  const auto name = "frontend-sofia-a-" + std::to_string(aIndex);
  const auto file = directory + "/" + name + ".toml";
  std::ofstream(file)
    << commonSettings(*this, name, "frontend", address)
    << "role = \"balancer\"\nserves = [\"frontend\",\"control_plane\"]\n"
    << boundsSettings(net)
    << "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = "
       "4100\nlinkMbps = 1000.0\ndiskMb = 0\n[listenAddrs]\nudpAddr = \""
    << endpointText(address, net.ports.data) << "\"\nreadinessAddr = \""
    << endpointText(address, net.ports.readiness) << "\"\ncontrolPlane = \""
    << endpointText(address, net.ports.control) << "\"\n";
  return std::make_unique<Process>(name, balancerCommand, file);
}

std::unique_ptr<Process>
Deployment::agent(int aIndex, const std::string& aService) const
{
  const auto address = net.machine(aIndex);
  const auto name = "side-sofia-a-" + std::to_string(aIndex);
  const auto file = directory + "/" + name + ".toml";
  std::ofstream(file)
    << commonSettings(*this, name, "side", address)
    << "role = \"agent\"\nserves = [\"side\"]\napp = \""
    << endpointText(address, net.ports.app) << "\"\nservice = \"" << aService
    << "\"\n"
    << boundsSettings(net)
    << "[limits]\ncpuShare = 0.15\ncpuCores = 1\nmemoryMb = 128\nmaxFds = "
       "4096\nlinkMbps = 1000.0\ndiskMb = 0\n[listenAddrs]\nudpAddr = \""
    << endpointText(address, net.ports.data) << "\"\noutbound = \""
    << endpointText(address, net.ports.outbound) << "\"\nreadinessAddr = \""
    << endpointText(address, net.ports.readiness) << "\"\n";
  return std::make_unique<Process>(name, agentCommand, file);
}

std::string
configText(const Net& aNet,
           int aVersion,
           const std::vector<RouteText>& aRoutes,
           const std::vector<std::string>& aServices)
{
  std::ostringstream text;
  text << "{\"version\":" << aVersion << ",\"routes\":[";
  for (std::size_t i = 0; i < aRoutes.size(); ++i) {
    const auto& route = aRoutes[i];
    text << (i == 0 ? "" : ",") << "{\"name\":\"r-" << route.port
         << "\",\"host\":\"" << formatAddress(aNet.routeHost())
         << "\",\"prefix\":\"/" << route.port << "/\",\"type\":\"" << route.type
         << "\",\"timeoutMs\":4000,\"aimMs\":300,\"priority\":2,\"service\":\""
         << route.service << "\",\"maxAttempts\":2}";
  }
  text << "],\"services\":[";
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    text << (i == 0 ? "" : ",") << "{\"name\":\"" << aServices[i]
         << "\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":2000,"
            "\"protocol\":\"h1\",\"tls\":false}";
  }
  text << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
          "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  return text.str();
}

std::string
entryText(const Net& aNet,
          const Server& aServer,
          const std::string& aState,
          std::int64_t aBorn)
{
  std::ostringstream text;
  text << "{\"service\":\"" << aServer.service() << "\",\"address\":\""
       << endpointText(aServer.address(), aNet.ports.app)
       << "\",\"zone\":\"sofia-a\",\"version\":\"v1\",\"maxConcurrency\":7,"
          "\"state\":\""
       << aState << "\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":" << aBorn
       << "}";
  return text.str();
}

double
readMetric(std::uint32_t aAddress,
           std::uint16_t aPort,
           const std::string& aName)
{
  std::string body;
  if (!httpGet(aAddress, aPort, "/metrics", 400, body)) {
    return -1;
  }
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    const auto at = line.find(aName + " ");
    if (at != std::string::npos && line[0] != '#') {
      return std::strtod(line.c_str() + at + aName.size() + 1, nullptr);
    }
  }
  return -1;
}

} // namespace World
