// Threads that send the core's requests to the state service. Each class of
// requests has its own queue and threads, and each thread its own connection,
// so that slow responses of one class don't delay another. This matters most
// for the renewal of leases.
#pragma once

#include <string>
#include <variant>

#include "concurrency/blocking_queue.h"
#include "core/engine/actions.h"
#include "server/input_queue.h"

namespace sorrelwood {

using StateRequest = std::variant<StateTransaction, StateGet, StateList,
                                  StateWatch, LeaseCreate, LeaseRenew>;

class StateRequestWorkers {
 public:
  // `address` is the state service's "IP:port". Results are pushed to `inputs`.
  StateRequestWorkers(std::string address, InputQueue* inputs)
      : address_(std::move(address)), inputs_(inputs) {}

  // The threads run until the process ends.
  void Start();
  // Queues a request for a thread of its class.
  void Send(StateRequest request);

 private:
  using Queue = BlockingQueue<StateRequest>;

  Queue& FindQueue(StateConnection connection);
  Queue& FindQueue(const StateRequest& request);
  void StartThreads(const char* name, int count, double timeout_s,
                    Queue* queue);

  const std::string address_;
  InputQueue* const inputs_;
  Queue lease_renewals_, leader_requests_, user_requests_, polls_;
  Queue watches_, lists_;
};

}  // namespace sorrelwood
