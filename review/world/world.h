// Stand-ins for the platform of lacewingspread, on loopback addresses: the
// store, backend servers ("targets"), clients, and the start of the project's
// own programs. One thread runs everything except the readiness probes.
//
// The stand-ins follow the pages PROTOCOL.md and DEPLOY.md and nothing else.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;

enum Flag : std::uint8_t
{
  RST = 2,
  BOUNCED = 4,
  SYN = 8,
  FIN = 64,
  ACK = 128
};

inline std::uint32_t
address(const std::string& text)
{
  in_addr a{};
  inet_pton(AF_INET, text.c_str(), &a);
  return ntohl(a.s_addr);
}

inline std::string
text(std::uint32_t a)
{
  char buf[32];
  std::snprintf(buf,
                sizeof(buf),
                "%u.%u.%u.%u",
                a >> 24,
                (a >> 16) & 255,
                (a >> 8) & 255,
                a & 255);
  return buf;
}

struct Packet
{
  std::uint32_t echo = 0, seq = 0, ack = 0, dst = 0, src = 0, sum = 0;
  std::uint16_t dport = 0, sport = 0;
  std::uint8_t flags = 0;
  std::string data;

  /** The keyed sum of the two ends; leaves out echo and BOUNCED. */
  std::uint32_t expectedSum() const
  {
    std::uint32_t h = 2166136261u ^ 0x5eed1234u;
    auto mix = [&h](std::uint32_t v, int n) {
      for (int i = 0; i < n; ++i) {
        h = (h ^ ((v >> (8 * i)) & 255)) * 16777619u;
      }
    };
    mix(data.size(), 2);
    mix(seq, 4);
    mix(ack, 4);
    mix(flags & ~BOUNCED, 1);
    mix(dst, 4);
    mix(src, 4);
    mix(dport, 2);
    mix(sport, 2);
    for (char c : data) {
      mix(static_cast<std::uint8_t>(c), 1);
    }
    return h == 0 ? 1 : h;
  }
  std::string bytes() const
  {
    std::string b;
    auto put = [&b](std::uint32_t v, int n) {
      for (int i = 0; i < n; ++i) {
        b.push_back(static_cast<char>((v >> (8 * i)) & 255));
      }
    };
    put(data.size(), 2);
    put(echo, 4);
    put(seq, 4);
    put(ack, 4);
    put(flags, 1);
    put(dst, 4);
    put(src, 4);
    put(dport, 2);
    put(sport, 2);
    put(sum, 4);
    return b + data;
  }
  static bool parse(const char* d, std::size_t n, Packet& p)
  {
    if (n < 31) {
      return false;
    }
    auto get = [d](int at, int count) {
      std::uint32_t v = 0;
      for (int i = 0; i < count; ++i) {
        v |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(d[at + i]))
             << (8 * i);
      }
      return v;
    };
    p.echo = get(2, 4);
    p.seq = get(6, 4);
    p.ack = get(10, 4);
    p.flags = get(14, 1);
    p.dst = get(15, 4);
    p.src = get(19, 4);
    p.dport = get(23, 2);
    p.sport = get(25, 2);
    p.sum = get(27, 4);
    if (get(0, 2) != n - 31) {
      return false;
    }
    p.data.assign(d + 31, n - 31);
    return true;
  }
};

/** Timers, sockets and the record. */
class Loop
{
public:
  explicit Loop(const std::string& recordPath)
    : record(std::fopen(recordPath.c_str(), "w"))
  {
  }
  ~Loop()
  {
    if (record) {
      std::fclose(record);
    }
  }
  std::int64_t now() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 start)
      .count();
  }
  void note(const char* format, ...) __attribute__((format(printf, 2, 3)))
  {
    if (!record) {
      return;
    }
    std::fprintf(record, "%8.3f ", now() / 1000.0);
    va_list args;
    va_start(args, format);
    std::vfprintf(record, format, args);
    va_end(args);
    std::fputc('\n', record);
    std::fflush(record);
  }
  void after(std::int64_t ms, std::function<void()> f)
  {
    timers.emplace(now() + ms, std::move(f));
  }
  void watch(int fd, short events, std::function<void(short)> f)
  {
    fds[fd] = { events, std::move(f) };
  }
  void unwatch(int fd) { fds.erase(fd); }
  void runUntil(std::int64_t end, const std::function<bool()>& isDone = nullptr)
  {
    while (now() < end && !(isDone && isDone())) {
      std::int64_t wait = end - now();
      if (!timers.empty()) {
        wait = std::min(wait, timers.begin()->first - now());
      }
      wait = std::max<std::int64_t>(0, std::min<std::int64_t>(wait, 100));
      std::vector<pollfd> p;
      for (auto& [fd, w] : fds) {
        p.push_back({ fd, w.events, 0 });
      }
      poll(p.data(), p.size(), static_cast<int>(wait));
      for (auto& e : p) {
        if (e.revents) {
          auto it = fds.find(e.fd);
          if (it != fds.end()) {
            auto f = it->second.f;
            f(e.revents);
          }
        }
      }
      while (!timers.empty() && timers.begin()->first <= now()) {
        auto f = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        f();
      }
    }
  }
  void runFor(std::int64_t ms) { runUntil(now() + ms); }

