// The tuning constants of sorrelwood. Names of durations end in S (seconds) or
// Ms (milliseconds), names of sizes in Bytes, Kib or Mib. A share is a fraction
// of 1, a ratio a multiple of another value, a learning rate a weight from 0 to
// 1; other names or their comments say what is counted. Properties of a cluster
// (machine types, leases, rates) do not belong here: they come from the
// settings file and the cloud's catalogue.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood {

// --- Clocks ---

// Relative drift between two steady clocks: each drifts by up to 0.05 %, and
// their sum is doubled for safety.
inline constexpr double kMaxClockDriftRatio = 0.002;

// --- Leader election ---

// Long enough to survive a slow answer of the state service, short enough that
// a takeover ends well within the workers' lease.
inline constexpr double kLeaderLeaseS = 4.0;

inline constexpr double kLeaderLeaseRenewIntervalS = 0.9;

// The leader sends no start command when less than this remains of its lease.
inline constexpr double kDispatchLeaseMarginS = 0.6;

// The leader sends no start command when its job cache was last synchronized
// longer ago. Covers one watch that has ended, the next one in flight, and one
// second for a slow answer.
inline constexpr double kDispatchMaxCacheAgeS = 5.0;

// Pause between two attempts to acquire the leader key. After a failed attempt
// a random part of up to the same length is added, so that nodes do not
// collide.
inline constexpr double kElectionRetryS = 0.4;

// A leader resigns when it is in contact with less than this share of its
// machines.
inline constexpr double kResignReachableShare = 0.35;

// With fewer machines a leader does not resign for lack of contact.
inline constexpr int kResignMinMachines = 3;

// From this number of machines on, a leader that has lost contact with nearly
// all of them resigns early.
inline constexpr int kFastResignMinMachines = 10;

// Heartbeat intervals without contact after which a machine counts as lost for
// an early resignation: it should have sent two heartbeats.
inline constexpr double kFastResignHeartbeatIntervals = 2.5;

// A leader resigns early when it is in contact with less than this share of its
// machines.
inline constexpr double kFastResignReachableShare = 0.05;

// After its resignation a leader does not stand for election for this duration,
// so that another node can take over.
inline constexpr double kResignPauseS = 8.0;

// Shortest time between two resignations of a node.
inline constexpr double kMinResignIntervalS = 90.0;

// Within kMinResignIntervalS of its resignation a node joins an election this
// much later than the others, which is two or three of their attempts.
inline constexpr double kResignedElectionDelayS = 2.0;

// A longer gap between two inputs of the core, which is woken every
// kTickIntervalS, means that the process was paused and received no messages.
inline constexpr double kProcessPauseThresholdS = 1.0;

// Allowance for a slow thread and the network. A leader without contact to the
// state service stops renewing worker leases this much earlier than
// cancel_deadline_s requires, and a start command counts as lost this much
// later than the time-outs require.
inline constexpr double kWorkerLeaseMarginS = 2.0;

// A worker drops answers to heartbeats that take longer (protocol).
inline constexpr double kHeartbeatAnswerTimeoutS = 4.0;

// --- State service ---

// Time-out of a request. An answer takes a few hundred milliseconds now and
// then.
inline constexpr double kStateRequestTimeoutS = 2.0;

inline constexpr double kLeaseRenewalTimeoutS = 1.2;

// Share of the service's request rate that the watches of all nodes use while
// changes come in quick succession: each answer starts the next watch.
inline constexpr double kWatchRequestRateShare = 0.2;

// Duration of one watch; short, so that a dead connection is noticed.
inline constexpr double kWatchDurationS = 2.0;

// Time beyond kWatchDurationS after which a watch times out.
inline constexpr double kWatchTimeoutMarginS = 3.0;

// Completed tasks and ended jobs are collected for this duration before they
// are written.
inline constexpr double kCompletionBatchS = 0.25;

// Share of the service's write rate that the leader uses; the rest is for
// submissions and cancellations.
inline constexpr double kLeaderWriteShare = 0.65;

// Pause after a failed write.
inline constexpr double kWriteRetryS = 0.3;

