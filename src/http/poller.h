// Waits for many sockets at once (epoll). Any thread may add sockets while one
// waits.
#pragma once

#include <vector>

#include "http/file_descriptor.h"

namespace sorrelwood {

class Poller {
 public:
  // False when the system has no descriptor left.
  bool Open();
  // Reports the socket once when it is readable; Rearm for the next time.
  // False when the system refuses.
  bool Add(int socket);
  bool Rearm(int socket);
  // Sockets that are readable; none when `timeout_s` has passed.
  std::vector<int> Wait(double timeout_s);
  // Ends the present Wait and all later ones.
  void Wake();

 private:
  bool Control(int operation, int socket);

  FileDescriptor epoll_;
  FileDescriptor wake_event_;
};

}  // namespace sorrelwood
