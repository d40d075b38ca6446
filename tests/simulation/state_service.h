// The state service: versioned keys, transactions, leases and watches. It
// serves requests at once; StateNetwork simulates delay and loss.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/engine/actions.h"
#include "core/model/settings.h"

namespace sorrelwood::test {

class SimulatedCluster;

class SimulatedStateService {
 public:
  explicit SimulatedStateService(SimulatedCluster& cluster)
      : cluster_(cluster) {}

  StateResult Serve(const StateTransaction& request);
  StateResult Serve(const StateGet& request) const;
  StateResult Serve(const StateList& request) const;
  StateResult Serve(const LeaseCreate& request);
  StateResult Serve(const LeaseRenew& request);
  // Returns the changes that match the watch.
  StateResult ReadChanges(const StateWatch& watch) const;

  // Ends expired leases up to and including the first that has keys, which are
  // removed. False: no key was removed.
  bool ExpireNextLease();
  // Restarts the time of all leases, as after an outage.
  void RestartLeases();

  // Whether a stored record contains the result of the task.
  bool HasResult(const TaskId& task) const;
  bool HasProvisioningRecord(const std::string& name) const;
  // Whether the progress of any job was ever stored in several values.
  bool HasSplitProgress() const;

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
    uint64_t lease = 0;  // 0: none
  };
  struct Lease {
    double ttl_s = 0, expires_at_s = 0;
  };
  struct Change {
    uint64_t revision = 0;
    KeyValue item;
  };

  void ApplyMutation(const Mutation& mutation);
  bool UsesUnknownLease(const StateTransaction& request) const;
  // The limits in force now.
  StateLimits CurrentLimits() const;
  // The limit that the transaction exceeds, or kNone.
  StateRefusal FindExceededLimit(const StateTransaction& request);
  // Deducts the changes from the budget of the write rate; false: refused.
  bool ConsumeWriteBudget(double changes, double changes_per_s);

  SimulatedCluster& cluster_;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Change> changes_;  // by revision
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  double write_budget_ = 0;  // changes
  double write_budget_at_s_ = 0;
  std::map<std::string, int> refusals_by_value_;  // by key followed by value
};

}  // namespace sorrelwood::test