// Largest transaction (protocol: 64 KiB) less what precedes its entries.
inline constexpr size_t kMaxTransactionBytes = size_t{63} * 1024;

// Upper bound of the size of one key's precondition without the key: field
// names and a version.
inline constexpr size_t kPreconditionOverheadBytes = 40;

// Upper bound of the size of one mutation without key and value.
inline constexpr size_t kMutationOverheadBytes = 56;

// Largest value that a transaction can hold beside the keys and preconditions
// of a submission.
inline constexpr size_t kMaxValueBytes = size_t{60} * 1024;

// Tasks whose completion is stored under one key: 16,384 bits are 4 KiB in
// hexadecimal.
inline constexpr uint32_t kTasksPerCompletionRecord = 16384;

// Where a completion record exceeds the size limit of a value, it is split into
// parts with a key each. Most tasks of a part: 1 KiB in hexadecimal.
inline constexpr uint32_t kMaxTasksPerCompletionPart = 4096;

// Fewest tasks of a part of a completion record.
inline constexpr uint32_t kMinTasksPerCompletionPart = 64;

// Upper bound of the size of a part of a completion record without its bits.
inline constexpr size_t kCompletionPartOverheadBytes = 64;

inline constexpr uint32_t kTasksPerHexDigit = 4;

// Preconditions that a transaction may have for each mutation (protocol).
inline constexpr size_t kMaxPreconditionsPerMutation = 4;

// Upper bound of the size of a provisioning request's record without the names
// of its machines.
inline constexpr size_t kProvisioningRecordOverheadBytes = 320;

// Upper bound of the size of one machine name in a provisioning request's
// record.
inline constexpr size_t kMachineNameMaxBytes = 24;

// Items requested in one listing: the service's maximum, since a takeover reads
// the records of the whole fleet.
inline constexpr int kListPageItems = 1000;

// A node is cut off from the state service when at least half of all nodes were
// served more than this long after the service began to refuse this one.
inline constexpr double kCutOffThresholdS = 1.0;

// --- User requests ---

// A submission or cancellation that still waits for the state service is
// answered 503 after this time: the user gives up after 5 s.
inline constexpr double kSubmitTimeoutS = 3.5;

// A poll that still waits for the state service is answered 503 after this
// time: the user gives up after 2 s.
inline constexpr double kPollTimeoutS = 1.5;

// Retry-After of a 503.
inline constexpr double kUnavailableRetryAfterS = 1.0;

// Retry-After of a 429 sent because too many requests are waiting.
inline constexpr double kTooManyRequestsRetryAfterS = 2.0;

// Polls that need a quorum read are batched into one transaction; the first one
// of a batch waits this long, or longer because of kQuorumReadRateShare.
inline constexpr double kQuorumReadBatchS = 0.08;

// Largest share of the state service's request rate that the quorum reads of
// all nodes use together.
inline constexpr double kQuorumReadRateShare = 0.3;

// Quorum reads of one node in flight: a slow answer does not delay the next
// batch, and reads do not pile up during an outage of the state service.
inline constexpr int kMaxQuorumReadsInFlight = 4;

// Share of the state service's request rate that all nodes together use to look
// up unknown jobs that users poll.
inline constexpr double kLookupRateShare = 0.2;

// Lookups that a node may make in any case.
inline constexpr double kMinLookupsPerS = 2.0;

// Polls that may wait for the state service at once; further ones get 429. They
// have a limit of their own, so that a burst of polls leaves room for
// submissions and cancellations.
inline constexpr size_t kMaxWaitingPolls = 120;

// Submissions and cancellations that may wait for the state service at once;
// further ones get 429.
inline constexpr size_t kMaxWaitingChanges = 80;

// Polls are rejected (429) while more inputs are queued for the core. More than
// a burst of heartbeats, less than a second's work on the smallest machine.
inline constexpr size_t kMinInputQueueLimit = 150;

// In a large fleet one input may be queued for each group of this many workers
// that may be connected, if that is more than kMinInputQueueLimit: a larger
// fleet sends larger bursts.
inline constexpr size_t kWorkersPerQueuedInput = 8;

// Final job states kept in memory; older ones are read again on request.
inline constexpr size_t kFinalStateCacheJobs = 20000;

