// What each machine may still hold, and the proof that it does not. A launch
// that was sent counts as on the machine until there is proof otherwise.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/model/machine_type.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

struct Job;

enum class AttemptPhase {
  kPlanned,     // chosen, not told to anybody: may be taken back freely
  kDispatched,  // the launch left in an answer; it may or may not have arrived
  kConfirmed,   // reported by the machine
};

struct TaskAttempt {
  uint64_t number = 0;  // of the attempt, see docs/design.md
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::shared_ptr<const LiveJob> record;
  AttemptPhase phase = AttemptPhase::kPlanned;
  uint64_t dispatched_incarnation = 0, dispatched_sequence = 0;
  double dispatched_at = 0;
  TaskState state = TaskState::kFetching;
  double running_since = 0;  // 0: not yet
  bool speculative = false;  // on a rented machine, to be judged at t
  double ran_before_s = 0;   // of earlier attempts that were moved: counts to t
  bool stop = false;         // told, or to be told, to stop
  double stop_grace_s = 0;
  bool requeue_for_baseline = false;  // killed at t: queue for owned room
  bool requeue_on_rented = false;     // killed at t: run rented to the end
  bool stable = false;                // of a replica: it has run long enough
  bool job_active = true;             // false: its job has ended, it must go
};

struct Machine {
  std::string name, address;
  const MachineType* type = nullptr;
  std::string type_name, zone;
  bool spot = false;
  double rented_at = 0;
  double came_up_at = 0;  // its first report; 0: not seen by this leader

  bool recorded = false;  // its record is committed: launches may go there
  bool recording = false;
  bool token_acknowledged =
      false;  // showed our token: its report is the whole truth
  bool from_earlier_term =
      false;  // an earlier leader may have placed tasks on it
  bool ever_reported = false;
  // Known from a record, a rental, the list or our token: not only from a
  // report that may be a late copy of one of a machine that is gone.
  bool identity_confirmed = false;
  bool listed = false;        // seen in the cloud's list by this leader
  double unlisted_since = 0;  // not in the lists since; 0: it is
  bool baseline = false;      // part of the steady base, the owned room
  bool excess = false;        // more than what is needed: to be emptied
  // Holds replicas, or room that is kept for them: neither idle nor excess.
  bool for_services = false;
  bool was_excess = false;   // a moment before
  bool quarantined = false;  // faulty: drained and returned
  bool terminating = false;
  double next_terminate_at = 0;
  uint64_t incarnation = 0, sequence = 0;
  // When it was last heard of, be it in answer to a direct command; and when
  // its latest report arrived, since only reports fetch launches.
  double last_contact_at = 0;
  double last_heartbeat_at = 0;
  double last_answered_at = 0;  // when we last answered one
  uint64_t answered_incarnation = 0,
           answered_sequence = 0;  // that we answered last
  // When something of ours was last proved to have arrived there. Its reports
  // alone prove nothing: the way back may be cut.
  double last_delivery_proof_at = 0;
  double delivery_unproven_since =
      0;                           // answers since then may not have arrived
  bool unreachable = false;        // for longer than its lease: it is given up
  double preemption_deadline = 0;  // the cloud takes it then; 0: no notice
  double idle_since = 0;           // 0: not idle
  double refused_until = 0;
  // Set aside for jobs that may be at fault themselves: kept until then, so
  // that they are tried elsewhere first. 0: it is at fault.
  double suspect_until = 0;
  // Errors since something last completed there, by job.
  std::map<std::string, int> errors;
  bool push_in_flight = false;
  int unanswered_pushes = 0;  // unanswered since the last answer
  double next_push = 0;
  std::map<TaskId, TaskAttempt> attempts;
  // Tasks that ended with `done` and stay until that is written down.
  std::map<TaskId, uint64_t> unrecorded_completions;
  std::vector<std::string> images;    // most recently used last
  std::vector<std::string> fetching;  // images on their way there
  double cpus_used = 0, gpus_used = 0, memory_used = 0;
  // Room that is held for tasks that are about to move there.
  double reserved_cpus = 0, reserved_gpus = 0, reserved_memory = 0;
  // Cores in use by team, without those that use none.
  std::vector<std::pair<std::string, double>> team_cpus;
  std::vector<double> reserve_slots;  // as Placement has counted them

  double cpus() const { return type ? type->cpus : 0; }
  double cpus_free() const {
    return type ? type->cpus - cpus_used - reserved_cpus : 0;
  }
  double gpus_free() const {
    return type ? type->gpus - gpus_used - reserved_gpus : 0;
  }
  double memory_free() const {
    return type ? type->memory_gb - memory_used - reserved_memory : 0;
  }
  bool Fits(const JobSpec& spec) const {
    constexpr double kRounding = 1e-6;
    return type && spec.cpus <= cpus_free() + kRounding &&
           spec.gpus <= gpus_free() + kRounding &&
           spec.memory_gb <= memory_free() + kRounding;
  }
  // It reports to this leader and is not about to go: it counts as capacity.
  bool InService() const {
    return type && token_acknowledged && !terminating && !quarantined &&
           !unreachable && preemption_deadline == 0;
  }
  double TeamCpus(const std::string& team) const;
  void ReserveCapacity(double cpus, double gpus, double memory_gb);
  void ReleaseCapacity(double cpus, double gpus, double memory_gb);
  bool HasReservations() const { return reservations > 0; }
  int reservations = 0;
  void AddAttempt(const TaskId& key, TaskAttempt attempt);
  TaskAttempt RemoveAttempt(std::map<TaskId, TaskAttempt>::iterator it);
  bool HasImage(const std::string& image) const;
  void TouchImage(const std::string& image);
  // The image is there, or nothing waits for it any more.
  void FinishFetch(const std::string& image);

 private:
  void AddTeamCpus(const std::string& team, double cpus);
};

class MachineTable {
 public:
  Machine* Find(const std::string& name);
  Machine* Add(const std::string& name);
  void Remove(const std::string& name);
  void Clear();
  std::map<std::string, std::unique_ptr<Machine>>& all() { return machines_; }

  // Replicas of the service that were reported to run.
  size_t RunningReplicas(const Job& job) const;

  // Machines that were returned or are proved gone: their late reports and
  // stale list entries are ignored.
  bool IsGone(const std::string& name) const { return gone_.count(name) > 0; }

 private:
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::set<std::string> gone_;
};

}  // namespace sorrelwood