private:
  struct Watch
  {
    short events;
    std::function<void(short)> f;
  };
  Clock::time_point start = Clock::now();
  std::FILE* record;
  std::multimap<std::int64_t, std::function<void()>> timers;
  std::map<int, Watch> fds;
};

inline int
boundSocket(int type, const std::string& ip, std::uint16_t port)
{
  int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(address(ip));
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline void
sendUdp(int fd, std::uint32_t ip, std::uint16_t port, const std::string& bytes)
{
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(ip);
  sendto(fd,
         bytes.data(),
         bytes.size(),
         MSG_DONTWAIT,
         reinterpret_cast<sockaddr*>(&a),
         sizeof(a));
}

/** The ports of a day are the same on all machines. */
struct Ports
{
  std::uint16_t udp = 0, ready = 0, control = 0, outbound = 0, app = 0,
                store = 0, internal = 0;
  static Ports choose(const std::vector<std::string>& ips)
  {
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 200; ++tries) {
      const std::uint16_t base = 20000 + random() % 11000;
      bool free = true;
      for (auto& ip : ips) {
        for (int i = 0; i < 24 && free; ++i) {
          for (int type : { SOCK_DGRAM, SOCK_STREAM }) {
            int fd = boundSocket(type, ip, base + i);
            free = free && fd >= 0;
            if (fd >= 0) {
              close(fd);
            }
          }
        }
      }
      if (free) {
        Ports p;
        p.udp = base;
        p.ready = base + 1;
        p.control = base + 2;
        p.outbound = base + 3;
        p.app = base + 4;
        p.store = base + 5;
        p.internal = base + 6;
        return p;
      }
    }
    return {};
  }
};

inline std::string
base64(const std::string& in)
{
  static const char* k =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::size_t i = 0;
  for (; i + 2 < in.size(); i += 3) {
    const std::uint32_t v = (std::uint8_t(in[i]) << 16) |
                            (std::uint8_t(in[i + 1]) << 8) |
                            std::uint8_t(in[i + 2]);
    out += { k[v >> 18], k[(v >> 12) & 63], k[(v >> 6) & 63], k[v & 63] };
  }
  if (in.size() - i == 1) {
    const std::uint32_t v = std::uint8_t(in[i]) << 16;
    out += { k[v >> 18], k[(v >> 12) & 63], '=', '=' };
  } else if (in.size() - i == 2) {
    const std::uint32_t v =
      (std::uint8_t(in[i]) << 16) | (std::uint8_t(in[i + 1]) << 8);
    out += { k[v >> 18], k[(v >> 12) & 63], k[(v >> 6) & 63], '=' };
  }
  return out;
}

/** The platform's metadata store: kv-key, kv-range and kv-watch. */
class Store
{
public:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0, created = 0;
  };
  /** What the store does with calls. */
  enum class Mode
  {
    Serve,
    Busy,
    Silent
  };

  Store(Loop& loop, const std::string& ip, std::uint16_t port)
    : loop(loop)
  {
    listener = boundSocket(SOCK_STREAM, ip, port);
    if (listener >= 0) {
      listen(listener, 128);
      loop.watch(listener, POLLIN, [this](short) { accept(); });
    }
  }
  bool isOpen() const { return listener >= 0; }
  std::uint64_t put(const std::string& key, const std::string& value)
  {
    auto& item = items[key];
    ++revision;
    item.value = value;
    item.revision = revision;
    if (!item.created) {
      item.created = revision;
    }
    history.push_back({ key, revision, false, item });
    answerWatches();
    return revision;
  }
  void erase(const std::string& key)
  {
    if (items.erase(key)) {
      ++revision;
      history.push_back({ key, revision, true, {} });
      answerWatches();
    }
  }
  std::map<std::string, Item> items;
  std::uint64_t revision = 10;
  std::uint32_t era = 1;
  Mode mode = Mode::Serve;
  int pageSize = 500;

