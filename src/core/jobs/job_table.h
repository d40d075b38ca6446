// The leader's table of unfinished jobs, with what depends on all of them: the
// queue, the teams' usage, run time estimates and the profiles of job classes.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/jobs/class_profile.h"
#include "core/jobs/job.h"
#include "core/jobs/job_queue.h"
#include "core/jobs/run_time_estimator.h"
#include "core/jobs/team_usage.h"
#include "core/model/settings.h"

namespace sorrelwood {

class JobTable {
 public:
  // Adds a job with all of its tasks pending; a job that is known already is
  // returned as it is. `version` is the record's in the state service.
  Job* Add(std::shared_ptr<const LiveJob> record, uint64_t version,
           bool from_earlier_term, double now);
  // Pointers to the job become invalid.
  void Remove(const std::string& id);
  // Forgets all jobs and usage, but not what was learnt about job classes.
  void Clear();
  // Null: no unfinished job has this id.
  Job* Find(const std::string& id);
  JobMap& all() { return jobs_; }

  // All jobs in QueueOrder, as of the latest Rank.
  const std::vector<Job*>& queue() { return queue_.Sorted(jobs_); }
  // The services of the queue, in its order.
  const std::vector<Job*>& services() { return queue_.Services(jobs_); }
  // Computes all queue positions anew. `wall` is the wall time.
  void Rank(const ClusterSettings& settings, double wall);
  // ObjectiveSlack with the estimate of the job's run time (s).
  double Slack(const Job& job, const std::vector<Objective>& objectives,
               double wall, double without_objective_s) const;

  // The task leaves the pending set for the machine; the team's usage grows.
  void Place(Job* job, uint32_t task, const std::string& machine,
             const std::string& zone);
  // The task is off its machine and pending again, unless it is done. Does
  // nothing for a task that is not placed.
  void Unplace(Job* job, uint32_t task, const std::string& zone);
  // The task has completed. It stays placed until Unplace.
  void MarkDone(Job* job, uint32_t task);

  // The expected run time of a task of the job (s).
  double Estimate(const JobSpec& spec) const {
    return run_times_.Estimate(spec);
  }
  // A task of the job completed after `ran_s` seconds without interruption.
  void LearnRunTime(const JobSpec& spec, double ran_s) {
    run_times_.Learn(spec, ran_s);
  }

  // Null until a job of the class has arrived.
  const ClassProfile* ProfileOf(const std::string& job_class) const {
    return profiles_.Find(job_class);
  }
  const std::map<std::string, ClassProfile>& class_profiles() const {
    return profiles_.all();
  }

  // What the team's placed tasks use.
  TeamUsage UsageOf(const std::string& team) const { return usage_.Of(team); }
  // Usage of tasks whose job has ended but that may still be on a machine;
  // negative amounts give it back.
  void AddOrphanedUsage(const std::string& team, double cpus, double gpus) {
    usage_.Add(team, cpus, gpus);
  }

 private:
  JobMap jobs_;
  Job* last_found_ = nullptr;  // a machine's tasks are mostly of few jobs
  JobQueue queue_;
  TeamUsageTable usage_;
  RunTimeEstimator run_times_;
  ClassProfileTable profiles_;
};

}  // namespace sorrelwood