inline constexpr uint32_t kMaxTasksPerJob = 100000;
inline constexpr size_t kMaxRequestBodyBytes = size_t{64} * 1024;

// Longest line of a response to a worker or a user (protocol).
inline constexpr size_t kMaxResponseLineBytes = size_t{64} * 1024;

// Longest id, and longest of most other strings that are parsed, such as names
// of classes, teams and images.
inline constexpr size_t kMaxIdBytes = 100;

// Digits of a task number in a task's name.
inline constexpr size_t kMaxTaskDigits = 6;

// Longest name of a task: the job's id, a slash and the task number.
inline constexpr size_t kMaxTaskNameBytes = kMaxIdBytes + 1 + kMaxTaskDigits;

// Longest key in the state service (protocol).
inline constexpr size_t kMaxStateKeyBytes = 200;

// --- Workers ---

// Upper bound of the size of a worker's report without its tasks: four names of
// kMaxIdBytes, which may be escaped, and five numbers.
inline constexpr size_t kReportOverheadBytes = size_t{3} * 1024;

// Upper bound of the size of a list of commands without the commands.
inline constexpr size_t kCommandListOverheadBytes = 128;

// Pause before a new leader retries a failed read of its records.
inline constexpr double kRecoveryRetryS = 0.3;

// How often the contact with all machines is checked: several times in one
// heartbeat interval, so that silence is noticed soon.
inline constexpr double kHealthCheckIntervalS = 0.5;

// A machine is silent after this many heartbeat intervals without contact.
inline constexpr double kSilentHeartbeatIntervals = 4.5;

// Silent machines are released early only while they are at most this share of
// the fleet, or a single machine: beyond it the fault is more likely the
// leader's own network.
inline constexpr double kEarlyReleaseMaxShare = 0.34;

// Time that a worker may need to stop its tasks once its lease has expired.
inline constexpr double kMaxWorkerStopS = 1.0;

// A lost machine is released this long after its lease has expired.
inline constexpr double kUnreachableReleaseDelayS = 3.0;

// Where early release is not allowed, a lost machine is released this many
// worker leases later: many lost machines are likely to come back.
inline constexpr double kLongLostWorkerLeases = 2.0;

// How often the fencing token is pushed to a machine that is silent or has not
// acknowledged it in time.
inline constexpr double kPushIntervalS = 1.0;

// Time-out of the response to pushed commands.
inline constexpr double kPushTimeoutS = 1.5;

// Heartbeat intervals after a failover within which a reachable machine has
// acknowledged the new fencing token: its next heartbeat, the one that it sends
// at once on seeing the token, and a reserve. After that the token is pushed.
inline constexpr double kTokenAckHeartbeatIntervals = 2.0;

// Machines that block failover recovery are released only while they are at
// most this share of the fleet, or a single machine: if there are more, they
// are likely to be cut off.
inline constexpr double kBlockingMachineMaxShare = 0.05;

// Cores, and GPUs, that a machine of unknown type counts against each team's
// limit while it may run unknown tasks: more than any limit.
inline constexpr double kUnknownTypeCapacity = 1e9;

// A machine is quarantined when, since a task last succeeded there, this many
// attempts failed of jobs that succeed elsewhere.
inline constexpr int kQuarantineFailedAttempts = 2;

// A machine is also quarantined when, since a task last succeeded there,
// attempts failed of this many jobs that have not succeeded anywhere yet.
inline constexpr size_t kQuarantineFailingJobs = 3;

// A job that has succeeded nowhere and failed on this many machines is tried
// one task at a time.
inline constexpr size_t kFailingJobMachines = 2;

// A job that has succeeded nowhere and failed on this many machines is
// considered the cause itself, and no machine is.
inline constexpr size_t kBrokenJobMachines = 3;

// A task that fails this often while its job succeeds is considered the cause
// itself.
inline constexpr int kBrokenTaskFailures = 3;

// Base of the exponential backoff. A failing job (kFailingJobMachines)
// pauses for twice this after the first failed round, four times this after the
// second, and so on. A replica is restarted without a pause after its first
// early end, and after this pause after the second. A job that a worker does
// not know is retried after this pause.
inline constexpr double kJobRetryPauseS = 2.0;

