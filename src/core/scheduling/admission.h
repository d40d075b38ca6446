// Admission: decides whether a job may start a task now, from the state of its
// tasks and from the quota and the guarantee of its team.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

// The capacity that a pending task may be placed on.
enum class CapacityClass {
  kOwned,  // only owned machines (FleetRole::baseline): tasks that the waiting
           // policy requeued for them
  kAny,    // all machines: every other pending task
};

class Admission {
 public:
  // All arguments must outlive this object.
  Admission(const Context* context, JobTable* jobs,
            const ClusterSettings* settings)
      : context_(context), jobs_(jobs), settings_(settings) {}

  // Sets the number of machines that an earlier leader may have used and that
  // have not reported yet, and an upper bound of the usage by tasks that this
  // leader doesn't know. The usage counts against the quota of every team;
  // otherwise a new leader could exceed a quota, since it doesn't know yet what
  // the earlier leader placed.
  void set_unreconciled(int machines, double cpus, double gpus) {
    unreconciled_machines_ = machines;
    unreconciled_cpus_ = cpus;
    unreconciled_gpus_ = gpus;
  }
  int unreconciled_machines() const { return unreconciled_machines_; }

  // True if the job has pending tasks and may start one now. It may not while
  // it is ending, pauses before a retry, has its only allowed task placed (see
  // Job::failing), or may have tasks of an earlier term on machines that have
  // not reported yet. Quota and restart backoff of replicas are not checked.
  bool MayStartTask(const Job& job) const;
  // Returns the pending task to start next on the given capacity, if any. The
  // job must pass MayStartTask; only what placing a task changes is checked
  // again.
  std::optional<uint32_t> NextRunnableTask(const Job& job,
                                           CapacityClass capacity) const;

  // True if the team stays within its quota with one more task of the job;
  // false for an unknown team. Unreconciled usage counts as the team's own, and
  // for a job array also the quota that is reserved for services.
  bool WithinQuota(const Job& job) const;
  // True if the team stays within its guarantee with one more task of the job;
  // false for an unknown team.
  bool WithinGuarantee(const Job& job) const;
  // True if the job's next task is placed in the guarantee pass, which comes
  // before any team uses capacity beyond its guarantee. See docs/design.md on
  // starvation.
  bool InGuaranteePass(const Job& job) const;
  // Returns how many more tasks of this specification fit under the team's CPU
  // quota.
  double SlotsUnderQuota(const JobSpec& spec) const;

  // Reserves quota for the replicas that are runnable now; otherwise other
  // tasks of the team would take the quota that was freed for its replicas.
  void ReserveQuotaForServices();
  // Called when a task was placed: a replica uses up its reserved quota.
  void OnTaskPlaced(const JobSpec& spec);

 private:
  // Returns null if the settings name no team of this name.
  const Team* FindTeam(const std::string& name) const;

  const Context* context_;
  JobTable* jobs_;
  const ClusterSettings* settings_;
  int unreconciled_machines_ = 0;
  double unreconciled_cpus_ = 0, unreconciled_gpus_ = 0;
  // CPUs of the quota that are reserved for replicas, by team.
  std::map<std::string, double> reserved_service_cpus_;
};

}  // namespace sorrelwood
