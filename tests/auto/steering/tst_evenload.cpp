#include "steering/queuetime.h"
#include "steering/replyprogress.h"
#include "steering/servicetimeestimator.h"
#include "steering/targetselection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <numeric>
#include <random>

namespace {

using namespace std::chrono_literals;
using Steering::Candidate;
using Steering::LoadForecast;

constexpr std::size_t kServers = 46;
constexpr std::size_t kZones = 4;
constexpr int kSlots = 2;
constexpr double kArrivalsPerMs = 1.484;
constexpr double kWorkMs = 27.6;
constexpr double kObjectiveMs = 250;
constexpr double kLossRate = 0.1;
constexpr int kWarmupMs = 1'000;
constexpr int kDurationMs = 11'000;
constexpr int kWindowMs = 100;

/** A server with a queue in order of arrival, in steps of 1 ms. */
struct Server
{
  double speed = 1;
  std::array<double, kSlots> freeAt{};
  std::vector<double> ends;
  /** Requests in progress, and their number 1 ms ago. */
  int requests = 0;
  int previousRequests = 0;
  Steering::ServiceTimeEstimator estimator;

  double add(double aNow, double aWork)
  {
    auto& slot = *std::min_element(freeAt.begin(), freeAt.end());
    slot = std::max(slot, aNow) + aWork * speed;
    ends.push_back(slot);
    return slot;
  }
  void advance(double aNow)
  {
    std::erase_if(ends, [aNow](double aEnd) { return aEnd <= aNow; });
    previousRequests = std::exchange(requests, static_cast<int>(ends.size()));
  }
};

struct Balancer
{
  std::unique_ptr<Steering::ReplyProgress> replies =
    std::make_unique<Steering::ReplyProgress>();
  Steering::AgentLoadTable loads{ *replies };
  LoadForecast forecast;
};

struct Setup
{
  std::size_t balancers = 22;
  int ageMs = 50;
  bool isUnequal = false;
  std::uint64_t seed = 1;
};

struct Result
{
  /** Busiest to mean of the requests in progress, mean of all windows. */
  double busiest = 0;
  /** Share of server time idle while another server has a queue. */
  double idleBesideQueue = 0;
  double onTime = 0;
};

class Simulation;
using Policy =
  std::function<std::size_t(Simulation&, std::size_t, std::uint64_t)>;

class Simulation
{
public:
  Simulation(const Setup& aSetup, Policy aPolicy)
    : setup(aSetup)
    , servers(kServers)
    , balancers(aSetup.balancers)
    , targets(kServers)
    , mPolicy(std::move(aPolicy))
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      const auto isSlow = i % 3 == 2;
      servers[i].speed = !setup.isUnequal ? 1 : isSlow ? 1.7 : 0.7;
      targets[i].agent = { static_cast<std::uint32_t>(i + 1), 1 };
      targets[i].slots = kSlots;
      targets[i].zone = std::to_string(i % kZones);
    }
  }

  Result run()
  {
    scheduleReports();
    for (nowMs = 1; nowMs <= kDurationMs; ++nowMs) {
      for (auto& server : servers) {
        server.advance(nowMs);
      }
      report();
      std::poisson_distribution<int> arrivals(kArrivalsPerMs);
      for (int i = arrivals(random); i > 0; --i) {
        place();
      }
      measure();
    }
    constexpr double kMeasuredMs = kDurationMs - kWarmupMs;
    mResult.busiest /= kMeasuredMs / kWindowMs;
    mResult.idleBesideQueue /= kMeasuredMs * kServers;
    mResult.onTime /= mPlaced;
    return mResult;
  }

  Core::TimePoint now() const
  {
    return Core::TimePoint(std::chrono::milliseconds(nowMs + 100'000));
  }
  const Steering::LoadEstimate& load(std::size_t aBalancer, std::size_t aServer)
  {
    return balancers[aBalancer].loads.find(targets[aServer].agent);
  }
  std::vector<Candidate> candidates(std::size_t aBalancer)
  {
    std::vector<Candidate> all;
    for (std::size_t i = 0; i < kServers; ++i) {
      all.push_back(
        { &targets[i], &load(aBalancer, i), i % kZones == aBalancer % kZones });
    }
    return all;
  }
  std::size_t indexOf(const Candidate* aCandidate) const
  {
    return static_cast<std::size_t>(aCandidate->target - targets.data());
  }

  Setup setup;
  std::vector<Server> servers;
  std::vector<Balancer> balancers;
  std::vector<Steering::Target> targets;
  std::mt19937_64 random{ setup.seed };
  int nowMs = 0;

private:
  /** Each server reports to each balancer every 2 * ageMs, 1 ms ago. */
  void scheduleReports()
  {
    const auto interval = 2 * static_cast<std::size_t>(setup.ageMs);
    mReports.resize(interval);
    for (std::size_t b = 0; b < balancers.size(); ++b) {
      for (std::size_t s = 0; s < kServers; ++s) {
        const auto phase = Steering::mixBits(b * kServers + s + 1);
        mReports[(interval - phase % interval) % interval].emplace_back(b, s);
      }
    }
  }
  void report()
  {
    std::bernoulli_distribution isLost(kLossRate);
    const auto phase = static_cast<std::size_t>(nowMs) % mReports.size();
    for (const auto& [b, s] : mReports[phase]) {
      if (!isLost(random)) {
        Steering::ReportedLoad reported;
        reported.inProgress =
          static_cast<std::uint16_t>(servers[s].previousRequests);
        reported.serviceTime = servers[s].estimator.reportedMean();
        balancers[b].loads.recordReport(targets[s].agent, reported, now());
      }
    }
  }
  void place()
  {
    const auto isTail = std::bernoulli_distribution(0.03)(random);
    const auto work = kWorkMs * (isTail ? 7 : (1 - 0.03 * 7) / 0.97);
    const auto balancer = random() % balancers.size();
    const auto chosen = mPolicy(*this, balancer, random());
    auto& server = servers[chosen];
    const auto end = server.add(nowMs, work);
    server.estimator.record(0,
                            std::chrono::round<Core::Duration>(
                              LoadForecast::Milliseconds(work * server.speed)));
    balancers[balancer].loads.recordNewFlow(targets[chosen].agent, false);
    if (nowMs > kWarmupMs) {
      ++mPlaced;
      mResult.onTime += end - nowMs <= kObjectiveMs ? 1 : 0;
    }
  }
  void measure()
  {
    if (nowMs <= kWarmupMs) {
      return;
    }
    const auto hasQueue =
      std::any_of(servers.begin(), servers.end(), [](const Server& aServer) {
        return aServer.ends.size() > kSlots;
      });
    for (std::size_t i = 0; i < kServers; ++i) {
      mWindow[i] += static_cast<double>(servers[i].ends.size());
      mResult.idleBesideQueue += hasQueue && servers[i].ends.empty() ? 1 : 0;
    }
    if (nowMs % kWindowMs == 0) {
      const auto sum = std::accumulate(mWindow.begin(), mWindow.end(), 0.0);
      mResult.busiest +=
        *std::max_element(mWindow.begin(), mWindow.end()) * kServers / sum;
      mWindow = {};
    }
  }

  /** Pairs of balancer and server by phase. */
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> mReports;
  Policy mPolicy;
  Result mResult;
  double mPlaced = 0;
  std::array<double, kServers> mWindow{};
};

/** The server with the least cost. */
template<typename Cost>
std::size_t
least(Cost aCost)
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < kServers; ++i) {
    best = aCost(i) < aCost(best) ? i : best;
  }
  return best;
}

