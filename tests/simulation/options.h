// Options of a simulated run: size, workload, network unreliability, and faults
// injected at given times.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"

namespace sorrelwood::test {

// "The leader" is the controller that leads when the fault begins; without a
// leader, faults of the leader have no effect. "The follower" is the controller
// with the next index, or with index 1 if there is no leader.
enum class FaultKind {
  // Processes crash and restart about `restart_s` later.
  kLeaderCrash,
  kFollowerCrash,
  kAllControllersCrash,
  // Processes are suspended while clocks advance; actions that were decided
  // before the pause are sent after it.
  kLeaderPause,
  kAllControllersPause,
  // No packet leaves or reaches the controller; requests that it sends during
  // the partition arrive when it ends.
  kLeaderPartition,
  kFollowerPartition,
  // No packet passes between the leader and the workers.
  kLeaderPartitionedFromWorkers,
  // The controller is connected to workers and clients, but not to the state
  // service and the other controllers.
  kLeaderWithoutStateAndPeers,
  kFollowerWithoutStateAndPeers,
  kStateServiceRefusesLeader,
  kStateServiceRefusesFollower,
  // All messages between controllers are lost.
  kPeerMessagesLost,
  // Controllers and workers of different zones are disconnected.
  kZonePartition,
  // The same, and the controllers of the leader's zone lose the state service.
  // After `gap_after_s` the partition ends for a moment, in which the next
  // leader receives and answers a heartbeat of each worker of that zone.
  kLeaderZoneCutWithGap,

  // The leader crashes and is back at once. Its new process reads `count`
  // running jobs for clients, which are then cancelled through another
  // controller before the process gets its listing of the jobs. The answers to
  // these reads arrive after it leads again.
  kLeaderRestartWithLateReads,
  // The same, but the reads are answered at once, and reads of final keys are
  // refused.
  kLeaderRestartWithRefusedReads,

  kStateServiceOutage,
  kStateServiceSlow,
  // `share` of the transactions is executed 2 to 12 s late, without response.
  kLateTransactions,
  // `share` of the transactions is executed in time, but the response is lost.
  kTransactionAnswersLost,

  kCloudOutage,
  // Machines that are provisioned during the fault take six times as long to
  // boot; one in five never boots.
  kSlowBoots,
  // Machines are up within 20 ms, around the time at which the response to the
  // provisioning request arrives.
  kInstantBoots,
  // Each spot machine is preempted with probability 1/2, after 8 s notice.
  kSpotPreemptionWave,

  // The machine faults below affect `count` machines, unless noted otherwise.
  kMachineCrash,
  // Tasks keep running; heartbeats are delayed until the partition ends.
  kMachinePartition,
  // The machine executes nothing; its tasks don't end.
  kMachineHang,
  // Heartbeats arrive; their responses and pushed commands don't.
  kMachineInboundLoss,
  // Heartbeats don't arrive; pushed commands do.
  kMachineOutboundLoss,
  // The worker process restarts at once with a new incarnation (one machine).
  kMachineRestart,
  // Every task that starts on the machine fails (one machine).
  kMachineFailsTasks,
  // A third of all machines fails at once: half of these crash, half hang.
  kMassMachineLoss,

  // A copy of `share` of the heartbeats arrives late, by 2 s to 2 s plus 1.5
  // worker leases.
  kHeartbeatsDuplicatedLate,
  // A copy of `share` of the heartbeats reaches every controller just after the
  // next failover.
  kHeartbeatsReplayedToNextLeader,

