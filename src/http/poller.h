// Waits for many sockets at once (epoll). Any thread may add sockets while
// another one waits.
#pragma once

#include <vector>

#include "http/file_descriptor.h"

namespace sorrelwood {

class Poller {
 public:
  // False if the system has no file descriptor left.
  bool Open();
  // Watches a socket. Wait returns it once when it is readable, and again only
  // after Rearm. Both return false if the system refuses.
  bool Add(int socket);
  bool Rearm(int socket);
  // Returns the readable sockets; none on timeout.
  std::vector<int> Wait(double timeout_s);
  // Makes the current Wait and all later ones return at once.
  void Wake();

 private:
  bool Control(int operation, int socket);

  FileDescriptor epoll_;
  FileDescriptor wake_event_;
};

}  // namespace sorrelwood
