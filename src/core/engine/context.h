// What all components of the core share while they handle one input: the time,
// the random source, the actions to return, and the callbacks that wait for
// results.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/engine/actions.h"

namespace sorrelwood {

using StateCallback = std::function<void(const StateResult&)>;
using CloudCallback = std::function<void(const CloudResult&)>;
using PushCallback = std::function<void(const PushResult&)>;

class Context {
 public:
  explicit Context(uint64_t seed) : rng(seed) {}

  double now = 0;        // steady clock, s
  double wall_time = 0;  // time of day, s since the epoch
  std::mt19937_64 rng;
  Actions actions;     // to be returned for this input
  bool debug = false;  // whether debug lines are logged
  // Machines and jobs examined for this input, as a measure of its cost.
  uint64_t items_examined = 0;

  void Transact(StateConnection connection,
                std::vector<Precondition> preconditions,
                std::vector<Mutation> mutations, StateCallback on_result) {
    actions.push_back(StateTransaction{AddStateCallback(std::move(on_result)),
                                       connection, std::move(preconditions),
                                       std::move(mutations)});
  }
  void GetKey(StateConnection connection, std::string key,
              StateCallback on_result) {
    actions.push_back(StateGet{AddStateCallback(std::move(on_result)),
                               connection, std::move(key)});
  }
  void ListKeys(std::string prefix, StateCallback on_result) {
    actions.push_back(
        StateList{AddStateCallback(std::move(on_result)), std::move(prefix)});
  }
  void WatchKeys(std::string prefix, uint64_t after, StateCallback on_result) {
    actions.push_back(StateWatch{AddStateCallback(std::move(on_result)),
                                 std::move(prefix), after});
  }
  void CreateLease(double ttl_s, StateCallback on_result) {
    actions.push_back(
        LeaseCreate{AddStateCallback(std::move(on_result)), ttl_s});
  }
  void RenewLease(uint64_t lease, StateCallback on_result) {
    actions.push_back(
        LeaseRenew{AddStateCallback(std::move(on_result)), lease});
  }
  void RequestCatalog(CloudCallback on_result) {
    actions.push_back(FetchCatalog{AddCloudCallback(std::move(on_result))});
  }
  void Provision(ProvisioningRecord record, double not_after,
                 CloudCallback on_result) {
    actions.push_back(ProvisionMachines{AddCloudCallback(std::move(on_result)),
                                        std::move(record), not_after});
  }
  void Release(std::vector<std::string> machines, double not_after,
               CloudCallback on_result) {
    actions.push_back(ReleaseMachines{AddCloudCallback(std::move(on_result)),
                                      std::move(machines), not_after});
  }
  void ListMachines(double page_pause_s, CloudCallback on_result) {
    actions.push_back(ListCloudMachines{AddCloudCallback(std::move(on_result)),
                                        page_pause_s});
  }
  void PushCommands(PushedCommands pushed, PushCallback on_result) {
    pushed.id = next_id_++;
    push_callbacks_[pushed.id] = std::move(on_result);
    actions.push_back(std::move(pushed));
  }

  void Debug(std::string message, LogFields fields = {}) {
    Log(LogLevel::kDebug, std::move(message), std::move(fields));
  }
  void Info(std::string message, LogFields fields = {}) {
    Log(LogLevel::kInfo, std::move(message), std::move(fields));
  }
  void Error(std::string message, LogFields fields = {}) {
    Log(LogLevel::kError, std::move(message), std::move(fields));
  }

  // Each function runs the callback that waits for the result.
  void Deliver(const StateResult& result) {
    if (result.outcome == Outcome::kRefused ||
        result.outcome == Outcome::kUnknown) {
      if (state_unserved_since_ == 0) state_unserved_since_ = now;
    } else {
      state_unserved_since_ = 0;
      state_served_at_ = now;
    }
    RunCallback(state_callbacks_, result);
  }
  void Deliver(const CloudResult& result) {
    RunCallback(cloud_callbacks_, result);
  }
  void Deliver(const PushResult& result) {
    RunCallback(push_callbacks_, result);
  }

  // Since when the state service has refused or not answered every request
  // (steady clock, s); 0: it serves requests.
  double state_unserved_since() const { return state_unserved_since_; }
  // When the state service last served a request (steady clock, s; 0: never).
  double state_served_at() const { return state_served_at_; }

  // Uniform in [0, 1).
  double Random() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(rng);
  }

 private:
  void Log(LogLevel level, std::string message, LogFields fields) {
    actions.push_back(LogEvent{level, std::move(message), std::move(fields)});
  }
  uint64_t AddStateCallback(StateCallback on_result) {
    state_callbacks_[next_id_] = std::move(on_result);
    return next_id_++;
  }
  uint64_t AddCloudCallback(CloudCallback on_result) {
    cloud_callbacks_[next_id_] = std::move(on_result);
    return next_id_++;
  }
  // Removes and calls the callback of a result. A duplicate result has none and
  // is ignored.
  template <typename Callbacks, typename Result>
  void RunCallback(Callbacks& callbacks, const Result& result) {
    auto entry = callbacks.find(result.id);
    if (entry == callbacks.end()) return;
    auto callback = std::move(entry->second);
    callbacks.erase(entry);
    callback(result);
  }

  uint64_t next_id_ = 1;
  double state_unserved_since_ = 0, state_served_at_ = 0;
  std::map<uint64_t, StateCallback> state_callbacks_;
  std::map<uint64_t, CloudCallback> cloud_callbacks_;
  std::map<uint64_t, PushCallback> push_callbacks_;
};

}  // namespace sorrelwood
