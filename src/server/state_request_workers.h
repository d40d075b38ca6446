// Threads that send the core's requests to the state service. Each class of
// requests has a queue and threads of its own, each thread a connection: guards
// against a slow response of one class holding up another, most of all the
// renewal of leases.
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
  // `address` is that of the state service; results go into `inputs`.
  StateRequestWorkers(std::string address, InputQueue* inputs)
      : address_(std::move(address)), inputs_(inputs) {}

  // The threads run for the life of the process.
  void Start();
  // Queues a request for a thread of its class.
  void Send(StateRequest request);

 private:
  using Queue = BlockingQueue<StateRequest>;

  Queue& QueueOf(StateConnection connection);
  Queue& QueueOf(const StateRequest& request);
  void StartThreads(const char* name, int count, double timeout_s,
                    Queue* queue);

  const std::string address_;
  InputQueue* const inputs_;
  Queue lease_renewals_, leader_requests_, user_requests_, polls_;
  Queue watches_, lists_;
};

}  // namespace sorrelwood
