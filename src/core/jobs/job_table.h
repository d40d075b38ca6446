// The leader's view of unfinished jobs: which tasks are pending, placed and
// done. Task numbers are kept as ranges; only placed tasks cost an entry each.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/constants.h"
#include "base/interval_set.h"
#include "core/model/job.h"
#include "core/model/settings.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

// How often a replica ended soon after it had started, one time after the
// other, and before when it is not to be started again.
struct ReplicaRestarts {
  int quick_ends = 0;
  double not_before = 0;
};

struct Job {
  std::shared_ptr<const LiveJob> record;
  uint64_t version = 0;
  // It existed before this leader's term: an earlier leader may have placed
  // tasks of it on machines that have not reported yet.
  bool from_earlier_term = false;

  IntervalSet pending;    // neither placed nor done
  IntervalSet done;       // completed, as reported
  IntervalSet committed;  // completed, and written down
  std::map<uint32_t, std::string> machine_of_task;  // task -> machine
  std::map<std::string, uint32_t> attempts_in_zone;

  // The waiting policy's marks on pending tasks.
  std::map<uint32_t, double> waiting;  // killed at t, since when it waits
  IntervalSet rented;                  // runs rented to the end
  // How long attempts ran that were stopped to move the task (s): counts to t.
  std::map<uint32_t, double> moved_ran_s;

  // Failures since a task of it last completed: on which machines, in how many
  // rounds of trying, and how often each task of a job that succeeds failed.
  std::set<std::string> error_machines;
  int error_rounds = 0;
  double retry_at = 0, last_error_at = 0;
  std::map<uint32_t, int> task_errors;
  bool finishing = false;  // the final transaction is under way
  // Of a service: a replica has run long enough to be well, and what ended
  // soon.
  bool replica_succeeded = false;
  bool ends_by_itself = false;  // after having run well
  std::map<uint32_t, ReplicaRestarts> restarts;

  // Where it stands in the queue, see JobTable::Rank.
  bool starving = false;  // nothing of it has run for too long
  bool guaranteed = false;
  bool late = false;
  int size_class = 0;         // of the work left, by powers of two
  double team_backlog_s = 0;  // the team's work left, at its limit

  double queued_at = 0;  // steady time at which this leader saw it
  bool sampled = false;  // its wait has been taken as a sample
  std::vector<double> features;

  // It has succeeded nowhere and failed on several machines: it is tried one
  // task at a time, and claims no more than that. Guards against a job that
  // fails everywhere taking room, rent and guarantee from others.
  bool failing() const {
    return !succeeded() && error_machines.size() >= kFailingJobMachines;
  }
  // So many that the machines are not at fault.
  bool broken() const {
    return !succeeded() && error_machines.size() >= kBrokenJobMachines;
  }

  // A task of it has run as it should, somewhere.
  bool succeeded() const { return !done.empty() || replica_succeeded; }
  // A replica that keeps ending is not to be started yet.
  bool InRestartBackoff(uint32_t task, double now) const {
    const auto it = restarts.find(task);
    return it != restarts.end() && now < it->second.not_before;
  }

  // Pending tasks that may be started now: not those held back, and one at a
  // time of a job that fails everywhere.
  uint32_t PendingNow(double now) const;

  const JobSpec& spec() const { return record->spec; }
  const std::string& id() const { return record->spec.id; }
};

// What a job of a class usually asks for.
struct ClassProfile {
  double tasks = 0;             // smoothed
  JobSpec spec;                 // of the latest
  std::deque<double> arrivals;  // of the latest jobs (time of day, s)
};

struct TeamUse {
  double cpus = 0, gpus = 0;
};

class JobTable {
 public:
  Job* Add(std::shared_ptr<const LiveJob> record, uint64_t version,
           bool from_earlier_term, double now);
  void Remove(const std::string& id);
  void Clear();
  Job* Find(const std::string& id);

  // The order in which work is looked at. First what has waited too long to
  // begin, so that no order starves it; then services, which are few and wait
  // for nobody; then what lies within its team's
  // guarantee, since that need not wait for other teams; then by priority; then
  // what can still meet its deadline before what can't; then the team that
  // would take longest for what it has at its limit; then the smaller job; then
  // by arrival.
  const std::vector<Job*>& queue();
  // The services of the queue, in its order.
  const std::vector<Job*>& services();
  // Judges anew what lies within a guarantee and what is late.
  void Rank(const ClusterSettings& settings, double wall);
  // How long the job's last task may wait before the next of its aims that can
  // still be met, its deadline or an objective of its class, is missed.
  // Negative when all are missed; `most` where there is none.
  double Slack(const Job& job, const std::vector<Objective>& objectives,
               double wall, double most) const;
  std::map<std::string, std::unique_ptr<Job>>& all() { return jobs_; }

  // A task leaves or enters the pending set; the team's use follows.
  void Place(Job* job, uint32_t task, const std::string& machine,
             const std::string& zone);
  // `again`: back to pending, unless it is done.
  void Unplace(Job* job, uint32_t task, const std::string& zone);
  void MarkDone(Job* job, uint32_t task);

  // Run time of a task: the owner's estimate, corrected by how far the
  // estimates of the job's class have been off.
  double Estimate(const JobSpec& spec) const;
  void LearnRunTime(const JobSpec& spec, double ran_s);

  // Nothing until a job of the class has been seen.
  const ClassProfile* Usual(const std::string& job_class) const;
  const std::map<std::string, ClassProfile>& class_profiles() const {
    return usual_;
  }

  TeamUse use(const std::string& team) const {
    auto it = use_.find(team);
    return it == use_.end() ? TeamUse() : it->second;
  }
  // Use of tasks whose job has ended but that may still be on a machine.
  void AddOrphanedUsage(const std::string& team, double cpus, double gpus);

 private:
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  Job* last_found_ = nullptr;  // a machine's tasks are mostly of few jobs
  std::vector<Job*> queue_, services_;
  bool queue_stale_ = true;
  std::map<std::string, TeamUse> use_;
  std::map<std::string, double> estimate_ratio_;  // by class
  std::map<std::string, ClassProfile> usual_;     // by class
};

}  // namespace sorrelwood
