// Threads that send the core's requests to the cloud, each over its own
// connection. Reads of the catalogue and of the inventory have a separate
// thread, so that a long inventory does not delay provisioning and releases.
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
  // `address` is the cloud's "IP:port". Results are pushed to `inputs`.
  CloudRequestWorkers(std::string address, InputQueue* inputs)
      : address_(std::move(address)), inputs_(inputs) {}

  // The threads run until the process ends.
  void Start();
  // Queues a request for a thread of its class.
  void Send(CloudRequest request);

 private:
  using Queue = BlockingQueue<CloudRequest>;

  void StartThreads(const char* name, int count, Queue* queue);

  const std::string address_;
  InputQueue* const inputs_;
  Queue read_requests_;
  Queue change_requests_;
};

}  // namespace sorrelwood
