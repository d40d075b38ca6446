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

// What the leader has heard from a machine, and what it knows to have arrived
// there. Times are of the steady clock (s).
struct MachineContact {
  // Of the latest heartbeat that was applied.
  uint64_t incarnation = 0, sequence = 0;
  // Of the latest heartbeat that was answered, and when that was.
  uint64_t answered_incarnation = 0, answered_sequence = 0;
  double last_answered_at = 0;
  // The latest word of any kind, be it an answer to pushed commands; and the
  // latest heartbeat, since only heartbeats fetch commands.
  double last_contact_at = 0;
  double last_heartbeat_at = 0;
  // The latest proof that something of ours arrived. Heartbeats alone prove
  // nothing: the way back may be cut.
  double last_delivery_proof_at = 0;
  // Answers since then may not have arrived.
  double delivery_unproven_since = 0;
  // Heartbeats arrive, but for longer than the worker's lease no answer is
  // proved to have arrived: it is not answered any more.
  bool unreachable = false;
  // Commands pushed to the worker's own address.
  bool push_in_flight = false;
  int unanswered_pushes = 0;  // since the last one that was answered
  double next_push = 0;
};

// Whether tasks fail because of the machine.
struct MachineHealth {
  bool quarantined = false;  // takes no tasks, and is released
  // Quarantined for jobs that may be at fault themselves: kept until then, so
  // that they are tried elsewhere first. 0: the machine is at fault.
  double suspect_until = 0;
  double refused_until = 0;  // it refused a start: no tasks until then
  // Errors by job since something last completed there.
  std::map<std::string, int> errors;
};

// From its provisioning to its termination. Times are of the steady clock (s).
struct MachineLifecycle {
  double rented_at = 0;
  double came_up_at = 0;  // its first heartbeat; 0: not seen by this leader
  // Its record is in the state service (`recorded`) or being written: nothing
  // is started there before, so that a later leader knows of the machine.
  bool recorded = false, recording = false;
  bool ever_reported = false;
  // It showed this term's fencing token: it obeys no earlier leader any more,
  // and its heartbeats are the whole truth.
  bool token_acknowledged = false;
  // An earlier leader may have started tasks on it that are not known here.
  bool from_earlier_term = false;
  // Known from a record, a provisioning request, the cloud's inventory or the
  // fencing token, and not only from a heartbeat that may be a late copy of one
  // of a machine that is gone.
  bool identity_confirmed = false;
  bool listed = false;        // seen in the cloud's inventory by this leader
  double unlisted_since = 0;  // 0: it is in the inventory
  double idle_since = 0;      // 0: not idle
  double preemption_deadline = 0;  // the cloud takes it then; 0: no notice
  bool terminating = false;
  double next_terminate_at = 0;
};

// What the autoscaler keeps the machine for.
struct FleetRole {
  bool baseline = false;    // part of the steady baseline (owned) capacity
  bool excess = false;      // beyond what is needed: to be drained
  bool was_excess = false;  // at the previous look
  // Holds replicas, or headroom for them: neither idle nor excess.
  bool for_services = false;
};

// One machine of the fleet, as the leader knows it.
struct Machine {
  std::string name, address;
  const MachineType* type = nullptr;  // null until the catalogue names it
  std::string type_name, zone;
  bool spot = false;

  MachineContact contact;
  MachineHealth health;
  MachineLifecycle lifecycle;
  FleetRole role;

  std::map<TaskId, TaskAttempt> attempts;
  // Attempts that completed and stay on the machine until their completion is
  // in the state service: attempt numbers by task.
  std::map<TaskId, uint64_t> unrecorded_completions;
  std::vector<std::string> images;    // in its cache, most recently used last
  std::vector<std::string> fetching;  // images on their way there
  double cpus_used = 0, gpus_used = 0, memory_used = 0;
  // Capacity reserved for tasks that are about to move there.
  double reserved_cpus = 0, reserved_gpus = 0, reserved_memory = 0;
  int reservations = 0;
  // CPUs in use by team, without teams that use none.
  std::vector<std::pair<std::string, double>> team_cpus;
  // Free slots for each class that has headroom, as Placement counted them.
  std::vector<double> reserve_slots;

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
    return type && lifecycle.token_acknowledged && !lifecycle.terminating &&
           !health.quarantined && !contact.unreachable &&
           lifecycle.preemption_deadline == 0;
  }
  double TeamCpus(const std::string& team) const;
  void ReserveCapacity(double cpus, double gpus, double memory_gb);
  void ReleaseCapacity(double cpus, double gpus, double memory_gb);
  bool HasReservations() const { return reservations > 0; }
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
