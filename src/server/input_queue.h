// The inputs that wait for the core, which one thread takes one by one.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "core/controller/controller.h"

namespace sorrelwood {

// A call of the controller. It runs on the core's thread alone.
using Input = std::function<Actions(Controller&, Controller::Time)>;

enum class InputPriority {
  kSystem,  // from workers, peers, the state service and the cloud
  kUser,
};

class InputQueue {
 public:
  // `limit` is what IsOverloaded compares with; Push never refuses.
  explicit InputQueue(size_t limit) : limit_(limit) {}

  void Push(Input input, InputPriority priority);
  // More inputs wait than the limit: what can be asked for again is turned
  // away.
  bool IsOverloaded();
  // The next input. Users' come after all others: guards against a storm of
  // them holding up lease renewals and heartbeats. Empty when none has come by
  // `deadline` (steady clock, s).
  Input Pop(double deadline);

 private:
  bool IsEmpty() const { return system_.empty() && user_.empty(); }

  const size_t limit_;
  std::mutex mutex_;
  std::condition_variable pushed_;
  std::deque<Input> system_;
  std::deque<Input> user_;
};

}  // namespace sorrelwood
