// The leader's table of unfinished jobs, with the data derived from all of
// them: the queue, the usage of teams, run time estimates and profiles of job
// classes.
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
  // Adds a job with all its tasks pending and returns it; returns a known job
  // unchanged. `version` is the record's version in the state service.
  Job* Add(std::shared_ptr<const LiveJob> record, uint64_t version,
           bool from_earlier_term, double now);
  // Invalidates pointers to the job. The usage of its placed tasks remains, see
  // AddOrphanedUsage.
  void Remove(const std::string& id);
  // Removes all jobs and usage; keeps what was learnt about job classes.
  void Clear();
  // Returns null if no unfinished job has this id.
  Job* Find(const std::string& id);
  JobMap& all() { return jobs_; }

  // Returns all jobs in QueueOrder, as of the latest Rank.
  const std::vector<Job*>& queue() { return queue_.Sorted(jobs_); }
  // Returns the services in the order of the queue.
  const std::vector<Job*>& services() { return queue_.Services(jobs_); }
  // Recomputes the queue positions of all jobs at the wall time `wall_s`.
  void Rank(const ClusterSettings& settings, double wall_s);
  // Returns ComputeObjectiveSlack (s) with the estimated run time of the job.
  double ComputeSlack(const Job& job, const std::vector<Objective>& objectives,
                      double wall_s, double without_objective_s) const;

  // Moves the task from pending to placed on the machine and adds it to the
  // usage of its team.
  void MarkPlaced(Job* job, uint32_t task, const std::string& machine,
                  const std::string& zone);
  // Reverses MarkPlaced after the task has left its machine; the task becomes
  // pending unless it is done. Does nothing for a task that is not placed.
  void MarkUnplaced(Job* job, uint32_t task, const std::string& zone);
  // Marks the task as completed. It stays placed until MarkUnplaced.
  void MarkDone(Job* job, uint32_t task);

  // Returns the expected run time of a task (s).
  double EstimateRunTime(const JobSpec& spec) const {
    return run_times_.Estimate(spec);
  }
  // Learns from a task that completed after running for `ran_s` without
  // interruption.
  void LearnRunTime(const JobSpec& spec, double ran_s) {
    run_times_.Learn(spec, ran_s);
  }

  // Returns null until a job of the class has arrived.
  const ClassProfile* ProfileOf(const std::string& job_class) const {
    return profiles_.Find(job_class);
  }
  const std::map<std::string, ClassProfile>& class_profiles() const {
    return profiles_.all();
  }

  // Returns the usage of the team's placed tasks, including those that remain
  // of jobs that have ended.
  TeamUsage UsageOf(const std::string& team) const {
    return usage_.UsageOf(team);
  }
  // Changes the usage by tasks of a job that has ended. Remove keeps the usage
  // of placed tasks, since they may still run; a negative amount here removes
  // it once a task has left its machine.
  void AddOrphanedUsage(const std::string& team, double cpus, double gpus) {
    usage_.Add(team, cpus, gpus);
  }

 private:
  JobMap jobs_;
  // Speeds up repeated look-ups: a machine's tasks belong to few jobs.
  Job* last_found_ = nullptr;
  JobQueue queue_;
  TeamUsageTable usage_;
  RunTimeEstimator run_times_;
  ClassProfileTable profiles_;
};

}  // namespace sorrelwood
