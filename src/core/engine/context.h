// What every part of the core shares while it handles one input: the time, the
// random numbers, the actions to return, and who waits for which result.
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

  double now = 0;   // steady clock, s
  double wall = 0;  // time of day, s
  std::mt19937_64 rng;
  Actions out;
  bool debug = false;  // whether debug lines are wanted
  uint64_t work = 0;   // machines and jobs looked at for this input

  void Transact(StateConnection connection,
                std::vector<Precondition> preconditions,
                std::vector<Mutation> mutations, StateCallback done) {
    out.push_back(StateTransaction{Expect(std::move(done)), connection,
                                   std::move(preconditions),
                                   std::move(mutations)});
  }
  void Get(StateConnection connection, std::string key, StateCallback done) {
    out.push_back(
        StateGet{Expect(std::move(done)), connection, std::move(key)});
  }
  void List(std::string prefix, StateCallback done) {
    out.push_back(StateList{Expect(std::move(done)), std::move(prefix)});
  }
  void Watch(std::string prefix, uint64_t after, StateCallback done) {
    out.push_back(
        StateWatch{Expect(std::move(done)), std::move(prefix), after});
  }
  void CreateLease(double ttl_s, StateCallback done) {
    out.push_back(LeaseCreate{Expect(std::move(done)), ttl_s});
  }
  void RenewLease(uint64_t lease, StateCallback done) {
    out.push_back(LeaseRenew{Expect(std::move(done)), lease});
  }
  void Catalog(CloudCallback done) {
    out.push_back(FetchCatalog{ExpectCloud(std::move(done))});
  }
  void Rent(ProvisioningRecord rent, double not_after, CloudCallback done) {
    out.push_back(ProvisionMachines{ExpectCloud(std::move(done)),
                                    std::move(rent), not_after});
  }
  void Release(std::vector<std::string> machines, double not_after,
               CloudCallback done) {
    out.push_back(ReleaseMachines{ExpectCloud(std::move(done)),
                                  std::move(machines), not_after});
  }
  void ListMachines(double page_pause_s, CloudCallback done) {
    out.push_back(
        ListCloudMachines{ExpectCloud(std::move(done)), page_pause_s});
  }
  void PushCommands(PushedCommands command, PushCallback done) {
    command.id = next_id_++;
    direct_[command.id] = std::move(done);
    out.push_back(std::move(command));
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

  void Deliver(const StateResult& result) {
    if (result.outcome == Outcome::kRefused ||
        result.outcome == Outcome::kUnknown) {
      if (unserved_since_ == 0) unserved_since_ = now;
    } else {
      unserved_since_ = 0;
      served_at_ = now;
    }
    Call(state_, result);
  }
  void Deliver(const CloudResult& result) { Call(cloud_, result); }
  void Deliver(const PushResult& result) { Call(direct_, result); }

  // Since when the state service has served nothing that was asked, whether it
  // refused or did not answer; 0: it serves.
  double unserved_since() const { return unserved_since_; }
  double served_at() const { return served_at_; }

  // Uniform in [0, 1).
  double Random() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(rng);
  }

 private:
  void Log(LogLevel level, std::string message, LogFields fields) {
    out.push_back(LogEvent{level, std::move(message), std::move(fields)});
  }
  uint64_t Expect(StateCallback done) {
    state_[next_id_] = std::move(done);
    return next_id_++;
  }
  uint64_t ExpectCloud(CloudCallback done) {
    cloud_[next_id_] = std::move(done);
    return next_id_++;
  }
  // A repeated result finds nobody waiting and does nothing.
  template <typename Callbacks, typename Result>
  void Call(Callbacks& callbacks, const Result& result) {
    auto it = callbacks.find(result.id);
    if (it == callbacks.end()) return;
    auto callback = std::move(it->second);
    callbacks.erase(it);
    callback(result);
  }

  uint64_t next_id_ = 1;
  double unserved_since_ = 0, served_at_ = 0;
  std::map<uint64_t, StateCallback> state_;
  std::map<uint64_t, CloudCallback> cloud_;
  std::map<uint64_t, PushCallback> direct_;
};

}  // namespace sorrelwood
