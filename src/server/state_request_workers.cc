#include "server/state_request_workers.h"

#include <utility>

#include "base/constants/state_service.h"
#include "base/constants/threads.h"
#include "concurrency/threads.h"
#include "state/state_client.h"

namespace sorrelwood {
namespace {

// Sends any kind of request and waits for its result.
class StateRequestSender {
 public:
  explicit StateRequestSender(StateClient* client) : client_(client) {}

  StateResult operator()(const StateTransaction& transaction) {
    return client_->Transact(transaction);
  }
  StateResult operator()(const StateGet& get) { return client_->Get(get); }
  StateResult operator()(const StateList& list) { return client_->List(list); }
  StateResult operator()(const StateWatch& watch) {
    return client_->Watch(watch);
  }
  StateResult operator()(const LeaseCreate& create) {
    return client_->CreateLease(create);
  }
  StateResult operator()(const LeaseRenew& renew) {
    return client_->RenewLease(renew);
  }

 private:
  StateClient* client_;
};

}  // namespace

void StateRequestWorkers::Start() {
  StartThreads("renewal", 1, kLeaseRenewalTimeoutS, &lease_renewals_);
  StartThreads("watch", 1, kWatchDurationS + kWatchTimeoutMarginS, &watches_);
  StartThreads("list", 1, kStateRequestTimeoutS, &lists_);
  StartThreads("writes", kLeaderStateThreads, kStateRequestTimeoutS,
               &leader_requests_);
  StartThreads("users", kUserStateThreads, kStateRequestTimeoutS,
               &user_requests_);
  StartThreads("polls", kPollStateThreads, kStateRequestTimeoutS, &polls_);
}

void StateRequestWorkers::Send(StateRequest request) {
  Queue& queue = FindQueue(request);
  queue.Push(std::move(request));
}

StateRequestWorkers::Queue& StateRequestWorkers::FindQueue(
    StateConnection connection) {
  switch (connection) {
    case StateConnection::kLeaseRenewal: return lease_renewals_;
    case StateConnection::kLeader: return leader_requests_;
    case StateConnection::kPoll: return polls_;
    case StateConnection::kUser: return user_requests_;
  }
  return user_requests_;
}

StateRequestWorkers::Queue& StateRequestWorkers::FindQueue(
    const StateRequest& request) {
  if (const auto* transaction = std::get_if<StateTransaction>(&request))
    return FindQueue(transaction->connection);
  if (const auto* get = std::get_if<StateGet>(&request))
    return FindQueue(get->connection);
  if (std::holds_alternative<StateList>(request)) return lists_;
  if (std::holds_alternative<StateWatch>(request)) return watches_;
  return lease_renewals_;
}

void StateRequestWorkers::StartThreads(const char* name, int count,
                                       double timeout_s, Queue* queue) {
  for (int i = 0; i < count; ++i) {
    StartThread(name, [this, timeout_s, queue] {
      StateClient client(address_, timeout_s);
      for (;;) {
        const StateRequest request = queue->Pop();
        inputs_->Push(
            [result = std::visit(StateRequestSender(&client), request)](
                Controller& controller, Controller::Time time) {
              return controller.Deliver(time, result);
            },
            InputPriority::kSystem);
      }
    });
  }
}

}  // namespace sorrelwood