std::size_t
ideal(Simulation& aSimulation, std::size_t, std::uint64_t aHash)
{
  return least([&](std::size_t aServer) {
    const auto& server = aSimulation.servers[aServer];
    const auto free =
      *std::min_element(server.freeAt.begin(), server.freeAt.end());
    const auto wait = std::max(free - aSimulation.nowMs, 0.0);
    return std::make_tuple(
      wait + kWorkMs * server.speed, server.ends.size(), aHash ^ aServer);
  });
}

std::size_t
presentSelection(Simulation& aSimulation,
                 std::size_t aBalancer,
                 std::uint64_t aHash)
{
  const auto all = aSimulation.candidates(aBalancer);
  const auto select = [&](const std::vector<Candidate>& aFrom) {
    std::array<const Candidate*, 2> best{};
    const auto cost = [&](const Candidate& aCandidate) {
      return std::make_pair(
        (aCandidate.load->inProgress() + 1.0) / kSlots,
        ~Steering::rendezvousWeight(*aCandidate.target, aHash));
    };
    for (const auto& candidate : aFrom) {
      auto& zone = best.at(candidate.isLocalZone ? 0 : 1);
      zone =
        zone == nullptr || cost(candidate) < cost(*zone) ? &candidate : zone;
    }
    return cost(*best[0]).first > cost(*best[1]).first + 0.25 ? best[1]
                                                              : best[0];
  };
  const auto some = Steering::shortlist(all, aHash);
  const auto* chosen = select(some);
  const bool isFull = chosen->load->inProgress() >= kSlots;
  return aSimulation.indexOf(isFull ? select(all) : chosen);
}

