#include "http/poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <array>

#include "base/constants/http_connections.h"

namespace sorrelwood {

bool Poller::Open() {
  epoll_ = FileDescriptor(epoll_create1(EPOLL_CLOEXEC));
  return epoll_.valid();
}

bool Poller::Add(int socket) { return Control(EPOLL_CTL_ADD, socket); }

bool Poller::Rearm(int socket) { return Control(EPOLL_CTL_MOD, socket); }

std::vector<int> Poller::Wait(double timeout_s) {
  constexpr double kMillisecondsPerSecond = 1000;
  std::array<epoll_event, kMaxEpollEvents> events;
  const int count =
      epoll_wait(epoll_.get(), events.data(), kMaxEpollEvents,
                 static_cast<int>(timeout_s * kMillisecondsPerSecond));
  std::vector<int> sockets;
  sockets.reserve(static_cast<size_t>(std::max(0, count)));
  for (int i = 0; i < count; ++i)
    sockets.push_back(events[static_cast<size_t>(i)].data.fd);
  return sockets;
}

void Poller::Wake() {
  // The event is readable from the start and never reset.
  wake_event_ = FileDescriptor(eventfd(1, EFD_CLOEXEC));
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wake_event_.get();
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wake_event_.get(), &event);
}

bool Poller::Control(int operation, int socket) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLONESHOT;
  event.data.fd = socket;
  return epoll_ctl(epoll_.get(), operation, socket, &event) == 0;
}

}  // namespace sorrelwood
