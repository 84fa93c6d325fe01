#include "commands.h"

#include "core/endpoint.h"

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

namespace StandIns {

namespace {

constexpr std::size_t kServerThreads = 128;
constexpr std::chrono::milliseconds kStopCheckInterval{ 50 };

struct Value
{
  std::uint64_t index = 0;
  std::string text;
};

/** The values of the configuration service; clients can wait for changes. */
class ValueStore
{
public:
  void put(const std::string& aKey, const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    mValues[aKey] = { ++mIndex, aText };
    mChanged.notify_all();
  }

  /** Waits until the value's index differs from aIndex; false on timeout. */
  bool wait(const std::string& aKey,
            std::uint64_t aIndex,
            std::chrono::milliseconds aTimeout,
            Value& aValue)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(lock, aTimeout, [&] {
      const auto it = mValues.find(aKey);
      return it != mValues.end() && it->second.index != aIndex;
    });
    const auto it = mValues.find(aKey);
    if (it == mValues.end() || it->second.index == aIndex) {
      return false;
    }
    aValue = it->second;
    return true;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Value> mValues;
  std::uint64_t mIndex = 0;
};

} // namespace

int
runPlatformService(const cxxopts::ParseResult& aOptions)
{
  const auto listen = Core::parseEndpoint(aOptions["listen"].as<std::string>());
  if (!listen.ok()) {
    std::cerr << listen.status().message() << "\n";
    return 2;
  }
  ValueStore values;
  std::atomic<std::uint64_t> requestCount = 0;
  httplib::Server server;
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server.Get(R"(/v1/(.*))", [&](const auto& aRequest, auto& aResponse) {
    ++requestCount;
    const auto numberParameter = [&aRequest](const char* aName) {
      const auto text = aRequest.get_param_value(aName);
      return text.empty() ? 0 : std::stoull(text);
    };
    Value value;
    const bool hasChanged = values.wait(
      aRequest.matches[1],
      numberParameter("index"),
      std::chrono::milliseconds(numberParameter("waitMilliseconds")),
      value);
    if (!hasChanged) {
      aResponse.status = 304;
      return;
    }
    aResponse.set_header("X-Index", std::to_string(value.index));
    aResponse.set_content(value.text, "application/json");
  });
  server.Put(R"(/admin/(.*))", [&](const auto& aRequest, auto&) {
    values.put(aRequest.matches[1], aRequest.body);
  });
  server.Get("/calls", [&](const auto&, auto& aResponse) {
    aResponse.set_content(std::to_string(requestCount.load()), "text/plain");
  });
  std::thread stopper([&server] {
    while (!isStopRequested()) {
      std::this_thread::sleep_for(kStopCheckInterval);
    }
    server.stop();
  });
  const bool ok =
    server.listen(Core::formatAddress(listen->address), listen->port);
  stopper.join();
  return ok || isStopRequested() ? 0 : 1;
}

} // namespace StandIns
