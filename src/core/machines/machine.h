// One machine of the fleet: communication, health, lifecycle, its role in the
// fleet, and its tasks and resources.
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

// Communication with a machine: its latest reports, and the proof that messages
// have reached it. Times are of the steady clock (s).
struct MachineContact {
  // The latest report that was applied, received as a heartbeat or as the
  // answer to pushed commands.
  HeartbeatId last_applied;
  // The latest heartbeat that was answered with 200 in this term.
  HeartbeatId last_answered;
  // The time of that answer, which may have renewed the worker's lease.
  double last_answered_at = 0;
  // The time of the first heartbeat answered with 200 in this term. 0: none.
  double first_answered_at = 0;
  // The time of the latest report of either kind.
  double last_contact_at = 0;
  // The time of the latest heartbeat. Only responses to heartbeats carry start
  // commands.
  double last_heartbeat_at = 0;
  // The time of the latest proof that a message of this leader arrived.
  // Heartbeats alone prove nothing: the network may drop only the responses.
  double last_delivery_proof_at = 0;
  // Responses sent since then may not have arrived. Set at each proof, and at
  // the first heartbeat after a long silence.
  double delivery_unproven_since = 0;
  // Heartbeats arrive, but no response has been proved to arrive for longer
  // than the worker's lease: heartbeats are refused until the lease has
  // expired.
  bool unreachable = false;
  // Commands are being pushed to the worker's own address.
  bool push_in_flight = false;
  int unanswered_pushes = 0;  // since the last answered one
  double next_push_at = 0;    // 0: at once
};

// Whether the machine is the cause of task failures. Times are of the steady
// clock (s).
struct MachineHealth {
  bool quarantined = false;  // gets no tasks, and is released
  // The jobs whose failures led to the quarantine may be at fault themselves:
  // the machine is not released before this time, so that they are tried
  // elsewhere first. 0: the machine is known to be at fault.
  double suspect_until = 0;
  // The machine refused a start: it gets no tasks before this time. 0: it has
  // refused none.
  double refused_until = 0;
  // Number of failed attempts by job since a task last succeeded there.
  std::map<std::string, int> failed_attempts;
};

// The lifecycle of a machine, from provisioning to termination. Times are of
// the steady clock (s).
struct MachineLifecycle {
  double provisioned_at = 0;
  double first_heartbeat_at = 0;  // 0: none in this term
  // Its record is in the state service (`recorded`), or being written
  // (`recording`). No task is started there before it is recorded: a later
  // leader must know every machine on which tasks run.
  bool recorded = false, recording = false;
  bool ever_reported = false;  // in this term or an earlier one
  // A report carried this term's fencing token: the worker now rejects commands
  // of earlier leaders, and its reports are complete.
  bool token_acknowledged = false;
  // An earlier leader may have started tasks on it that this leader does not
  // know.
  bool from_earlier_term = false;
  // The machine is known from a record, a provisioning request, the cloud's
  // inventory or the fencing token. Guards against a delayed duplicate of a
  // heartbeat, after which a released machine would seem to exist.
  bool identity_confirmed = false;
  bool listed = false;        // this leader has seen it in the inventory
  double unlisted_since = 0;  // 0: not known to be missing in the inventory
  double idle_since = 0;      // 0: not idle
  double preemption_deadline = 0;  // the cloud reclaims it then; 0: no notice
  bool terminating = false;        // its release is in progress
  double next_terminate_at = 0;
};

// The autoscaler's reasons to keep or drain a machine.
struct FleetRole {
  bool baseline = false;  // part of the baseline (owned) capacity
  // Beyond the demand: gets tasks only where no other machine fits.
  bool excess = false;
  bool was_excess = false;  // in the previous planning pass
  // The machine runs replicas or holds headroom for them: it is neither idle
  // nor excess.
  bool for_services = false;
};

// One machine of the fleet as the leader sees it. CPUs are counted in cores,
// GPUs in devices, memory in GB.
struct Machine {
  std::string name, address;
  const MachineType* type = nullptr;  // null until a catalogue has contained it
  std::string type_name, zone;
  bool spot = false;

  MachineContact contact;
  MachineHealth health;
  MachineLifecycle lifecycle;
  FleetRole role;

  std::map<TaskId, TaskAttempt> attempts;
  // Completed attempts that are kept on the machine until their completion is
  // in the state service: attempt numbers by task.
  std::map<TaskId, uint64_t> unrecorded_completions;
  // Images that are cached or being fetched, as far as the leader knows from
  // the attempts there; most recently used last.
  std::vector<std::string> images;
  std::vector<std::string> fetching;  // those of `images` being fetched
  TaskResources used;                 // by `attempts`
  // Bytes of the latest complete report that tasks outside of `attempts` take:
  // exited ones that the worker has not been told to forget or has not
  // forgotten yet, and tasks of unknown jobs.
  double untracked_report_bytes = 0;
  // Reserved for tasks that the rebalancer is moving there.
  TaskResources reserved;
  int reservation_count = 0;
  // CPUs in use, by team; teams that use none are omitted.
  std::vector<std::pair<std::string, double>> team_cpus;
  // Free slots for each class with reserved capacity, as last counted by
  // ImmediateStartReserves.
  std::vector<double> reserve_slots;

  double cpus() const { return type ? type->cpus : 0; }
  double cpus_free() const { return Free().cpus; }
  // Neither used nor reserved; nothing while the type is unknown.
  TaskResources Free() const;
  // Whether the machine has room for one more task of the job.
  bool Fits(const JobSpec& spec) const;
  // Whether the machine can run tasks: it has acknowledged this leader's
  // fencing token, and is neither quarantined, unreachable, terminating nor
  // under a preemption notice.
  bool InService() const {
    return type && lifecycle.token_acknowledged && !lifecycle.terminating &&
           !health.quarantined && !contact.unreachable &&
           lifecycle.preemption_deadline == 0;
  }
  // CPUs in use by tasks of the team.
  double TeamCpus(const std::string& team) const;
  // Reserves capacity for one task.
  void ReserveCapacity(const TaskResources& task);
  // Releases the capacity reserved for one task.
  void ReleaseCapacity(const TaskResources& task);
  bool HasReservations() const { return reservation_count > 0; }
  // Adds an attempt and accounts for its resources on this machine. The caller
  // updates the job table (see AttemptTracker).
  void AddAttempt(const TaskId& task, TaskAttempt attempt);
  // Removes and returns an attempt, and releases its resources on this machine.
  // The caller updates the job table.
  TaskAttempt RemoveAttempt(std::map<TaskId, TaskAttempt>::iterator entry);
  // Whether the image is in `images`. True for an empty name: no image is
  // needed.
  bool HasImage(const std::string& image) const;
  // Makes the image the most recently used one of `images`; adds it if missing.
  void TouchImage(const std::string& image);
  // Called when the fetch has ended or no attempt waits for it any more. The
  // image stays in `images`.
  void FinishFetch(const std::string& image);

 private:
  void AddTeamCpus(const std::string& team, double cpus);
};

}  // namespace sorrelwood
