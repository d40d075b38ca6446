// What a simulated run consists of: its size, its workload, the unreliability
// of its network, and the faults that are injected at given times.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/settings.h"

namespace sorrelwood::test {

// "The leader" is the controller that leads when the fault begins (without one
// nothing happens), "the follower" is the controller after it.
enum class FaultKind {
  // Processes end and start anew about `restart_s` later.
  kLeaderCrash,
  kFollowerCrash,
  kAllControllersCrash,
  // Processes stand still while clocks go on; what they had decided before
  // leaves after the pause.
  kLeaderPause,
  kAllControllersPause,
  // No packet leaves or reaches the controller; requests that it sent meanwhile
  // arrive at the end.
  kLeaderPartition,
  kFollowerPartition,
  kLeaderPartitionedFromWorkers,
  // Neither the state service nor the other controllers can be reached, but
  // workers and clients can.
  kLeaderWithoutStateAndPeers,
  kFollowerWithoutStateAndPeers,
  kStateServiceRefusesLeader,
  kStateServiceRefusesFollower,
  // No message between controllers arrives.
  kPeerMessagesLost,
  // Controllers and workers of different zones can't reach each other.
  kZonePartition,

  kStateServiceOutage,
  kStateServiceSlow,
  // `share` of the transactions is carried out 2 to 12 s late, unanswered.
  kLateTransactions,
  // `share` of the transactions is carried out at once, unanswered.
  kTransactionAnswersLost,

  kCloudOutage,
  // Machines provisioned meanwhile boot six times as slowly, one in five never.
  kSlowBoots,
  // Machines are up before the provisioning request is answered.
  kInstantBoots,
  // Half of the spot machines are taken back after a notice of 8 s.
  kSpotPreemptionWave,

  // The next kinds hit `count` machines each.
  kMachineCrash,
  // Tasks go on, but packets are held until the partition ends.
  kMachinePartition,
  // Nothing is executed; tasks don't end.
  kMachineHang,
  // Heartbeats arrive; answers and pushed commands don't.
  kMachineInboundLoss,
  // Heartbeats don't arrive; pushed commands do.
  kMachineOutboundLoss,
  // The worker process restarts at once, in a new incarnation (one machine).
  kMachineRestart,
  // Every task that starts on it fails (one machine).
  kMachineFailsTasks,
  // A third of all machines at once: half of them crash, half hang.
  kMassMachineLoss,

  // A copy of `share` of the heartbeats arrives 2 s to 1.5 leases later.
  kHeartbeatsDuplicatedLate,
  // A copy of `share` of the heartbeats reaches every controller just as the
  // next leader begins.
  kHeartbeatsReplayedToNextLeader,

  // Clients cancel `count` running jobs; with for_s, up to eight machines that
  // run them hang for so long.
  kCancelRunningJobs,
  // Clients cancel `share` of the jobs whose last task has just ended.
  kCancelAtCompletion,
  // Clients poll ten times as often, also for jobs that nobody submitted.
  kPollOverload,
  // Clients repeat submissions, cancel what is done, and submit jobs that fit
  // nowhere.
  kUnusualRequests,
  // Clients poll every controller within milliseconds of each change.
  kPollAllControllersOnChange,
};

struct Fault {
  double at_s = 0;
  FaultKind kind = FaultKind::kLeaderCrash;
  double for_s = 0;      // duration; 0 where a kind has none
  double restart_s = 0;  // about the time until a crashed process is back
  double share = 0.5;    // of messages or jobs
  size_t count = 1;      // of machines or jobs
};

// Times are seconds since the start of the run unless said otherwise.
struct SimulationOptions {
  uint64_t seed = 1;
  int controllers = 3;
  double duration_s = 900;

  // The network, as probabilities for each message.
  double loss_probability = 0;       // the request or its answer is lost
  double duplicate_probability = 0;  // carried out a second time, later
  // Carried out long after the sender gave up.
  double late_probability = 0;
  // A copy of a heartbeat arrives, up to 40 s later.
  double heartbeat_copy_probability = 0;
  double max_watch_delay_s = 0;  // of the state service's notifications

  // The cloud.
  double boot_failure_probability = 0;
  double spot_preemptions_per_hour = 0;  // of each spot machine
  int capacity_factor = 1;               // of the machines on offer
  // Some 1,500 machines in three zones, arrays of up to 3,000 tasks, and the
  // heartbeats, leases and rates of a large deployment.
  bool large_fleet = false;
  double fleet_scale = 1;  // of its machines, limits and rates

  // Array jobs of two teams.
  int jobs = 24;
  double submit_until_s = 120;
  double cancel_share = 0.1;
  double run_time_factor = 1;     // of the tasks' run times
  double checkpoint_share = 0.3;  // of the jobs can save their progress
  double failing_job_share = 0;   // jobs that fail everywhere until cancelled
  double one_zone_share = 0.2;    // of the jobs
  // Jobs of two or three tasks, each taking longer than the one before.
  bool staggered_task_ends = false;

  // A team without guarantee or limit, with one large array and many jobs of a
  // single task.
  bool best_effort_team = false;
  // Jobs of a single task from 20 s to 140 s, a quarter of them cancelled.
  double single_task_jobs_per_s = 0;
  // An array of 3,000 short tasks, whose progress outgrows the smaller limits.
  bool long_array = false;
  // Arrays of one team, which come within `burst_for_s`; all save progress.
  int burst_jobs = 0;
  uint32_t burst_tasks = 12;  // of each array
  double burst_at_s = 60, burst_for_s = 30;

  // Services, submitted from `services_from_s` on. The replicas of a share of
  // them exit by themselves, done or failed, after some 20 s; those of a crash
  // looping service exit at once.
  int services = 0;
  double services_from_s = 20;
  double exiting_service_share = 0;
  bool crash_looping_service = false;

  // The controllers begin without knowledge of the state service's coming
  // limits, as the version before, and are killed one after the other from this
  // time on, to come back with it; one that crashes before its turn does not.
  // 0: no upgrade.
  double rolling_upgrade_at_s = 0;
  double rolling_upgrade_interval_s = 6;
  // The state service has its smaller limits from then on. 0: never.
  double state_limits_drop_at_s = 0;
  StateLimits dropped_state_limits{42, 0.6, 4};
  bool enforce_write_rate = false;  // changes beyond the rate are refused

  PolicySettings policy;
  std::vector<Fault> faults;

  size_t check_interval_steps = 1;  // events between two looks at all machines
  bool debug_log = false;           // the controllers write debug lines too
};

}  // namespace sorrelwood::test
