// Threads that send the core's requests to the cloud, each with a connection of
// its own. Reading its catalogue and lists has a thread for itself: guards
// against many pages holding up rentals and releases.
#pragma once

#include <string>
#include <variant>

#include "concurrency/blocking_queue.h"
#include "core/engine/actions.h"
#include "server/input_queue.h"

namespace sorrelwood {

using CloudRequest = std::variant<FetchCatalog, ListCloudMachines,
                                  ProvisionMachines, ReleaseMachines>;

class CloudRequestWorkers {
 public:
  // `address` is that of the cloud; results go into `inputs`.
  CloudRequestWorkers(std::string address, InputQueue* inputs)
      : address_(std::move(address)), inputs_(inputs) {}

  // The threads run for the life of the process.
  void Start();
  void Send(CloudRequest request);

 private:
  using Queue = BlockingQueue<CloudRequest>;

  void StartThreads(const char* name, int count, Queue* queue);

  const std::string address_;
  InputQueue* const inputs_;
  Queue reads_;
  Queue changes_;
};

}  // namespace sorrelwood
