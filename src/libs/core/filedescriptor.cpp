#include "core/filedescriptor.h"

#include <unistd.h>
#include <utility>

namespace Core {

FileDescriptor::FileDescriptor(int aValue)
  : mValue(aValue)
{
}

FileDescriptor::FileDescriptor(FileDescriptor&& aOther) noexcept
  : mValue(std::exchange(aOther.mValue, -1))
{
}

FileDescriptor&
FileDescriptor::operator=(FileDescriptor&& aOther) noexcept
{
  if (this != &aOther) {
    close();
    mValue = std::exchange(aOther.mValue, -1);
  }
  return *this;
}

FileDescriptor::~FileDescriptor()
{
  close();
}

void
FileDescriptor::close()
{
  if (isValid()) {
    ::close(mValue);
    mValue = -1;
  }
}

} // namespace Core
