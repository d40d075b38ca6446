// Owns a file descriptor and closes it in the destructor.
#pragma once

#include <unistd.h>

#include <utility>

namespace sorrelwood {

class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~FileDescriptor() {
    if (valid()) close(descriptor_);
  }

  bool valid() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }

 private:
  int descriptor_ = -1;  // -1: none
};

}  // namespace sorrelwood
