#include "server/cloud_request_workers.h"

#include <utility>

#include "base/constants/cloud.h"
#include "base/constants/threads.h"
#include "cloud/cloud_client.h"
#include "concurrency/threads.h"

namespace sorrelwood {
namespace {

// Sends any kind of request and waits for its result.
class CloudRequestSender {
 public:
  explicit CloudRequestSender(CloudClient* client) : client_(client) {}

  CloudResult operator()(const FetchCatalog& fetch) {
    return client_->GetCatalog(fetch);
  }
  CloudResult operator()(const ListCloudMachines& list) {
    return client_->ListMachines(list);
  }
  CloudResult operator()(const ProvisionMachines& provision) {
    return client_->Provision(provision);
  }
  CloudResult operator()(const ReleaseMachines& release) {
    return client_->Release(release);
  }

 private:
  CloudClient* client_;
};

}  // namespace

void CloudRequestWorkers::Start() {
  StartThreads("cloud-list", 1, &read_requests_);
  StartThreads("cloud", kCloudChangeThreads, &change_requests_);
}

void CloudRequestWorkers::Send(CloudRequest request) {
  const bool is_read = std::holds_alternative<FetchCatalog>(request) ||
                       std::holds_alternative<ListCloudMachines>(request);
  (is_read ? read_requests_ : change_requests_).Push(std::move(request));
}

void CloudRequestWorkers::StartThreads(const char* name, int count,
                                       Queue* queue) {
  for (int i = 0; i < count; ++i) {
    StartThread(name, [this, queue] {
      CloudClient client(address_, kCloudTimeoutS);
      for (;;) {
        const CloudRequest request = queue->Pop();
        inputs_->Push(
            [result = std::visit(CloudRequestSender(&client), request)](
                Controller& controller, Controller::Time time) {
              return controller.Deliver(time, result);
            },
            InputPriority::kSystem);
      }
    });
  }
}

}  // namespace sorrelwood
