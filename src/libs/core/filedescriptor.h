#pragma once

namespace Core {

/** Owns a file descriptor and closes it when destroyed. */
class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aValue);
  FileDescriptor(FileDescriptor&& aOther) noexcept;
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor();

  int value() const { return mValue; }
  bool isValid() const { return mValue >= 0; }

private:
  void close();

  int mValue = -1;
};

} // namespace Core