// The longest pause of the backoff.
inline constexpr double kJobRetryPauseMaxS = 60.0;

// Most doublings of kJobRetryPauseS that are computed: with that many the pause
// already exceeds kJobRetryPauseMaxS.
inline constexpr int kJobRetryPauseMaxDoublings = 10;

// How long a job avoids a machine that it failed on.
inline constexpr double kSuspectMachineAvoidS = 20.0;

// A quarantined machine on which only jobs failed that have not succeeded
// anywhere yet is kept for this duration before its release, while these jobs
// are tried elsewhere.
inline constexpr double kSuspectReleaseDelayS = 20.0;

// A machine that refused a start for lack of room gets no tasks for this
// duration.
inline constexpr double kRefusedStartPauseS = 3.0;

// After a preemption notice a task runs on if it is expected to end within this
// share of the time left: estimates are inaccurate.
inline constexpr double kEndsBeforePreemptionShare = 0.5;

// How often the leader checks tasks at the speculation limit, replicas on
// departing machines and preemption for guarantees.
inline constexpr double kPolicyIntervalS = 1.0;

// --- Peers ---

// How often a node sends its status to the other controllers.
inline constexpr double kPeerStatusIntervalS = 1.0;

// One of this many status messages of the leader carries the counts of all
// jobs, not only of changed ones, since messages may be lost.
inline constexpr uint64_t kMessagesPerFullPeerStatus = 10;

// Largest message between controllers that is read.
inline constexpr size_t kMaxPeerMessageBytes = size_t{1} << 20;

// The counts of jobs in one message take at most this much.
inline constexpr size_t kMaxPeerCountsBytes = kMaxPeerMessageBytes / 2;

// Upper bound of the size of one job's counts without its id: two words, and
// the id's end and padding.
inline constexpr size_t kPeerCountsOverheadBytes = 24;

// Largest reported time since the state service last answered a node.
inline constexpr double kMaxServedAgoMs = 1e6;

// --- Placement ---

// How often queued tasks are matched with machines.
inline constexpr double kPlacementIntervalS = 0.1;

// Amounts of CPUs or memory (cores, GB) that differ by less are equal: sums of
// many tasks of a fraction of a core each drift by rounding.
inline constexpr double kResourceRounding = 1e-6;

// Grace period of a stopped task beyond the time that it needs to save a
// checkpoint; after it the worker kills the task.
inline constexpr double kSaveGraceMarginS = 1.0;

// Jobs from the front of the queue that one placement pass considers.
inline constexpr size_t kJobsPerPass = 64;

// Jobs of each team that a pass considers in any case.
inline constexpr size_t kMinJobsPerTeamPerPass = 12;

// With more candidate machines a pass considers a sample of this size.
inline constexpr size_t kSampleMachines = 400;

// Jobs from the front of a pass whose images matter for the sample: machines of
// the baseline and machines that hold one of these images are taken first.
inline constexpr size_t kSampleImageJobs = 8;

// A fetch that takes more than this share of a task's run time is long: a
// machine that has the image is preferred to a better fit.
inline constexpr double kLongFetchShare = 0.1;

// --- Run time estimates ---

// Lower bound of the estimate that a job's owner gives, and of the time that a
// running task is expected to go on.
inline constexpr double kMinEstimateS = 1.0;

// Largest factor, up or down, by which the owners' estimates of a class are
// corrected.
inline constexpr double kMaxEstimateCorrectionRatio = 3.0;

// Weight of one more completed task in the correction of a class.
inline constexpr double kEstimateLearningRate = 0.02;

// Estimate for a service, which runs until it is cancelled: longer than any
// planning window.
inline constexpr double kServiceEstimateS = 1e5;

// --- Services ---

// A replica that has run for this long is stable: a fetch and a start are over,
// and a fault of the machine or of the job shows within half a second.
inline constexpr double kReplicaStableS = 10.0;

// A replica on a departing machine is stopped when no more than this remains
// until the cloud reclaims the machine, even if the replica has no place
// elsewhere: time for a heartbeat and the stop.
inline constexpr double kReplicaForcedStopS = 3.0;

