// Releases machines to the cloud, and removes them from the machine table only
// once the cloud has confirmed the release.
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

// The state of the release of a machine. A confirmed release has no state: the
// machine is removed from the machine table.
enum class ReleaseState {
  kRequested,  // the cloud must be called, also again after a failure
  kCalling,    // part of the call in flight
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

  // Called when the cloud has confirmed that the machine no longer exists, just
  // before it is removed from the machine table.
  std::function<void(Machine*)> on_machine_gone;

  // Releases the machine, unless its release is already in progress. Until the
  // cloud confirms the release, its tasks count as running there: a task must
  // never run twice.
  void Release(Machine* machine, ReleaseReason reason);

  // Calls the cloud to release machines: one call in flight at a time, each for
  // up to kMaxMachinesPerRelease of them. A call not sent by
  // `dispatch_deadline` (steady clock, s) is dropped.
  void Send(double dispatch_deadline);

  // Called when leadership is lost: results of calls in flight are ignored.
  void Clear();

 private:
  bool IsCallInFlight() const;
  void OnResult(const std::vector<std::string>& names,
                const CloudResult& result);
  void OnMachineGone(const std::string& name);

  Context* context_;
  MachineTable* machines_;
  StateWriter* writer_;
  CloudCallQuota* quota_;
  ProvisioningRequests* requests_;
  uint64_t generation_ = 0;  // results of an earlier generation are ignored
  std::map<std::string, ReleaseState> releases_;  // by machine
};

}  // namespace sorrelwood
