// A small platform for the review's scripts: store, fabric, backend servers and
// callers as the platform's pages describe them. It starts the project's
// programs as processes of their own, on loopback addresses.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace World {

/** Milliseconds of the steady clock since the start of the script. */
std::int64_t
nowMs();
void
sleepMs(std::int64_t aMs);
std::string
formatAddress(std::uint32_t aAddress);

/** Writes one line, with the time, to the record and to standard output. */
void
note(const std::string& aLine);

constexpr std::uint8_t kReset = 2;
constexpr std::uint8_t kBounced = 4;
constexpr std::uint8_t kSyn = 8;
constexpr std::uint8_t kFin = 64;
constexpr std::uint8_t kAck = 128;

struct Packet
{
  std::uint16_t len = 0;
  std::uint16_t echoLow = 0;
  std::uint32_t echo = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint8_t flags = 0;
  std::uint32_t dst = 0;
  std::uint32_t src = 0;
  std::uint16_t dport = 0;
  std::uint16_t sport = 0;
  std::uint32_t sum = 0;
  std::string data;

  std::string bytes(bool aWithSum = true) const;
  static bool parse(const char* aData, std::size_t aSize, Packet& aPacket);
};

/** The metadata store: kv-range, kv-watch and kv-key. */
class Store
{
public:
  explicit Store(std::uint32_t aAddress, std::uint16_t aPort);
  ~Store();
  /** Returns the revision of the change, which is acknowledged now. */
  std::uint64_t put(const std::string& aKey, const std::string& aValue);
  std::uint64_t remove(const std::string& aKey);

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Event
  {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool isDeleted = false;
  };
  void accept();
  void serve(int aSocket);
  std::string answer(const std::string& aPath,
                     std::map<std::string, std::string>& aQuery,
                     int& aStatus);

  int mListener = -1;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::vector<Event> mEvents;
  std::uint64_t mRevision = 1;
  std::atomic<bool> mIsStopping = false;
  std::thread mThread;
};

struct Ports
{
  std::uint16_t data, readiness, control, app, outbound, store, internal;
};

/** Addresses and ports that are free on this machine. */
struct Net
{
  std::uint32_t base = 0;
  Ports ports{};
  std::uint32_t balancer(int i) const { return base | 0x0100U | (i + 1U); }
  std::uint32_t machine(int i) const { return base | 0x0200U | (i + 1U); }
  std::uint32_t client(int i) const { return base | 0x0300U | (i + 1U); }
  std::uint32_t store() const { return base | 0x0401U; }
  std::uint32_t routeHost() const { return base | 0x0901U; }
};
Net
chooseNet();

/** One process of the project. */
class Process
{
public:
  Process(std::string aName, std::string aCommand, std::string aSettingsFile);
  ~Process();
  void start();
  void signal(int aSignal);
  /** SIGKILL, and waits for the end. */
  void kill();
  /** SIGTERM, then SIGKILL after the grace period, and waits for the end. */
  void stop(int aGraceMs);
  /** False once the process has ended without a signal of this script. */
  bool hasEndedByItself();
  const std::string& name() const { return mName; }

private:
  std::string mName;
  std::string mCommand;
  std::string mSettingsFile;
  pid_t mPid = -1;
};

using FlowKey = std::pair<std::uint32_t, std::uint16_t>;

/** A backend server: holds flows, answers each request at once. */
class Server
{
public:
  Server(const Net& aNet, int aIndex, std::string aService);
  ~Server();
  bool holds(std::uint32_t aClient, std::uint16_t aPort);
  const std::string& name() const { return mName; }
  const std::string& service() const { return mService; }
  std::uint32_t address() const { return mAddress; }
  /** When it took the opening packet of a flow; -1 if it did not. */
  std::int64_t openedAt(std::uint32_t aClient, std::uint16_t aPort);
  std::atomic<int> bounced = 0;

private:
  struct Flow
  {
    std::uint32_t mySeq = 0;
    std::uint32_t expected = 0;
    bool isOpen = false;
    std::int64_t openedAt = 0;
    Packet answer;
    int retries = 0;
    std::int64_t retryAt = 0;
  };
  void run();
  void handle(const Packet& aPacket, const char* aBytes, std::size_t aSize);
  void send(const Packet& aPacket);