// Headroom for future replicas: arrivals of a class are counted over this
// period.
inline constexpr double kArrivalWindowS = 60.0;

// Shortest period from which a rate of arrivals is computed.
inline constexpr double kMinArrivalSpanS = 20.0;

// Headroom holds the arrivals of one boot time and this many jobs more.
inline constexpr double kHeadroomExtraJobs = 2.0;

// A class without arrivals for this duration gets no headroom.
inline constexpr double kHeadroomRetentionS = 600.0;

// A class whose tasks must start at once and which has had no job yet may need
// any machine: the capacity of this many machines of the cheapest type is kept,
// spread over the zones.
inline constexpr double kUnseenClassHeadroomMachines = 6.0;

// Latest arrivals remembered of each class.
inline constexpr size_t kMaxArrivalsPerClass = 200;

// How often tasks are stopped in favour of waiting replicas.
inline constexpr double kPreemptionIntervalS = 0.5;

// --- Queue order ---

// A younger job comes after others if it has missed all of its objectives, and
// after smaller jobs of its team. Beyond this age neither delays it further, so
// that no job waits forever: the longest sustained overload lasts longer.
inline constexpr double kOrderByObjectiveMaxAgeS = 300.0;

// From this age on a job of which nothing has run comes before all others: the
// operators require every job, the largest included, to start within 240 s, and
// room has to become free first.
inline constexpr double kStarvationAgeS = 120.0;

// How often the order of the queue is computed.
inline constexpr double kRankingIntervalS = 0.5;

// --- Reserves for immediate starts ---

// A class whose tasks must start within this time has room reserved for some of
// its usual jobs.
inline constexpr double kImmediateStartWithinS = 10.0;

// Work that has waited for this long may use the room reserved for services,
// which may preempt it again.
inline constexpr double kReserveYieldS = 30.0;

// Largest share of the slots (places for one task) of the whole fleet that is
// reserved for one class, services excepted.
inline constexpr double kReserveMaxShare = 0.12;

// Lower bound of the CPUs of a task when slots are counted.
inline constexpr double kMinTaskCpus = 0.1;

// Usual jobs of a class that its reserve holds.
inline constexpr double kReserveJobs = 1.0;

// Weight of one more job in the profile of its class.
inline constexpr double kClassProfileLearningRate = 0.2;

// --- Load spread ---

// How often moves of running tasks are considered: a heartbeat interval, since
// moves wait for heartbeats.
inline constexpr double kRebalanceIntervalS = 2.0;

// Machines drawn as destinations of one move, of which the best is taken: more
// gain little (the power of d choices).
inline constexpr size_t kMoveChoices = 8;

// A task expected to end sooner is not moved: a stop, a fetch and a start take
// as long as it has left.
inline constexpr double kMinRemainingRunForMoveS = 20.0;

// A machine is slow when its tasks take this many times as long as others of
// their jobs. Machines of one type differ by a tenth.
inline constexpr double kSlowMachineRatio = 1.7;

// Weight of one more task in the smoothed ratio of a machine.
inline constexpr double kSpeedLearningRate = 0.3;

// Tasks of a machine that must have been compared before it counts as slow.
inline constexpr uint64_t kMinSpeedSamples = 4;

// Run times of a job's tasks on different machines are compared with their mean
// once this many of its tasks have completed.
inline constexpr uint64_t kMinTasksForMeanRun = 5;

// Run times are not compared if their mean is shorter: the interval of
// heartbeats makes it inaccurate.
inline constexpr double kMinMeanRunS = 4.0;

// --- Cloud ---

// Time-out of one call.
inline constexpr double kCloudTimeoutS = 5.0;

// Share of the cloud's call rate that the leader uses: calls beyond the rate
// are refused (429).
inline constexpr double kCloudRateShare = 0.8;

// How often the catalogue is read.
inline constexpr double kCatalogIntervalS = 60.0;

// How often the catalogue is read while none is known: until then nothing can
// be provisioned.
inline constexpr double kCatalogFirstRetryS = 1.0;

// How often the inventory is read.
inline constexpr double kInventoryIntervalS = 4.0;

