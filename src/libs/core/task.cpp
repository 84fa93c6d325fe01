#include "core/task.h"

#include "core/errorcontext.h"

#include <utility>

namespace Core {

namespace {

constexpr std::size_t kMaxThreadNameLength = 15;

void*
runBody(void* aBody)
{
  const std::unique_ptr<std::function<void()>> body(
    static_cast<std::function<void()>*>(aBody));
  (*body)();
  return nullptr;
}

} // namespace

Task::Task(Task&& aOther) noexcept
  : mThread(aOther.mThread)
  , mRunning(std::exchange(aOther.mRunning, false))
{
}

Task&
Task::operator=(Task&& aOther) noexcept
{
  if (this != &aOther) {
    join();
    mThread = aOther.mThread;
    mRunning = std::exchange(aOther.mRunning, false);
  }
  return *this;
}

Task::~Task()
{
  join();
}

absl::Status
Task::start(const std::string& aName, std::function<void()> aBody)
{
  auto body = std::make_unique<std::function<void()>>(std::move(aBody));
  const int error = pthread_create(&mThread, nullptr, runBody, body.get());
  if (error != 0) {
    return withContext(
      absl::ErrnoToStatus(error, "pthread_create"), "start thread", aName);
  }
  static_cast<void>(body.release());
  mRunning = true;
  pthread_setname_np(mThread, aName.substr(0, kMaxThreadNameLength).c_str());
  return absl::OkStatus();
}

void
Task::join()
{
  if (mRunning) {
    pthread_join(mThread, nullptr);
    mRunning = false;
  }
}

} // namespace Core
