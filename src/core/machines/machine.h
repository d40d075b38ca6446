// One machine of the fleet, in parts: communication, health, lifecycle, its
// role in the fleet, and what it holds.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/machines/task_attempt.h"
#include "core/model/heartbeat.h"
#include "core/model/job.h"
#include "core/model/machine_type.h"

namespace sorrelwood {

// Communication with a machine: what it reported last, and what is proved to
// have reached it. Times are of the steady clock (s).
struct MachineContact {
  // The latest report that was applied, whether it came as a heartbeat or as
  // the answer to pushed commands.
  HeartbeatId applied;
  // The latest heartbeat that was answered with 200 in this term, and when that
  // was: from then on the worker's lease may run.
  HeartbeatId answered;
  double last_answered_at = 0;
  // The latest report of either kind; and the latest heartbeat, since only the
  // responses to heartbeats carry start commands.
  double last_contact_at = 0;
  double last_heartbeat_at = 0;
  // The latest proof that a message of this leader arrived. Heartbeats alone
  // prove nothing: the network may drop the responses only.
  double last_delivery_proof_at = 0;
  // Responses sent since then may not have arrived.
  double delivery_unproven_since = 0;
  // Heartbeats arrive, but for longer than the worker's lease no response is
  // proved to have arrived: heartbeats are refused until the lease has expired.
  bool unreachable = false;
  // Commands pushed to the worker's own address.
  bool push_in_flight = false;
  int unanswered_pushes = 0;  // since the last one that was answered
  double next_push = 0;
};

// Whether the machine is the cause of task failures. Times are of the steady
// clock (s).
struct MachineHealth {
  bool quarantined = false;  // is given no tasks, and is released
  // Quarantined because of jobs that may be at fault themselves: it is not
  // released before this time, so that they are tried elsewhere first. 0: the
  // machine is known to be at fault.
  double suspect_until = 0;
  double refused_until = 0;  // it refused a start: no tasks until then
  // Failed attempts by job since a task last succeeded there.
  std::map<std::string, int> errors;
};

// From its provisioning to its termination. Times are of the steady clock (s).
struct MachineLifecycle {
  double rented_at = 0;
  double came_up_at = 0;  // its first heartbeat; 0: none in this term
  // Its record is in the state service (`recorded`) or being written: nothing
  // is started there before. Guards against a later leader that does not know
  // of a machine on which tasks run.
  bool recorded = false, recording = false;
  bool ever_reported = false;
  // A report carried this term's fencing token: the worker rejects commands of
  // earlier leaders, and its reports are complete.
  bool token_acknowledged = false;
  // An earlier leader may have started tasks on it that are unknown here.
  bool from_earlier_term = false;
  // Known from a record, a provisioning request, the cloud's inventory or the
  // fencing token. Guards against a delayed duplicate of a heartbeat that makes
  // a machine that is gone seem to exist.
  bool identity_confirmed = false;
  bool listed = false;        // seen in the cloud's inventory by this leader
  double unlisted_since = 0;  // 0: it is in the inventory
  double idle_since = 0;      // 0: not idle
  double preemption_deadline = 0;  // the cloud reclaims it then; 0: no notice
  bool terminating = false;
  double next_terminate_at = 0;
};

// What the autoscaler keeps the machine for.
struct FleetRole {
  bool baseline = false;    // part of the steady baseline (owned) capacity
  bool excess = false;      // beyond the demand: to be drained
  bool was_excess = false;  // in the previous planning pass
  // Runs replicas, or holds headroom for them: neither idle nor excess.
  bool for_services = false;
};

// One machine of the fleet, as the leader sees it. CPUs and GPUs are counted in
// cores and devices, memory in GB.
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
  std::vector<std::string> images;    // cached, most recently used last
  std::vector<std::string> fetching;  // images being fetched
  double cpus_used = 0, gpus_used = 0, memory_used = 0;
  // Capacity reserved for tasks that the rebalancer is moving there.
  double reserved_cpus = 0, reserved_gpus = 0, reserved_memory = 0;
  int reservations = 0;
  // CPUs in use by team, without teams that use none.
  std::vector<std::pair<std::string, double>> team_cpus;
  // Free slots for each class with reserved capacity, as Placement last counted
  // them.
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
  // Whether one more task of the job has room.
  bool Fits(const JobSpec& spec) const;
  // Whether it counts as capacity: it reports to this leader and is neither
  // quarantined, unreachable nor about to be terminated.
  bool InService() const {
    return type && lifecycle.token_acknowledged && !lifecycle.terminating &&
           !health.quarantined && !contact.unreachable &&
           lifecycle.preemption_deadline == 0;
  }
  // CPUs that tasks of the team use.
  double TeamCpus(const std::string& team) const;
  // Holds capacity for one task, and gives it back.
  void ReserveCapacity(double cpus, double gpus, double memory_gb);
  void ReleaseCapacity(double cpus, double gpus, double memory_gb);
  bool HasReservations() const { return reservations > 0; }
  // Adds or removes an attempt and accounts for its resources here. The job
  // table's accounts are the caller's affair (see AttemptTracker).
  void AddAttempt(const TaskId& key, TaskAttempt attempt);
  TaskAttempt RemoveAttempt(std::map<TaskId, TaskAttempt>::iterator it);
  // Whether the image is cached. No image is needed where the name is empty.
  bool HasImage(const std::string& image) const;
  // Marks the image as cached and most recently used.
  void TouchImage(const std::string& image);
  // The fetch has ended, or no attempt waits for it any more.
  void FinishFetch(const std::string& image);

 private:
  void AddTeamCpus(const std::string& team, double cpus);
};

}  // namespace sorrelwood