// Largest share of the leader's calls that reads of the inventory take: at the
// usual interval the nine pages of 4,500 machines would take most of them from
// provisioning and releases.
inline constexpr double kInventoryCallShare = 0.25;

// The inventory may lag by twice the lag in the settings and this margin.
inline constexpr double kInventoryLagMarginS = 1.0;

// Machines on one page of the inventory: the cloud's maximum.
inline constexpr size_t kInventoryPageMachines = 500;

// Machines that one call provisions at most (protocol).
inline constexpr int kMaxMachinesPerProvisioning = 50;

// Machines that one call releases at most (protocol).
inline constexpr size_t kMaxMachinesPerRelease = 100;

// Pause before a provisioning call without an answer is repeated.
inline constexpr double kProvisioningRetryS = 1.0;

// How long an offer without enough capacity is suspended.
inline constexpr double kNoCapacityPauseS = 12.0;

// How long an offer is suspended after any other refusal, a 429 or an outage of
// the cloud.
inline constexpr double kCloudErrorPauseS = 3.0;

// --- Autoscaling ---

// How often scale-out and scale-in are planned: each plan visits all machines
// and jobs.
inline constexpr double kPlanIntervalS = 1.0;

// How far rounding may take a quotient of CPUs below the whole number of tasks
// that fits (tasks).
inline constexpr double kTaskCountRounding = 1e-6;

// An offer is premium when it costs this many times as much as the cheapest.
inline constexpr double kPremiumPriceRatio = 1.6;

// Premium machines are provisioned for a job when all work up to and including
// it takes more than this many times the time that its deadline or objective
// leaves.
inline constexpr double kPremiumOverrunRatio = 2.0;

// A deadline or objective that leaves fewer boot times does not justify a
// premium machine: it would be up too late.
inline constexpr double kPremiumMinBootTimes = 1.0;

// Machines are excess only while the capacity of the others is at least this
// many times the demand.
inline constexpr double kExcessCapacityRatio = 1.0;

// Free capacity that the other machines must have for a machine to be drained,
// as a multiple of the capacity that moves.
inline constexpr double kDrainFreeCapacityRatio = 1.3;

// A machine at an ordinary price is drained when at most this share of its CPUs
// is in use.
inline constexpr double kDrainMaxUsedShare = 0.5;

// Grace period of a drained task beyond the time that it needs to save a
// checkpoint.
inline constexpr double kDrainGraceMarginS = 1.0;

// A task may be stopped to be moved or preempted if it saves its checkpoint
// within this time.
inline constexpr double kMaxCheckpointSaveS = 5.0;

// A task may be stopped to be moved or preempted once it has run for longer
// than this: a start that is undone within 30 s counts for no objective.
inline constexpr double kMinRunBeforeMoveS = 32.0;

// A booting machine counts in full as capacity for this many boot times of its
// type, which covers the usual variation.
inline constexpr double kFullCreditBootTimes = 1.5;

// A booting machine does not count as capacity after this many boot times.
inline constexpr double kNoCreditBootTimes = 3.0;

// A boot may time out after this many boot times (see kBootTimeoutPeers).
inline constexpr double kBootTimeoutBootTimes = 1.8;

// A boot times out after kBootTimeoutBootTimes when this many machines of the
// type that were provisioned no earlier are up: a new machine would be up
// sooner.
inline constexpr size_t kBootTimeoutPeers = 3;

// A boot times out in any case after this many boot times.
inline constexpr double kBootTimeoutMaxBootTimes = 6.0;

// No boot times out before this time.
inline constexpr double kBootTimeoutMinS = 30.0;

// --- Debug log ---

// How often the teams are described in the debug log.
inline constexpr double kDebugLogIntervalS = 5.0;

// --- Threads ---

// Stack of a thread that reads and answers requests: the library's buffers take
// 20 KiB.
inline constexpr size_t kConnectionThreadStackBytes = size_t{192} * 1024;

// Stack of every other thread.
inline constexpr size_t kThreadStackBytes = size_t{256} * 1024;

// Arenas of malloc: each further one costs memory that a small machine lacks.
inline constexpr int kMallocArenas = 2;

// Threads, each with a connection of its own, that send the leader's requests
// to the state service. Enough that one slow answer does not delay the next
// request.
inline constexpr int kLeaderStateThreads = 3;