std::size_t
newSelection(Simulation& aSimulation,
             std::size_t aBalancer,
             std::uint64_t aHash)
{
  const auto all = aSimulation.candidates(aBalancer);
  auto& forecast = aSimulation.balancers[aBalancer].forecast;
  forecast.update(all, aSimulation.now());
  Steering::Route route;
  route.latencyObjective = 250ms;
  const auto* chosen = Steering::selectOnTimeTarget(
    all,
    route,
    aHash,
    forecast,
    Steering::maxQueueTime(route.latencyObjective));
  chosen =
    chosen != nullptr ? chosen : Steering::selectForLateFlow(all, forecast);
  return aSimulation.indexOf(chosen);
}

/** The least reported load of aCount servers drawn for the flow. */
template<int aCount>
std::size_t
leastOfDrawn(Simulation& aSimulation,
             std::size_t aBalancer,
             std::uint64_t aHash)
{
  std::size_t best = aHash % kServers;
  for (int i = 1; i < aCount; ++i) {
    const auto other = Steering::mixBits(aHash + i) % kServers;
    best = aSimulation.load(aBalancer, other).inProgress() <
               aSimulation.load(aBalancer, best).inProgress()
             ? other
             : best;
  }
  return best;
}

template<typename Weight>
std::size_t
drawByWeight(std::uint64_t aHash, Weight aWeight)
{
  return least([&](std::size_t aServer) {
    const auto uniform =
      (static_cast<double>(Steering::mixBits(aHash ^ (aServer * 77 + 1)) >>
                           11) +
       1) *
      0x1p-53;
    return -std::log(uniform) / aWeight(aServer);
  });
}

std::size_t
freeCapacity(Simulation& aSimulation,
             std::size_t aBalancer,
             std::uint64_t aHash)
{
  return drawByWeight(aHash, [&](std::size_t aServer) {
    const auto& load = aSimulation.load(aBalancer, aServer);
    return std::max(kSlots - 1.0 * load.inProgress(), 0.02);
  });
}

std::size_t
decayingWeight(Simulation& aSimulation,
               std::size_t aBalancer,
               std::uint64_t aHash)
{
  return drawByWeight(aHash, [&](std::size_t aServer) {
    const auto& load = aSimulation.load(aBalancer, aServer);
    const std::chrono::duration<double, std::milli> age =
      aSimulation.now() - load.reportedAt;
    return std::exp(-3.0 * load.inProgress() * std::exp(-age.count() / 50));
  });
}

/** An idle server is used once by the balancer to which it reports that. */
std::size_t
idleReports(Simulation& aSimulation, std::size_t aBalancer, std::uint64_t aHash)
{
  const auto owner = [&](std::size_t aServer) {
    return Steering::mixBits(aServer + 1 +
                             aSimulation.nowMs / (2 * aSimulation.setup.ageMs) *
                               kServers) %
           aSimulation.balancers.size();
  };
  const auto chosen = least([&](std::size_t aServer) {
    const auto isIdle =
      aSimulation.load(aBalancer, aServer).inProgress() == 0 &&
      owner(aServer) == aBalancer;
    return std::make_pair(!isIdle, Steering::mixBits(aHash ^ aServer));
  });
  return chosen;
}