  // Clients cancel `count` running jobs; with `for_s`, up to eight machines
  // that
  // run them hang for this duration.
  kCancelRunningJobs,
  // Clients cancel `share` of the jobs just after their last task has ended.
  kCancelAtCompletion,
  // Clients poll ten times as often, also for jobs that were never submitted.
  kPollOverload,
  // Clients repeat submissions, cancel jobs that are done, and submit invalid
  // jobs.
  kUnusualRequests,
  // Clients poll every controller within milliseconds of each change of a job.
  kPollAllControllersOnChange,
};

struct Fault {
  double at_s = 0;
  FaultKind kind = FaultKind::kLeaderCrash;
  double for_s = 0;        // duration, for kinds that last
  double restart_s = 0;    // approximate time until the restart, for crashes
  double share = 0.5;      // of messages or jobs, for kinds with a share
  size_t count = 1;        // of machines or jobs, for kinds with a count
  double gap_after_s = 0;  // from the begin to the gap, for kinds with a gap
};

// Times are seconds since the start of the run unless noted otherwise.
struct SimulationOptions {
  uint64_t seed = 1;
  int controllers = 3;
  double duration_s = 900;

  // Network unreliability, as probabilities for each message.
  double loss_probability = 0;  // for the request, and again for its response
  double duplicate_probability = 0;  // processed a second time, later
  // Processed again long after the sender's time-out, or answered late.
  double late_probability = 0;
  // A copy of a heartbeat arrives 1 to 41 s later.
  double heartbeat_copy_probability = 0;
  double max_watch_delay_s = 0;  // of the state service's notifications

  // The cloud.
  double boot_failure_probability = 0;
  double spot_preemptions_per_hour = 0;  // of each spot machine
  int capacity_factor = 1;               // multiplies the machines on offer
  // 1,500 machines in three zones, arrays of up to 3,000 tasks, and the
  // heartbeat interval, worker lease and rates of a large deployment.
  bool large_fleet = false;
  double fleet_scale =
      1;  // multiplies machines and team quotas of a large fleet

  // Array jobs of two teams.
  int jobs = 24;
  double submit_until_s = 120;
  double cancel_share = 0.1;
  double run_time_factor = 1;     // multiplies the run times of tasks
  double checkpoint_share = 0.3;  // jobs that can save their progress
  double failing_job_share = 0;   // jobs that fail everywhere until cancelled
  double one_zone_share = 0.2;    // of the jobs
  // Jobs have two or three tasks, and each task runs longer than the previous.
  bool staggered_task_ends = false;

  // Adds a team without guarantee or limit, with one large array and many
  // single-task jobs.
  bool best_effort_team = false;
  // Submits single-task jobs from 20 s to 140 s; a quarter are cancelled.
  double single_task_jobs_per_s = 0;
  // Adds an array of 3,000 short tasks, whose progress record is larger than
  // the dropped limit of a value.
  bool long_array = false;
  // Adds so many arrays of 800 to 2,400 tasks of 0.002 to 0.05 cores each, far
  // more on a machine than a worker can report.
  int small_task_arrays = 0;
  // Arrays of one team, all able to save progress, submitted within
  // `burst_for_s` from `burst_at_s` on.
  int burst_jobs = 0;
  uint32_t burst_tasks = 12;  // of each array
  double burst_at_s = 60, burst_for_s = 30;

  // Services are submitted within 60 s from `services_from_s` on. The replicas
  // of `exiting_service_share` of them exit 5 to 35 s after their start, done
  // or failed. The replicas of the crash-looping service exit after 0.5 s.
  int services = 0;
  double services_from_s = 20;
  double exiting_service_share = 0;
  bool crash_looping_service = false;

  // Controllers start in the old version, which does not support the upcoming
  // limits of the state service. From this time on they are killed one after
  // the other and restart in the new version. A controller that crashes before
  // its turn restarts in the old version. 0: no upgrade.
  double rolling_upgrade_at_s = 0;
  double rolling_upgrade_interval_s = 6;
  // The state service enforces `dropped_state_limits` from this time on. 0:
  // never.
  double state_limits_drop_at_s = 0;
  StateLimits dropped_state_limits{42, 0.6, 4};
  bool enforce_write_rate = false;  // refuses changes that exceed the rate

  PolicySettings policy;
  std::vector<Fault> faults;

  size_t check_interval_steps = 1;  // events between two checks of all machines
  bool debug_log = false;           // controllers also log debug lines
};

}  // namespace sorrelwood::test
