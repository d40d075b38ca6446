// Estimates the capacity that queued work needs, and tells which machines can
// run it.
#pragma once

#include <map>
#include <string>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/model/machine_type.h"
#include "core/model/settings.h"

namespace sorrelwood {

using CpusByTeam = std::map<std::string, double>;

class DemandEstimator {
 public:
  // All must outlive this object.
  DemandEstimator(const Context* context, JobTable* jobs,
                  const ClusterSettings* settings)
      : context_(context), jobs_(jobs), settings_(settings) {}

  // Each team's CPU limit minus what its tasks use.
  CpusByTeam ComputeUnusedQuota() const;

  // The number of pending tasks of the job that may start now within its team's
  // limit. Subtracts their CPUs from `unused_quota`, so that the rest is left
  // for the team's next job.
  double TakeStartableTasks(const Job& job, CpusByTeam* unused_quota) const;

  // The share that one task takes of a machine of the type, expressed in the
  // machine's CPUs. The resource of which the task takes the largest share
  // decides.
  static double CpuEquivalent(const JobSpec& spec, const MachineType& type);
  // CpuEquivalent times the task's estimated run time, of which at most
  // `window_s` counts.
  double CpuSeconds(const JobSpec& spec, const MachineType& type,
                    double window_s) const;

  // Whether an empty machine of this kind could run a task of the job.
  static bool CanRunOn(const Job& job, const MachineType& type,
                       const std::string& zone, bool spot);

 private:
  const Context* context_;
  JobTable* jobs_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
