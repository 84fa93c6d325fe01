#pragma once

#include <absl/status/status.h>

#include <pthread.h>

#include <functional>
#include <memory>
#include <string>

namespace Core {

/** A named POSIX thread, which is joined on destruction. */
class Task
{
public:
  Task() = default;
  Task(Task&& aOther) noexcept;
  Task& operator=(Task&& aOther) noexcept;
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  ~Task();

  /** Starts the thread; aName is truncated to the system's 15 characters. */
  absl::Status start(const std::string& aName, std::function<void()> aBody);
  void join();

private:
  pthread_t mThread{};
  bool mRunning = false;
};

} // namespace Core