/** Servers with a queue or a slow answer get a tenth of a share. */
std::size_t
hotAndCold(Simulation& aSimulation, std::size_t aBalancer, std::uint64_t aHash)
{
  return drawByWeight(aHash, [&](std::size_t aServer) {
    const auto& load = aSimulation.load(aBalancer, aServer);
    const bool isHot = load.inProgress() >= kSlots ||
                       load.reported.serviceTime.count() > kWorkMs * 1.3;
    return isHot ? 0.1 : 1.0;
  });
}

/** Numbers of balancers with the ages of reports. */
const std::vector<std::pair<std::size_t, int>> kSizes{
  { 22, 5 },  { 22, 50 },  { 22, 250 },  { 22, 1'000 },
  { 59, 5 },  { 59, 50 },  { 59, 250 },  { 59, 1'000 },
  { 400, 5 }, { 400, 50 }, { 400, 250 }, { 400, 1'000 }
};

Result
simulate(const Setup& aSetup, const Policy& aPolicy)
{
  return Simulation(aSetup, aPolicy).run();
}

/** One balancer that knows all load. */
Result
simulateIdeal(const Setup& aSetup)
{
  return simulate({ 1, 1'000, aSetup.isUnequal, aSetup.seed }, ideal);
}

} // namespace

// Prints the table of docs/design/0012-even-load.md; it has no checks.
TEST_CASE("table of the algorithms" * doctest::skip(true))
{
  const std::vector<std::pair<const char*, Policy>> policies{
    { "ideal", ideal },
    { "forecast", newSelection },
    { "present", presentSelection },
    { "two choices", leastOfDrawn<2> },
    { "least of 8 drawn", leastOfDrawn<8> },
    { "free capacity", freeCapacity },
    { "decaying weight", decayingWeight },
    { "idle reports", idleReports },
    { "hot and cold", hotAndCold }
  };
  for (const bool isUnequal : { false, true }) {
    for (const auto& [balancers, ageMs] : kSizes) {
      for (const auto& [name, policy] : policies) {
        const auto result = simulate({ balancers, ageMs, isUnequal }, policy);
        std::printf("%d %3zu %4d %-17s %.2f %.3f %.4f\n",
                    isUnequal,
                    balancers,
                    ageMs,
                    name,
                    result.busiest,
                    result.idleBesideQueue,
                    result.onTime);
      }
    }
  }
}

// Guards against choices that ignore the speed of servers.
TEST_CASE("with unequal servers as many answers are on time as in the ideal")
{
  for (const auto& size : kSizes) {
    CAPTURE(size.first);
    CAPTURE(size.second);
    const Setup setup{ size.first, size.second, true };
    CHECK(simulate(setup, newSelection).onTime >=
          simulateIdeal(setup).onTime - 0.01);
  }
}

// Guards against a forecast that discards what new reports show.
TEST_CASE("with equal servers and new reports the load is as even as before")
{
  for (const std::size_t balancers : { 22, 59, 400 }) {
    Result before;
    Result after;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const Setup setup{ balancers, 5, false, seed };
      before.busiest += simulate(setup, presentSelection).busiest;
      after.busiest += simulate(setup, newSelection).busiest;
    }
    CAPTURE(balancers);
    CHECK(after.busiest <= before.busiest);
  }
}

// Guards against servers that are overloaded in turns. Known to fail: see
// KNOWN-RED.txt.
TEST_CASE("the busiest server is as busy as in the ideal" * doctest::may_fail())
{
  for (const auto& size : kSizes) {
    if (size.second > 250) {
      continue;
    }
    CAPTURE(size.first);
    CAPTURE(size.second);
    const Setup setup{ size.first, size.second };
    const auto bound = size.second <= 50 ? 1.05 : 1.15;
    CHECK(simulate(setup, newSelection).busiest <=
          simulateIdeal(setup).busiest * bound);
  }
}
