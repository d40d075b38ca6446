// How much of a machine the queued work takes, and which machines may run it.
#pragma once

#include <map>
#include <string>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/model/machine_type.h"
#include "core/model/settings.h"

namespace sorrelwood {

// CPUs by team.
using TeamCpus = std::map<std::string, double>;

class DemandEstimator {
 public:
  // All must outlive this object.
  DemandEstimator(const Context* context, JobTable* jobs,
                  const ClusterSettings* settings)
      : context_(context), jobs_(jobs), settings_(settings) {}

  // What each team's limit leaves beside what it runs.
  TeamCpus UnusedQuota() const;

  // Pending tasks of the job that may start now within its team's limit. They
  // are taken off `unused_quota`, so that the team's next job sees the rest.
  double TakeStartableTasks(const Job& job, TeamCpus* unused_quota) const;

  // What one task takes of a machine of the type, as CPUs: its scarcest
  // resource decides.
  static double CpuEquivalent(const JobSpec& spec, const MachineType& type);
  // The same times the task's run time, of which no more than `window_s`
  // counts.
  double CpuSeconds(const JobSpec& spec, const MachineType& type,
                    double window_s) const;

  // An empty machine of this kind could run a task of the job.
  static bool CanRunOn(const Job& job, const MachineType& type,
                       const std::string& zone, bool spot);

 private:
  const Context* context_;
  JobTable* jobs_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
