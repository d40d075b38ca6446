// The end of a machine: released to the cloud, and forgotten only once the
// cloud has confirmed it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/autoscaling/cloud_call_quota.h"
#include "core/autoscaling/provisioning_requests.h"
#include "core/autoscaling/release_reason.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// Where the release of a machine stands. A machine that the cloud has confirmed
// to be gone has none: it is out of the machine table.
enum class ReleaseState {
  kRequested,  // the cloud is to be called, again after a failure
  kCalling,    // in the call that is under way
};

class MachineReleases {
 public:
  // All must outlive this object.
  MachineReleases(Context* context, MachineTable* machines, StateWriter* writer,
                  CloudCallQuota* quota, ProvisioningRequests* requests)
      : context_(context),
        machines_(machines),
        writer_(writer),
        quota_(quota),
        requests_(requests) {}

  // Called when the cloud has confirmed that the machine is gone, just before
  // it is removed from the machine table.
  std::function<void(Machine*)> on_gone;

  // Releases the machine, unless that is under way. Until the cloud confirms,
  // its tasks count as running there: a task must never run twice.
  void Release(Machine* machine, ReleaseReason reason);

  // Calls the cloud for machines to be released: one call at a time, each for
  // up to kMaxMachinesPerRelease of them. A call that has not left by
  // `dispatch_deadline` (steady clock, s) does not leave.
  void Send(double dispatch_deadline);

  // The lead is lost: results that are still to come are ignored.
  void Clear();

 private:
  bool CallInFlight() const;
  void OnResult(const std::vector<std::string>& names,
                const CloudResult& result);
  void OnGone(const std::string& name);

  Context* context_;
  MachineTable* machines_;
  StateWriter* writer_;
  CloudCallQuota* quota_;
  ProvisioningRequests* requests_;
  uint64_t generation_ = 0;  // results of an earlier one are ignored
  std::map<std::string, ReleaseState> releases_;  // by machine
};

}  // namespace sorrelwood