private:
  struct Event
  {
    std::string key;
    std::uint64_t revision;
    bool isDeleted;
    Item item;
  };
  struct Connection
  {
    std::string in;
    bool isWatching = false;
    std::uint64_t after = 0;
    std::string prefix;
    std::uint64_t id = 0;
  };

  void accept()
  {
    sockaddr_in a{};
    socklen_t n = sizeof(a);
    int fd;
    while ((fd = accept4(listener,
                         reinterpret_cast<sockaddr*>(&a),
                         &n,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
      int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      auto c = std::make_shared<Connection>();
      c->id = ++lastId;
      connections[fd] = c;
      loop.watch(fd, POLLIN, [this, fd](short) { read(fd); });
    }
  }
  void drop(int fd)
  {
    loop.unwatch(fd);
    connections.erase(fd);
    close(fd);
  }
  void read(int fd)
  {
    char buf[8192];
    for (;;) {
      const auto n = recv(fd, buf, sizeof(buf), 0);
      if (n > 0) {
        connections[fd]->in.append(buf, n);
      } else if (n == 0 || errno != EAGAIN) {
        drop(fd);
        return;
      } else {
        break;
      }
    }
    auto c = connections[fd];
    const auto end = c->in.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto line = c->in.substr(0, c->in.find("\r\n"));
    c->in.erase(0, end + 4);
    const auto path = line.substr(4, line.rfind(' ') - 4);
    handle(fd, c, path);
  }
  static std::map<std::string, std::string> query(const std::string& path)
  {
    std::map<std::string, std::string> q;
    auto at = path.find('?');
    while (at != std::string::npos && at + 1 < path.size()) {
      const auto next = path.find('&', at + 1);
      const auto part =
        path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const auto eq = part.find('=');
      std::string v;
      for (std::size_t i = eq + 1; eq != std::string::npos && i < part.size();
           ++i) {
        if (part[i] == '%') {
          v += static_cast<char>(
            std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          v += part[i] == '+' ? ' ' : part[i];
        }
      }
      q[part.substr(0, eq)] = v;
      at = next;
    }
    return q;
  }
  std::string json(const std::string& key, const Item& item) const
  {
    return "{\"key\":\"" + key + "\",\"value\":\"" + base64(item.value) +
           "\",\"revision\":" + std::to_string(item.revision) +
           ",\"createdRev\":" + std::to_string(item.created) + ",\"lease\":0}";
  }
  void reply(int fd, std::uint64_t id, int status, const std::string& body)
  {
    auto it = connections.find(fd);
    if (it == connections.end() || it->second->id != id) {
      return;
    }
    const auto send = [this, fd, id, status, body] {
      auto found = connections.find(fd);
      if (found == connections.end() || found->second->id != id) {
        return;
      }
      const std::string out =
        "HTTP/1.1 " + std::to_string(status) +
        " X\r\nContent-Type: application/json\r\nStore-Era: " +
        std::to_string(era) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
      sendAll(fd, out);
    };
    loop.after(4, send);
  }
  /** Answers may be larger than the socket's buffer. */
  void sendAll(int fd, const std::string& out)
  {
    std::size_t sent = 0;
    while (sent < out.size()) {
      const auto n =
        ::send(fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += n;
        continue;
      }
      pollfd p{ fd, POLLOUT, 0 };
      if (errno != EAGAIN || poll(&p, 1, 200) <= 0) {
        return;
      }
    }
  }
  void handle(int fd,
              const std::shared_ptr<Connection>& c,
              const std::string& path)
  {
    if (mode == Mode::Busy) {
      reply(fd, c->id, 503, "{}");
      return;
    }
    if (mode == Mode::Silent) {
      return;
    }
    const auto q = query(path);
    const auto get = [&q](const char* name) {
      return q.count(name) ? q.at(name) : std::string();
    };
    if (path.rfind("/api/kv-range", 0) == 0) {
      std::string body = "{\"items\":[";
      int n = 0;
      bool more = false;
      for (auto& [key, item] : items) {
        if (key.rfind(get("prefix"), 0) != 0 ||
            (!get("after").empty() && key <= get("after"))) {
          continue;
        }
        if (n == pageSize) {
          more = true;
          break;
        }
        body += (n++ ? "," : "") + json(key, item);
      }
      reply(fd,
            c->id,
            200,
            body + "],\"hasMore\":" + (more ? "true" : "false") +
              ",\"currentRev\":" + std::to_string(revision) + "}");
    } else if (path.rfind("/api/kv-watch", 0) == 0) {
      c->after = std::strtoull(get("after").c_str(), nullptr, 10);
      if (c->after > revision) {
        reply(fd, c->id, 410, "{}");
        return;
      }
      c->isWatching = true;
      c->prefix = get("prefix");
      if (!answerWatch(fd, *c, false)) {
        const auto id = c->id;
        const auto after = c->after;
        loop.after(std::atoi(get("waitMs").c_str()), [this, fd, id, after] {
          auto it = connections.find(fd);
          if (it != connections.end() && it->second->id == id &&
              it->second->isWatching && it->second->after == after) {
            answerWatch(fd, *it->second, true);
          }
        });
      }
    } else {
      reply(fd, c->id, 404, "{}");
    }
  }
  bool answerWatch(int fd, Connection& c, bool isDue)
  {
    if (mode == Mode::Busy && isDue) {
      c.isWatching = false;
      reply(fd, c.id, 503, "{}");
      return true;
    }
    if (mode == Mode::Silent) {
      return false;
    }
    std::string events;
    for (auto& e : history) {
      if (e.revision <= c.after || e.key.rfind(c.prefix, 0) != 0) {
        continue;
      }
      events += events.empty() ? "" : ",";
      events += e.isDeleted
                  ? "{\"key\":\"" + e.key +
                      "\",\"revision\":" + std::to_string(e.revision) +
                      ",\"deleted\":true}"
                  : json(e.key, e.item);
    }
    if (events.empty() && !isDue) {
      return false;
    }
    c.isWatching = false;
    reply(fd,
          c.id,
          200,
          "{\"events\":[" + events +
            "],\"currentRev\":" + std::to_string(revision) + "}");
    return true;
  }
  void answerWatches()
  {
    if (mode != Mode::Serve) {
      return;
    }
    for (auto& [fd, c] : connections) {
      if (c->isWatching) {
        answerWatch(fd, *c, false);
      }
    }
  }

  Loop& loop;
  int listener = -1;
  std::uint64_t lastId = 0;
  std::map<int, std::shared_ptr<Connection>> connections;
  std::vector<Event> history;
};

/** A backend server beside an agent. */
class Target
{
public:
  Target(Loop& loop,
         Store& store,
         const Ports& ports,
         std::string id,
         std::string service,
         std::string zone,
         std::string ip)
    : id(std::move(id))
    , service(std::move(service))
    , zone(std::move(zone))
    , ip(std::move(ip))
    , loop(loop)
    , store(store)
    , ports(ports)
  {
    born = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  }
  ~Target() { stop(); }
  bool start()
  {
    fd = boundSocket(SOCK_DGRAM, ip, ports.app);
    if (fd < 0) {
      return false;
    }
    loop.watch(fd, POLLIN, [this](short) { receive(); });
    return true;
  }
  void announce(const std::string& state)
  {
    draining = state == "draining";
    store.put("servers/" + id, entry(state));
    loop.note("target %s (%s at %s) is %s in the store",
              id.c_str(),
              service.c_str(),
              ip.c_str(),
              state.c_str());
  }
  std::string entry(const std::string& state) const
  {
    return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" +
           std::to_string(ports.app) + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"maxConcurrency\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":" +
           std::to_string(born) + "}";
  }
  /** The process ends; what it holds is lost. */
  void stop()
  {
    if (fd >= 0) {
      loop.unwatch(fd);
      close(fd);
      fd = -1;
      ++life;
      flows.clear();
    }
  }

  std::string id, service, zone, ip;
  std::int64_t born = 0;
  int slots = 7;
  bool draining = false;
  /** Opening packets that it took, by time, and requests that ran, by id. */
  std::vector<std::int64_t> openings;
  std::map<std::string, int> runs;
  std::uint64_t badSums = 0, bounced = 0;
  /** Packets other than opening ones, with the client's port. */
  std::vector<std::pair<std::int64_t, std::uint16_t>> arrivals;

private:
  using Key = std::pair<std::uint64_t, std::uint64_t>;
  struct Flow
  {
    std::uint32_t isn = 0, next = 0, sent = 0;
    bool isOpen = false;
    std::string in;
    std::map<std::uint32_t, std::string> early;
    Packet answer;
    bool hasAnswer = false;
  };

  void send(const Packet& from,
            Flow& f,
            std::uint8_t flags,
            std::uint32_t seq,
            const std::string& data = "")
  {
    Packet p;
    p.src = from.dst;
    p.sport = from.dport;
    p.dst = from.src;
    p.dport = from.sport;
    p.flags = flags;
    p.seq = seq;
    p.ack = f.next;
    p.data = data;
    p.sum = p.expectedSum();
    sendUdp(fd, address(ip), ports.outbound, p.bytes());
  }
  void receive()
  {
    char buf[2048];
    for (;;) {
      const auto n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
      if (n < 0) {
        return;
      }
      Packet p;
      if (!Packet::parse(buf, n, p) || p.sum != p.expectedSum() ||
          (p.flags & BOUNCED)) {
        ++badSums;
        loop.note("target %s got a packet that its sender did not write so",
                  id.c_str());
        continue;
      }
      handle(p, std::string(buf, n));
      if (fd < 0) {
        return;
      }
    }
  }
  void bounce(std::string bytes)
  {
    ++bounced;
    bytes[14] = static_cast<char>(bytes[14] | BOUNCED);
    sendUdp(fd, address(ip), ports.outbound, bytes);
  }
  void handle(const Packet& p, const std::string& bytes)
  {
    const Key key{ (std::uint64_t(p.src) << 16) | p.sport,
                   (std::uint64_t(p.dst) << 16) | p.dport };
    auto it = flows.find(key);
    if ((p.flags & SYN) && !(p.flags & ACK)) {
      if (it == flows.end()) {
        Flow f;
        f.isn = random();
        f.next = p.seq + 1;
        f.sent = f.isn + 1;
        it = flows.emplace(key, f).first;
        loop.note("target %s takes the opening packet of %s:%u",
                  id.c_str(),
                  text(p.src).c_str(),
                  p.sport);
        openings.push_back(loop.now());
      }
      send(p, it->second, SYN | ACK, it->second.isn);
      return;
    }
    arrivals.emplace_back(loop.now(), p.sport);
    if (it == flows.end() ||
        (!it->second.isOpen && p.ack != it->second.isn + 1)) {
      bounce(bytes);
      return;
    }
    auto& f = it->second;
    f.isOpen = true;
    if (p.flags & RST) {
      flows.erase(it);
      return;
    }
    if (!p.data.empty()) {
      if (p.seq != f.next) {
        if (static_cast<std::int32_t>(p.seq - f.next) > 0) {
          f.early[p.seq] = p.data;
        }
      } else {
        f.in += p.data;
        f.next += p.data.size();
        for (auto e = f.early.find(f.next); e != f.early.end();
             e = f.early.find(f.next)) {
          f.in += e->second;
          f.next += e->second.size();
          f.early.erase(e);
        }
      }
      // An answer that was lost is sent again when the request is.
      if (f.in.empty() && f.hasAnswer) {
        send(p, f, f.answer.flags, f.answer.seq, f.answer.data);
      } else {
        send(p, f, ACK, f.sent);
      }
      takeRequest(p, key, f);
      return;
    }
    if (p.flags & FIN) {
      ++f.next;
      send(p, f, ACK | FIN, f.sent);
      flows.erase(key);
    }
  }
  void takeRequest(const Packet& p, const Key& key, Flow& f)
  {
    const auto end = f.in.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto head = f.in.substr(0, end);
    const auto field = [&head](const std::string& name) {
      const auto at = head.find(name + ": ");
      return at == std::string::npos
               ? std::string()
               : head.substr(at + name.size() + 2,
                             head.find("\r\n", at) - at - name.size() - 2);
    };
    const auto length =
      static_cast<std::size_t>(std::atoi(field("Content-Length").c_str()));
    if (f.in.size() < end + 4 + length) {
      return;
    }
    f.in.erase(0, end + 4 + length);
    const auto request = field("X-Request-Id");
    const int work = std::atoi(field("X-Work-Ms").c_str());
    waiting.push_back({ p, key, request, work });
    runNext();
  }
  void runNext()
  {
    while (running < slots && !waiting.empty()) {
      const auto w = waiting.front();
      waiting.pop_front();
      ++running;
      ++runs[w.request];
      loop.note("target %s runs request %s", id.c_str(), w.request.c_str());
      const auto startedIn = life;
      loop.after(w.work, [this, w, startedIn] {
        if (startedIn != life) {
          return;
        }
        --running;
        auto it = flows.find(w.key);
        if (it != flows.end()) {
          auto& f = it->second;
          const std::string body = "answer to " + w.request;
          const std::string data =
            "HTTP/1.1 200 OK\r\nX-Server-Stamp: " + id +
            "\r\nX-Request-Id: " + w.request +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body;
          f.answer = {};
          f.answer.flags = draining ? ACK | FIN : ACK;
          f.answer.seq = f.sent;
          f.answer.data = data;
          f.hasAnswer = true;
          f.sent += data.size();
          loop.note(
            "target %s answers request %s", id.c_str(), w.request.c_str());
          send(w.packet, f, f.answer.flags, f.answer.seq, data);
        }
        runNext();
      });
    }
  }

  struct Waiting
  {
    Packet packet;
    Key key;
    std::string request;
    int work;
  };
  Loop& loop;
  Store& store;
  Ports ports;
  int fd = -1;
  int life = 0;
  int running = 0;
  std::deque<Waiting> waiting;
  std::map<Key, Flow> flows;
  std::mt19937 random{ std::random_device{}() };
};

/** A client host with its flows. The case names the balancer of each packet. */
class Client
{
public:
  enum class State
  {
    Opening,
    Open,
    Closed,
    Reset,
    Unopened
  };
  struct Flow
  {
    std::uint16_t port = 0;
    std::uint32_t routeIp = 0;
    std::uint16_t routePort = 0;
    std::string balancer;
    State state = State::Opening;
    std::uint32_t isn = 0, seq = 0, next = 0;
    std::string in;
    /** The request without an answer. */
    std::string request, bytes;
    std::int64_t sentAt = 0, budgetMs = 4000, answeredAt = 0;
    bool isWaiting = false, isLost = false, resetBySystem = false;
    std::string answerOf;
    std::function<void()> onOpen;
  };

  Client(Loop& loop, const Ports& ports, std::string ip)
    : ip(std::move(ip))
    , loop(loop)
    , ports(ports)
  {
  }
  ~Client()
  {
    if (fd >= 0) {
      loop.unwatch(fd);
      close(fd);
    }
  }
  bool start()
  {
    fd = boundSocket(SOCK_DGRAM, ip, ports.udp);
    if (fd < 0) {
      return false;
    }
    loop.watch(fd, POLLIN, [this](short) { receive(); });
    return true;
  }
  /** From the next port, or from one whose flow both ends have closed. */
  std::shared_ptr<Flow> open(const std::string& balancer,
                             const std::string& routeIp,
                             std::uint16_t routePort,
                             std::uint16_t port = 0)
  {
    auto f = std::make_shared<Flow>();
    f->port = port ? port : nextPort++;
    f->routeIp = address(routeIp);
    f->routePort = routePort;
    f->balancer = balancer;
    f->isn = random();
    f->seq = f->isn + 1;
    flows[f->port] = f;
    loop.note("client %s:%u opens a flow to %s:%u through %s",
              ip.c_str(),
              f->port,
              routeIp.c_str(),
              routePort,
              balancer.c_str());
    sendSyn(f, 0);
    return f;
  }
  void request(const std::shared_ptr<Flow>& f,
               const std::string& id,
               int workMs,
               const char* method = "GET")
  {
    f->request = id;
    f->isWaiting = true;
    f->isLost = false;
    f->sentAt = loop.now();
    f->bytes = std::string(method) +
               " /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id +
               "\r\nX-Work-Ms: " + std::to_string(workMs) +
               "\r\nContent-Length: 0\r\n\r\n";
    loop.note("client %s:%u sends request %s through %s",
              ip.c_str(),
              f->port,
              id.c_str(),
              f->balancer.c_str());
    transmit(f, id, 200);
  }
  void close_(const std::shared_ptr<Flow>& f)
  {
    if (f->state == State::Open) {
      send(f, FIN | ACK, f->seq, "");
      f->state = State::Closed;
    }
  }
  std::string ip;
  std::uint64_t badPackets = 0;

private:
  void send(const std::shared_ptr<Flow>& f,
            std::uint8_t flags,
            std::uint32_t seq,
            const std::string& data,
            std::uint32_t ack = 0)
  {
    Packet p;
    p.src = address(ip);
    p.sport = f->port;
    p.dst = f->routeIp;
    p.dport = f->routePort;
    p.flags = flags;
    p.seq = seq;
    p.ack = flags == SYN ? ack : f->next;
    p.data = data;
    p.sum = p.expectedSum();
    sendUdp(fd, address(f->balancer), ports.udp, p.bytes());
  }
  void sendSyn(const std::shared_ptr<Flow>& f, int copy)
  {
    if (f->state != State::Opening) {
      return;
    }
    if (copy == 3) {
      f->state = State::Unopened;
      loop.note("client %s:%u got no answer to its opening packets",
                ip.c_str(),
                f->port);
      return;
    }
    send(f, SYN, f->isn, "", copy);
    static const int kNext[] = { 200, 400, 800 };
    loop.after(kNext[copy], [this, f, copy] { sendSyn(f, copy + 1); });
  }
  void transmit(const std::shared_ptr<Flow>& f,
                const std::string& id,
                int interval)
  {
    if (f->state != State::Open || !f->isWaiting || f->request != id) {
      return;
    }
    if (loop.now() - f->sentAt >= f->budgetMs) {
      f->isWaiting = false;
      f->isLost = true;
      loop.note("client %s:%u gives up request %s at its time budget",
                ip.c_str(),
                f->port,
                id.c_str());
      return;
    }
    send(f, ACK, f->seq, f->bytes);
    loop.after(interval, [this, f, id, interval] {
      transmit(f, id, std::min(interval * 2, 1600));
    });
  }
  void receive()
  {
    char buf[2048];
    for (;;) {
      const auto n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
      if (n < 0) {
        return;
      }
      Packet p;
      if (!Packet::parse(buf, n, p)) {
        ++badPackets;
        loop.note("client %s got bytes that are no packet", ip.c_str());
        continue;
      }
      handle(p);
    }
  }
  void handle(const Packet& p)
  {
    auto it = flows.find(p.dport);
    const bool isOwnReset = (p.flags & RST) && p.data.empty() && p.sum == 0;
    if (!isOwnReset && p.sum != p.expectedSum()) {
      ++badPackets;
      loop.note("client %s:%u got a packet that its sender did not write so",
                ip.c_str(),
                p.dport);
      return;
    }
    if (it == flows.end() || it->second->routeIp != p.src ||
        it->second->routePort != p.sport) {
      return;
    }
    auto f = it->second;
    if (p.flags & RST) {
      const bool isOpen = f->state == State::Open;
      if (isOwnReset && isOpen &&
          static_cast<std::uint32_t>(
            std::abs(static_cast<std::int32_t>(p.seq - f->next))) > 76800) {
        return;
      }
      if (f->state != State::Open && f->state != State::Opening) {
        return;
      }
      loop.note("client %s:%u: its %s flow is reset by %s%s%s",
                ip.c_str(),
                f->port,
                isOpen ? "open" : "new",
                isOwnReset ? "the system" : "the target",
                f->isWaiting ? ", without an answer to request " : "",
                f->isWaiting ? f->request.c_str() : "");
      f->resetBySystem = isOwnReset && isOpen;
      f->state = State::Reset;
      f->isLost = f->isWaiting;
      f->isWaiting = false;
      return;
    }
    if ((p.flags & (SYN | ACK)) == (SYN | ACK)) {
      if (f->state == State::Opening) {
        f->state = State::Open;
        f->next = p.seq + 1;
        loop.note("client %s:%u: its flow is open", ip.c_str(), f->port);
        send(f, ACK, f->seq, "");
        if (f->onOpen) {
          f->onOpen();
        }
      } else if (f->state == State::Open && f->next == p.seq + 1) {
        send(f, ACK, f->seq, "");
      }
      return;
    }
    if (f->state != State::Open) {
      return;
    }
    if (!p.data.empty() && p.seq == f->next) {
      f->next += p.data.size();
      f->in += p.data;
      takeAnswer(f);
    }
    if (!p.data.empty()) {
      send(f, ACK, f->seq, "");
    }
    if (p.flags & FIN) {
      ++f->next;
      send(f, FIN | ACK, f->seq, "");
      f->state = State::Closed;
    }
  }
  void takeAnswer(const std::shared_ptr<Flow>& f)
  {
    const auto end = f->in.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto head = f->in.substr(0, end);
    const auto at = head.find("Content-Length: ");
    const auto length =
      static_cast<std::size_t>(std::atoi(head.c_str() + at + 16));
    if (f->in.size() < end + 4 + length) {
      return;
    }
    const auto body = f->in.substr(end + 4, length);
    f->in.erase(0, end + 4 + length);
    f->answerOf = body.substr(body.rfind(' ') + 1);
    if (f->isWaiting && f->answerOf == f->request) {
      f->isWaiting = false;
      f->answeredAt = loop.now();
      f->seq += f->bytes.size();
      loop.note("client %s:%u gets the answer to request %s",
                ip.c_str(),
                f->port,
                f->request.c_str());
    } else {
      loop.note("client %s:%u gets an answer to %s that it does not await",
                ip.c_str(),
                f->port,
                f->answerOf.c_str());
    }
  }

  Loop& loop;
  Ports ports;
  int fd = -1;
  std::uint16_t nextPort = 40000;
  std::map<std::uint16_t, std::shared_ptr<Flow>> flows;
  std::mt19937 random{ std::random_device{}() };
};

/** One process of the project, as the deploy file starts it. */
class Node
{
public:
  Node(Loop& loop,
       std::string name,
       std::string settings,
       std::string folder,
       std::vector<std::string> command)
    : name(std::move(name))
    , loop(loop)
    , settings(std::move(settings))
    , folder(std::move(folder))
    , command(std::move(command))
  {
  }
  ~Node() { end(); }
  void start()
  {
    const auto path = folder + "/" + name + ".toml";
    if (auto* f = std::fopen(path.c_str(), "w")) {
      std::fputs(settings.c_str(), f);
      std::fclose(f);
    }
    const auto log = folder + "/" + name + ".log";
    pid = fork();
    if (pid == 0) {
      // Ends with this process, also if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      setenv("LACEWINGSPREAD_SETTINGS", path.c_str(), 1);
      std::vector<char*> argv;
      for (auto& word : command) {
        argv.push_back(word.data());
      }
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    loop.note("process %s is started", name.c_str());
  }
  void signal(int number)
  {
    if (pid > 0) {
      loop.note("process %s gets signal %d", name.c_str(), number);
      kill(pid, number);
    }
  }
  /** Whether the process has ended. */
  bool hasEnded()
  {
    int status = 0;
    if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
      exitStatus = status;
      pid = -1;
    }
    return pid <= 0;
  }
  void end()
  {
    if (pid > 0) {
      kill(pid, SIGKILL);
      kill(pid, SIGCONT);
      int status = 0;
      waitpid(pid, &status, 0);
      pid = -1;
    }
  }
  std::string name;
  pid_t pid = -1;
  int exitStatus = 0;

private:
  Loop& loop;
  std::string settings, folder;
  std::vector<std::string> command;
};

/** Addresses and settings of a small deployment. */
class Deployment
{
public:
  Deployment(Loop& loop, std::string folder, std::string program)
    : loop(loop)
    , folder(std::move(folder))
    , program(std::move(program))
  {
  }

  std::string commonSettings(const std::string& name,
                             const std::string& ip,
                             const std::string& zone,
                             const char* machineClass,
                             const char* role,
                             const char* serves) const
  {
    std::string seedText;
    for (auto& seed : seeds) {
      seedText += (seedText.empty() ? "\"" : ",\"") + seed + ":" +
                  std::to_string(ports.control) + "\"";
    }
    std::string s;
    s += "nodeName = \"" + name + "\"\nrole = \"" + role +
         "\"\nmachineClass = \"" + machineClass + "\"\nserves = " + serves +
         "\n";
    s += "ip = \"" + ip + "\"\nzone = \"" + zone + "\"\nregion = \"bg-west\"\n";
    s += "internalPorts = [" + std::to_string(ports.internal) + "," +
         std::to_string(ports.internal + 15) + "]\n";
    s += "seedNodes = [" + seedText +
         "]\nbootstrap = true\ninTolerance = false\ndiscovery = "
         "\"platform\"\nentryMode = \"bgp\"\n";
    s += "heartbeatMs = 1200\ncontracts = "
         "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\","
         "\"platform\"]\n";
    s += "hash = \"mod\"\ndeploymentMode = \"agent\"\n";
    return s + extra(ip, machineClass);
  }
  std::shared_ptr<Node> balancer(const std::string& name,
                                 const std::string& ip,
                                 const std::string& zone)
  {
    const auto s = commonSettings(name,
                                  ip,
                                  zone,
                                  "frontend",
                                  "balancer",
                                  "[\"frontend\",\"control_plane\"]");
    return std::make_shared<Node>(
      loop,
      name,
      s,
      folder,
      std::vector<std::string>{ program, "balancer", "--platform" });
  }
  std::shared_ptr<Node> agent(const std::string& name,
                              const std::string& ip,
                              const std::string& zone,
                              const std::string& service)
  {
    auto s = commonSettings(name, ip, zone, "side", "agent", "[\"side\"]");
    s = "app = \"" + ip + ":" + std::to_string(ports.app) + "\"\nservice = \"" +
        service + "\"\n" + s;
    return std::make_shared<Node>(
      loop,
      name,
      s,
      folder,
      std::vector<std::string>{ program, "agent", "--platform" });
  }
  /** GET /api/readyz; the node has 300 ms to answer. */
  bool isReady(const std::string& ip) const
  {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval t{ 0, 300000 };
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(ports.ready);
    a.sin_addr.s_addr = htonl(address(ip));
    bool ok = connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof(a)) == 0;
    if (ok) {
      const std::string r =
        "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      ::send(fd, r.data(), r.size(), MSG_NOSIGNAL);
      char buf[64] = {};
      ok = recv(fd, buf, sizeof(buf) - 1, 0) > 0 && std::strstr(buf, " 200 ");
    }
    close(fd);
    return ok;
  }
  bool waitUntilReady(const std::vector<std::string>& ips, std::int64_t ms)
  {
    const auto end = loop.now() + ms;
    while (loop.now() < end) {
      bool all = true;
      for (auto& ip : ips) {
        all = all && isReadyInChild(ip);
      }
      if (all) {
        return true;
      }
      loop.runFor(100);
    }
    return false;
  }

  Ports ports;
  std::vector<std::string> seeds;
  std::string storeIp;
  std::string zones = "sofia-a = \"bg-west\"\nsofia-b = \"bg-west\"\n";

private:
  /** The node may need the store of this loop to get ready, so it is asked
   * between two turns. */
  bool isReadyInChild(const std::string& ip)
  {
    loop.runFor(20);
    return isReady(ip);
  }
  std::string extra(const std::string& ip, const char* machineClass) const
  {
    const auto at = [&ip](std::uint16_t port) {
      return "\"" + ip + ":" + std::to_string(port) + "\"\n";
    };
    const bool isSide = std::string(machineClass) == "side";
    std::string s = "[zones]\n" + zones +
                    "[listenAddrs]\nudpAddr = " + at(ports.udp) +
                    "readinessAddr = " + at(ports.ready);
    s += isSide ? "outbound = " + at(ports.outbound)
                : "controlPlane = " + at(ports.control);
    s += "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = "
         "4100\nlinkMbps = 1000.0\ndiskMb = 0\n";
    s += "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n";
    s += "[bounds]\nseedLagS = 3\nreuseDelayS = 2\nstableWindowMs = "
         "4000\nackTimeoutMs = 5000\ncatchUpS = 4\ndrainTimeoutMs = 3000\n"
         "gracePeriodS = 6\nlossSlackMs = 200\nconfigApplyMs = "
         "3000\nrollbackSlackMs = 250\nmaxSkewMs = 12000\nrecoveryS = 12\n"
         "flowTimeoutMs = 2000\nflowLifetimeS = 60\n";
    s += "[platform]\naddress = \"" + storeIp + ":" +
         std::to_string(ports.store) +
         "\"\ndeploymentMode = \"read\"\nwritesPerS = 400\nreadsPerS = "
         "2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    return s;
  }

  Loop& loop;
  std::string folder, program;
};

struct RouteSpec
{
  std::string host;
  std::uint16_t port;
  std::string type, service;
  int timeoutMs, aimMs, priority;
};

inline std::string
configuration(int version,
              const std::vector<RouteSpec>& routes,
              const std::vector<std::string>& services,
              int idleTimeoutMs = 15000)
{
  std::string s = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  int n = 0;
  for (auto& r : routes) {
    s += (n ? "," : "") + std::string("{\"name\":\"r-") + std::to_string(n) +
         "\",\"host\":\"" + r.host + "\",\"prefix\":\"/" +
         std::to_string(r.port) + "/\",\"type\":\"" + r.type +
         "\",\"timeoutMs\":" + std::to_string(r.timeoutMs) +
         ",\"aimMs\":" + std::to_string(r.aimMs) +
         ",\"priority\":" + std::to_string(r.priority) + ",\"service\":\"" +
         r.service + "\",\"maxAttempts\":2}";
    ++n;
  }
  s += "],\"services\":[";
  n = 0;
  for (auto& name : services) {
    s += (n++ ? "," : "") + std::string("{\"name\":\"") + name +
         "\",\"healthCheckPath\":\"/"
         "healthz\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}";
  }
  return s +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":" +
         std::to_string(idleTimeoutMs) + "}}";
}

} // namespace world