  std::string mName;
  std::string mService;
  std::uint32_t mAddress;
  std::uint16_t mOutbound;
  int mSocket = -1;
  std::mutex mMutex;
  /** Flows by caller, and by the port of the route. */
  std::map<std::pair<FlowKey, std::uint16_t>, Flow> mFlows;
  std::atomic<bool> mIsStopping = false;
  std::thread mThread;
};

/** Probes readiness and hashes flows over the balancers in rotation. */
class Fabric
{
public:
  Fabric(const Net& aNet, int aCount);
  ~Fabric();
  /** Index of the balancer for a flow by `mod`; -1 if none. */
  int nodeFor(std::uint32_t aClient, std::uint16_t aPort);
  int nodeFor(std::uint32_t aClient,
              std::uint16_t aPort,
              const std::vector<int>& aRotation) const;
  std::vector<int> rotation();
  bool waitForRotation(std::size_t aCount, std::int64_t aTimeoutMs);
  /** Whether the platform probes a node; only one that was added is. */
  void setProbed(int aIndex, bool aIsProbed);
  /** Waits until just before the probe of a node. */
  void waitBeforeProbe(int aIndex);

private:
  void run(int aIndex);

  Net mNet;
  std::mutex mMutex;
  std::vector<bool> mIsIn;
  std::vector<bool> mIsProbed;
  std::vector<int> mMisses;
  std::vector<std::int64_t> mNextProbeAt;
  std::atomic<bool> mIsStopping = false;
  std::vector<std::thread> mThreads;
};

/** One flow of a caller. */
struct ClientFlow
{
  std::uint16_t port = 0;
  std::uint16_t routePort = 0;
  std::uint32_t seq = 0;
  std::uint32_t peerSeq = 0;
  bool isOpen = false;
  bool isAborted = false;
  bool isWaiting = false;
  int answers = 0;
  std::int64_t openedAt = 0;
  std::int64_t lastAnswerAt = 0;
  /** A reset that no backend server sent arrived on the open flow. */
  bool hasForeignReset = false;
  std::int64_t resetAt = 0;
  Packet request;
  std::int64_t sentAt = 0;
  std::int64_t retryAt = 0;
  std::int64_t retryDelay = 0;
  int synCount = 0;
  std::string server;
};

/** Callers at one address. */
class Client
{
public:
  Client(const Net& aNet, int aIndex, Fabric& aFabric);
  ~Client();
  std::uint32_t address() const { return mAddress; }
  /** Opens a flow; aPort 0 takes the next free port. */
  std::uint16_t open(std::uint16_t aRoutePort, std::uint16_t aPort = 0);
  /** Sends a request on an open flow that waits for no answer. */
  bool request(std::uint16_t aPort);
  ClientFlow get(std::uint16_t aPort);
  std::vector<ClientFlow> all();

private:
  void run();
  void handle(const Packet& aPacket);
  void send(const Packet& aPacket);
  Packet packet(const ClientFlow& aFlow, std::uint8_t aFlags) const;

  Net mNet;
  Fabric& mFabric;
  std::uint32_t mAddress;
  int mSocket = -1;
  std::mutex mMutex;
  std::map<std::uint16_t, ClientFlow> mFlows;
  std::uint16_t mNextPort = 40'000;
  std::uint32_t mNextRequest = 1;
  std::atomic<bool> mIsStopping = false;
  std::thread mThread;
};

/** The settings, as the platform writes them for a small deployment. */
struct Deployment
{
  Net net;
  std::string directory;
  std::string balancerCommand;
  std::string agentCommand;
  int balancers = 1;

  std::unique_ptr<Process> balancer(int aIndex) const;
  std::unique_ptr<Process> agent(int aIndex, const std::string& aService) const;
};

struct RouteText
{
  std::uint16_t port;
  std::string type;
  std::string service;
};
std::string
configText(const Net& aNet,
           int aVersion,
           const std::vector<RouteText>& aRoutes,
           const std::vector<std::string>& aServices);
std::string
entryText(const Net& aNet,
          const Server& aServer,
          const std::string& aState,
          std::int64_t aBorn);
std::int64_t
unixMs();
/** Reads a gauge of a process's metrics page; -1 if it is not there. */
double
readMetric(std::uint32_t aAddress,
           std::uint16_t aPort,
           const std::string& aName);

} // namespace World
