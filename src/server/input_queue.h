// The queue of inputs for the core, which a single thread processes one by one.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "core/controller/controller.h"

namespace sorrelwood {

// A call of the controller, which runs only on the core's thread.
using Input = std::function<Actions(Controller&, Controller::Time)>;

enum class InputPriority {
  kSystem,  // from workers, peers, the state service and the cloud
  kUser,    // from users
};

class InputQueue {
 public:
  // `limit` only affects IsOverloaded; Push accepts any number of inputs.
  explicit InputQueue(size_t limit) : limit_(limit) {}

  void Push(Input input, InputPriority priority);
  // True if more inputs are queued than the limit. Callers then reject requests
  // that clients repeat anyway.
  bool IsOverloaded();
  // Returns the next input, or an empty one if none arrives by `deadline`
  // (steady clock, s). System inputs precede users' inputs, so that a burst of
  // user requests can't delay lease renewals and heartbeats.
  Input Pop(double deadline);

 private:
  bool IsEmpty() const {
    return system_inputs_.empty() && user_inputs_.empty();
  }

  const size_t limit_;
  std::mutex mutex_;
  std::condition_variable input_pushed_;
  std::deque<Input> system_inputs_;
  std::deque<Input> user_inputs_;
};

}  // namespace sorrelwood