// Threads that send submissions and cancellations to the state service, each
// with a connection of its own. Enough that one slow answer does not delay the
// next request.
inline constexpr int kUserStateThreads = 3;

// Threads that send quorum reads for polls to the state service, each with a
// connection of its own. Enough that one slow answer does not delay the next
// request.
inline constexpr int kPollStateThreads = 2;

// Threads that send provisioning and release calls to the cloud, each with a
// connection of its own. Enough that one slow answer does not delay the next
// call.
inline constexpr int kCloudChangeThreads = 3;

// Workers that may be connected for each thread that pushes commands. A zone
// that hangs leaves a third of the machines silent, each of which takes the
// whole time-out; all of them should be served within about one lease.
inline constexpr size_t kWorkersPerPushThread = 30;

inline constexpr size_t kMinPushThreads = 16;
inline constexpr size_t kMaxPushThreads = 128;

// How often the core is woken without an input.
inline constexpr double kTickIntervalS = 0.04;

// How often the core publishes its statistics as metrics: several times within
// the usual scrape interval.
inline constexpr double kMetricsIntervalS = 5.0;

// How long a connection's thread waits for the core's answer: less than a
// worker's 4 s and a user's 5 s.
inline constexpr double kCoreAnswerTimeoutS = 3.8;

// Retry-After when the core has not answered in time: short, since another
// controller may answer.
inline constexpr double kCoreLateRetryAfterS = 1.0;

// Retry-After when too many inputs are queued: longer, so that the queue can
// drain.
inline constexpr double kInputQueueFullRetryAfterS = 2.0;

// --- Capacity of a controller ---

// Sockets reserved for connections that this process opens: to the state
// service, the cloud, workers and the other controllers.
inline constexpr int kOutboundSockets = 100;

// Memory of all but the connections. Covers a leader of 300 machines and 250
// jobs with a reserve.
inline constexpr double kBaseMemoryMib = 22;

// Memory of a request that is being handled: its thread's stack and buffers,
// with a reserve.
inline constexpr double kRequestMemoryKib = 56;

// Memory of an open connection.
inline constexpr double kConnectionMemoryKib = 2;

// Memory of one of the leader's machines with about ten tasks on it, with a
// reserve.
inline constexpr double kMachineMemoryKib = 4;

// Threads that read and answer requests: more than the requests that may wait
// for the state service at once, and far fewer than the 2,000 that a process
// may have.
inline constexpr double kMaxRequestThreads = 320;

// Share of the request threads for workers, which are answered at once. A tenth
// is left for probes and for clients that have not sent a request yet.
inline constexpr double kWorkerThreadShare = 0.15;

// Share of the request threads for users.
inline constexpr double kUserThreadShare = 0.75;

// Share of all connections for workers. A tenth is left for probes and for
// clients that have not sent a request yet.
inline constexpr double kWorkerConnectionShare = 0.6;

// Share of all connections for users.
inline constexpr double kUserConnectionShare = 0.3;

// Settings that allow fewer connections are rejected: the controller would be
// of no use.
inline constexpr size_t kMinConnections = 40;

// Settings that allow fewer request threads are rejected: the controller would
// be of no use.
inline constexpr size_t kMinRequestThreads = 16;

// --- HTTP connections ---

// Events that one call of epoll_wait returns: a burst of a large fleet needs a
// few calls, and the buffer stays small.
inline constexpr int kMaxEpollEvents = 64;

// How long a connection of a user or a probe may stay open without a request.
inline constexpr double kIdleConnectionTimeoutS = 75.0;

// How often connections are checked for the idle time-out.
inline constexpr double kIdleCheckIntervalS = 1.0;

// A whole request must be read, and a whole answer written, within this time.
inline constexpr double kRequestTransferTimeoutS = 5.0;

// Connections that may wait to be accepted.
inline constexpr int kMinListenBacklog = 256;

// One more connection may wait to be accepted for this number of workers that
// may be connected: all workers of a large fleet connect to a new leader within
// half a second.
inline constexpr int kWorkersPerBacklogEntry = 4;

}  // namespace sorrelwood
