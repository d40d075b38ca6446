// Which jobs may start a task now: runnable tasks, and the quotas and
// guarantees of teams.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/model/settings.h"

namespace sorrelwood {

// The capacity that a task is to be placed on.
enum class CapacityClass {
  kOwned,  // owned machines: for tasks that wait for them
  kAny,    // for all other pending tasks
};

class Admission {
 public:
  // All must outlive this object.
  Admission(const Context* context, JobTable* jobs,
            const ClusterSettings* settings)
      : context_(context), jobs_(jobs), settings_(settings) {}

  // Usage that tasks of an earlier term may have on machines that have not
  // reported yet. It counts against every team's quota: prevents a new leader
  // from exceeding a quota together with what the earlier one placed.
  void set_unreconciled(int machines, double cpus, double gpus) {
    unreconciled_machines_ = machines;
    unreconciled_cpus_ = cpus;
    unreconciled_gpus_ = gpus;
  }
  int unreconciled_machines() const { return unreconciled_machines_; }

  // The job has a task to start, and nothing about the job forbids it now.
  bool MayStartTask(const Job& job) const;
  // The pending task to start next on the capacity, if there is one.
  std::optional<uint32_t> NextRunnableTask(const Job& job,
                                           CapacityClass capacity) const;

  // One more task keeps the team within its quota; false for an unknown team.
  bool WithinQuota(const Job& job) const;
  // One more task keeps the team within its guarantee; false for an unknown
  // team.
  bool WithinGuarantee(const Job& job) const;
  // The job's next task is placed in the guarantee pass, before any team uses
  // capacity beyond its guarantee. See docs/design.md on starvation.
  bool InGuaranteePass(const Job& job) const;
  // Further tasks of the kind that the team's quota of CPUs allows.
  double SlotsUnderQuota(const JobSpec& spec) const;

  // Sets quota aside for the replicas that are runnable now: prevents other
  // tasks of a team from taking what was freed for its replicas.
  void SetQuotaAsideForServices();
  // A task was placed: a replica uses what was set aside for it.
  void OnPlaced(const JobSpec& spec);

 private:
  // Null: the settings name no such team.
  const Team* FindTeam(const std::string& name) const;

  const Context* context_;
  JobTable* jobs_;
  const ClusterSettings* settings_;
  int unreconciled_machines_ = 0;
  double unreconciled_cpus_ = 0, unreconciled_gpus_ = 0;
  std::map<std::string, double> cpus_for_services_;  // set aside, by team
};

}  // namespace sorrelwood
