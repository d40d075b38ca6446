// Every tuning constant of sorrelwood, with its unit and its reason. Statistics
// of a cluster (machine types, leases, rates) never stand here: they come from
// the settings file and the cloud's catalogue.
#pragma once

#include <cstddef>
#include <cstdint>

namespace sorrelwood {

// --- Clocks -----------------------------------------------------------------
// Steady clocks drift by up to 0.05 % each; two of them, doubled for safety.
inline constexpr double kClockDrift = 0.002;

// --- LeaderElection (seconds)
// ---------------------------------------------------- Long enough to ride out
// a slow answer of the state service, short enough that a takeover ends well
// within the workers' lease.
inline constexpr double kLeaderLeaseS = 4.0;
inline constexpr double kLeaderLeaseRenewIntervalS = 0.9;
// No launch leaves when less than this is left of the leader's lease.
inline constexpr double kDispatchLeaseMarginS = 0.6;
// Nor when its last look at the jobs is so old (s): one watch that ended, the
// next one under way, and a second for a slow answer.
inline constexpr double kDispatchMaxCacheAgeS = 5.0;
// Pause between two tries for the leader key.
inline constexpr double kElectionRetryS = 0.4;
// A leader that hears less than this share of its machines, of at least so
// many, leaves the lead to others, who have this long (s) to take it; and how
// often at most (s).
inline constexpr double kResignReachableShare = 0.35;
inline constexpr int kResignMinMachines = 3;
// Of so many it leaves after so many report intervals if it hears less than
// this share of them: each should have reported twice.
inline constexpr int kFastResignMinMachines = 10;
inline constexpr double kFastResignHeartbeats = 2.5;
inline constexpr double kFastResignReachableShare = 0.05;
inline constexpr double kResignPauseS = 8.0;
inline constexpr double kResignIntervalS = 90.0;
// For that long it lets the others go first in an election by so much (s): two
// or three of their tries.
inline constexpr double kResignedElectionDelayS = 2.0;
// The core is woken every kTickIntervalS: a gap of so long (s) between two
// inputs means that the process stood still, and heard nobody meanwhile.
inline constexpr double kProcessPauseThresholdS = 1.0;
// Margin by which report answers stop before the reach that a successor counts
// on ends; covers a slow thread and the network.
inline constexpr double kWorkerLeaseMarginS = 2.0;
// A worker drops answers that take longer than this (protocol).
inline constexpr double kHeartbeatAnswerTimeoutS = 4.0;

// --- State service
// ------------------------------------------------------------- Wait for one
// answer (s). A few hundred milliseconds are usual now and then.
inline constexpr double kStateTimeoutS = 2.0;
inline constexpr double kRenewTimeoutS = 1.2;
// The share of the service's requests that the watches of all nodes use when
// news come one after the other: each answer opens the next watch.
inline constexpr double kWatchShare = 0.2;
// One watch; short, so that a dead connection is noticed.
inline constexpr double kWatchS = 2.0;
inline constexpr double kWatchSlackS = 3.0;
// Finished tasks are collected for this long before they are written (s).
inline constexpr double kFinishBatchS = 0.25;
// Share of the state service's write rate that one leader uses; the rest is for
// submissions and cancellations.
inline constexpr double kLeaderWriteShare = 0.65;
// Pause after a write that did not get through (s).
inline constexpr double kWriteRetryS = 0.3;
// Bytes of values in one transaction: half of the protocol's 64 KiB, which also
// has to hold keys, preconditions and quoting.
inline constexpr size_t kMaxWriteBytes = size_t{32} * 1024;
// Tasks whose completion one key holds: 16,384 bits are 4 KiB as hexadecimal.
inline constexpr uint32_t kTasksPerCompletionRecord = 16384;
// Where that is more than a value may hold, a part of them has a key of its
// own: at most so many tasks, 1 KiB, and at least so many. Around the bits such
// a record takes so many bytes at most.
inline constexpr uint32_t kMaxTasksPerCompletionPart = 4096;
inline constexpr uint32_t kMinTasksPerCompletionPart = 64;
inline constexpr size_t kCompletionPartOverheadBytes = 64;
inline constexpr uint32_t kTasksPerHexDigit = 4;
// Conditions that a transaction may have for each change (protocol).
inline constexpr size_t kPreconditionsPerMutation = 4;
// Bytes that a provisioning request's record takes at most beside the machines'
// names, and for one name.
inline constexpr size_t kProvisioningRecordOverheadBytes = 320;
inline constexpr size_t kMachineNameMaxBytes = 24;
// Items that one listing asks for: the most that the service gives, since a
// takeover reads the records of the whole fleet.
inline constexpr int kListPage = 1000;

// A node is shut out when the state service has refused it while it served most
// others at least so long after the refusals began (s).
inline constexpr double kShutOutS = 1.0;

// --- Users -------------------------------------------------------------------
// When a request that still waits for the state service is answered 503 (s):
// the user gives up after 5 s (submit, cancel) or 2 s (poll).
inline constexpr double kSubmitTimeoutS = 3.5;
inline constexpr double kPollTimeoutS = 1.5;
// The pause that a user is asked to make (Retry-After, s) after a 503, and
// after load shedding (429).
inline constexpr double kUnavailableRetryAfterS = 1.0;
inline constexpr double kOverloadedRetryAfterS = 2.0;
// Polls that wait for a quorum read share one transaction; the first one waits
// at most this long (s), or longer where all nodes together would otherwise use
// more than this share of the state service's requests.
inline constexpr double kQuorumReadBatchS = 0.08;
inline constexpr double kQuorumReadRateShare = 0.3;
// Quorum reads of one node that may be under way: a slow answer does not hold
// up the next batch, and a state service that is out does not pile them up.
inline constexpr int kMaxQuorumReadsInFlight = 4;
// The share of the state service's requests that all nodes together use to look
// up jobs they do not know, when users poll; and the least that a node may look
// up in a second.
inline constexpr double kLookupRateShare = 0.2;
inline constexpr double kMinLookupsPerS = 2.0;
// Requests that may wait for the state service at once, polls apart from
// submissions and cancellations, so that a storm of the first leaves room for
// the others; further ones get 429.
inline constexpr size_t kMaxWaitingPolls = 120;
inline constexpr size_t kMaxWaitingChanges = 80;
// Inputs that wait for the core beyond which polls are turned away (429): more
// than a burst of reports, less than a second's work on the least machine. A
// larger fleet has larger bursts: one for so many workers that may be
// connected, if that is more.
inline constexpr size_t kMinInputQueueLimit = 150;
inline constexpr size_t kWorkersPerQueuedInput = 8;
// Final states kept in memory; older ones are read again when asked for.
inline constexpr size_t kFinalStateCacheSize = 20000;
inline constexpr uint32_t kMaxTasks = 100000;
inline constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
inline constexpr size_t kMaxIdLength = 100;

// --- Workers
// Pause before a new leader reads its records again after a failure (s).
inline constexpr double kRecoveryRetryS = 0.3;
// How often the contact with all machines is checked (s): well within one
// heartbeat interval, so that silence is noticed within it.
inline constexpr double kHealthCheckEveryS = 0.5;
// A machine is silent after this many heartbeat intervals without contact.
inline constexpr double kSilentHeartbeats = 4.5;
// At most this share of the machines is returned early for silence: beyond it
// the fault is more likely the leader's own network.
inline constexpr double kEarlyReleaseMaxShare = 0.34;
// What a worker may take to stop its tasks once its lease has expired (s).
inline constexpr double kWorkerStopS = 1.0;
// Further silence (s) after a lease has expired before the machine is returned;
// and where many machines are silent, so many worker leases more: they are
// likely to come back.
inline constexpr double kUnreachableReleaseDelayS = 3.0;
inline constexpr double kLongLostWorkerLeases = 2.0;
// How often the fencing token is pushed to a silent machine (s).
inline constexpr double kPushIntervalS = 1.0;
// Time-out of the response to pushed commands (s).
inline constexpr double kPushTimeoutS = 1.5;
// Heartbeat intervals after a failover within which a machine in reach has
// acknowledged the new token: its next heartbeat, the one that the token makes
// it send at once, and some to spare. After that the token is pushed to it.
inline constexpr double kFailoverHeartbeats = 2.0;
// At most this share of the machines is returned for being the last that block
// failover recovery: many more are likely to be cut off.
inline constexpr double kBlockingMachineShare = 0.05;
// CPUs and GPUs that a machine may hold whose type is not known yet: more than
// any limit.
inline constexpr double kUnknownTypeCpus = 1e9;
// A machine is quarantined when, since a task last succeeded there, so many
// attempts failed of jobs that succeed elsewhere, or attempts of so many jobs
// that have succeeded nowhere yet.
inline constexpr int kQuarantineErrors = 2;
inline constexpr size_t kQuarantineFailingJobs = 3;
// A job that has succeeded nowhere and failed on so many machines is tried one
// task at a time; on so many it is held to be at fault, and no machine is.
inline constexpr size_t kFailingJobMachines = 2;
inline constexpr size_t kBrokenJobMachines = 3;
// A task that fails so often while its job succeeds is held to be at fault
// itself.
inline constexpr int kBrokenTaskErrors = 3;
// Exponential backoff of a job whose tasks fail: the pause after a first
// failure (s), the longest pause (s), and the most doublings that are computed,
// which exceed the longest pause.
inline constexpr double kJobRetryPauseS = 2.0;
inline constexpr double kJobRetryPauseMaxS = 60.0;
inline constexpr int kJobRetryPauseMaxDoublings = 10;
// How long a job keeps off the machines that it failed on (s).
inline constexpr double kSuspectMachineAvoidS = 20.0;
// A machine that refused a start for want of room is given none for so long
// (s).
inline constexpr double kRefusedStartPauseS = 3.0;
// After a preemption notice a task runs on when it is expected to end within
// this share of the time left: estimates are inaccurate.
inline constexpr double kEndsBeforePreemptionShare = 0.5;
// How often tasks at the speculation limit, replicas on departing machines and
// preemption for guarantees are looked at (s).
inline constexpr double kPolicyEveryS = 1.0;

// --- Peers
// How often a node sends its status to the other controllers (s); every so many
// messages the leader's carries the counts of all jobs, not only of those that
// have changed, since messages may be lost.
inline constexpr double kPeerStatusEveryS = 1.0;
inline constexpr uint64_t kPeerStatusFullEvery = 10;
// The longest time since the state service served a node that is told (ms).
inline constexpr double kMaxServedAgoMs = 1e6;

// --- Placement
// --------------------------------------------------------------------- How
// often queued work is matched with machines (s).
inline constexpr double kPlaceEveryS = 0.1;
// Amounts of cores and memory that differ by less are equal: sums of many tasks
// of a fraction of a core each drift by rounding.
inline constexpr double kResourceRounding = 1e-6;
// What a task that is to stop has beyond the time that it needs to save (s):
// the worker kills it when that is over.
inline constexpr double kSaveGraceMarginS = 1.0;
// Jobs from the front of the queue that one pass looks at, and how many of each
// team it looks at in any case.
inline constexpr size_t kPassJobs = 64;
inline constexpr size_t kPassJobsPerTeam = 12;
// Above this many machines with room a pass looks at a sample of them, with
// those in it that hold the images of so many first jobs.
inline constexpr size_t kSampleMachines = 400;
inline constexpr size_t kSampleImageJobs = 8;
// A fetch that takes over this share of a task's run time is long: a machine
// that has the image goes before a better fit.
inline constexpr double kLongFetchShare = 0.1;

// Owners' run time estimates: the least that is believed (s), the furthest that
// a class may be off, and the weight of one more task seen.
inline constexpr double kMinEstimateS = 1.0;
inline constexpr double kMaxEstimateCorrection = 3.0;
inline constexpr double kEstimateLearningRate = 0.02;
// A replica that has run for so long (s) is well: a fetch and a start are over,
// and a fault of the machine or of the job shows within half a second.
inline constexpr double kReplicaStableS = 10.0;
// A replica leaves a machine that is about to go without a place elsewhere when
// no more than this is left (s): a report, and the end.
inline constexpr double kReplicaLastMoveS = 3.0;
// Room for replicas that are yet to come: arrivals of a class are counted over
// so long (s), and the room holds those of one boot and so many jobs more.
inline constexpr double kArrivalWindowS = 60.0;
inline constexpr double kMinArrivalSpanS = 20.0;
inline constexpr double kHeadroomJobs = 2.0;
// None is kept for a class of which nothing has come for so long (s).
inline constexpr double kHeadroomMemoryS = 600.0;
// A class that is to start at once and of which nothing has come yet may need
// any machine: so many of the cheapest ordinary ones are kept, spread.
inline constexpr double kUnseenClassHeadroomMachines = 6.0;
inline constexpr size_t kMaxArrivals = 200;  // remembered of a class
// How often tasks are stopped for waiting replicas (s).
inline constexpr double kPreemptEveryS = 0.5;
// A service runs until it is cancelled: longer than any planning looks (s).
inline constexpr double kServiceEstimateS = 1e5;
// A job that has missed all of its aims lets others go first, and a large one
// lets small ones of its team, until it is this old (s): less than the longest
// day of sustained overload, so that none waits for ever.
inline constexpr double kOrderByObjectiveMaxAgeS = 300.0;
// A job of which nothing has run yet goes before all others from this age on
// (s): the operators want every job, the largest too, to begin within 240 s,
// and room has to come free first.
inline constexpr double kStarvationAgeS = 120.0;
// How often the queue's order is judged anew (s).
inline constexpr double kRankEveryS = 0.5;

// A class whose tasks are to start within this time (s) has room kept free for
// some of its usual jobs; no more than this share of all such room.
inline constexpr double kImmediateStartWithinS = 10.0;
// Work that has waited for so long (s) may use the room kept for services,
// which may stop it again.
inline constexpr double kReserveYieldS = 30.0;
inline constexpr double kReserveMaxShare = 0.12;
inline constexpr double kMinTaskCpus = 0.1;  // counted for a task
inline constexpr double kReserveJobs = 1.0;  // how many usual jobs it holds
// Weight of one more job in what is usual for its class.
inline constexpr double kClassProfileLearningRate = 0.2;

// --- Load spread
// How often it is looked at whether running tasks should move (s): a report
// interval, since moves wait for reports.
inline constexpr double kRebalanceEveryS = 2.0;
// Machines that are drawn as places for one move, of which the best is taken:
// more gain little (the power of d choices).
inline constexpr size_t kMoveChoices = 8;
// A task that is to end sooner (s) stays: a stop, a fetch and a start take as
// long as it has left.
inline constexpr double kMoveLeastLeftS = 20.0;
// A machine is slow when its tasks take this many times as long as others of
// their jobs, smoothed with this weight over at least so many; a job's mean
// counts from so many tasks on, and from so long a run (s) that the steps of
// reports do not matter. Machines of one type differ by a tenth.
inline constexpr double kSlowRatio = 1.7;
inline constexpr double kSpeedLearning = 0.3;
inline constexpr uint64_t kSpeedSamples = 4;
inline constexpr uint64_t kSpeedJobTasks = 5;
inline constexpr double kSpeedLeastRunS = 4.0;

// --- Cloud -------------------------------------------------------------------
// The wait for the answer to one call (s).
inline constexpr double kCloudTimeoutS = 5.0;
// The share of the cloud's call rate that the leader uses: calls beyond the
// rate are refused (429).
inline constexpr double kCloudRateShare = 0.8;
// How often the catalogue is read (s).
inline constexpr double kCatalogIntervalS = 60.0;
// The same while no catalogue is known yet: nothing can be provisioned.
inline constexpr double kCatalogFirstRetryS = 1.0;

// How often the cloud's inventory is read (s).
inline constexpr double kInventoryIntervalS = 4.0;
// The share of the leader's calls that reading the inventory of a large fleet
// may take: at the usual interval the nine pages of 4,500 machines would take
// most of them from provisioning and releases.
inline constexpr double kInventoryCallShare = 0.25;
// What the inventory may lag beyond twice the lag that the settings tell (s).
inline constexpr double kInventoryLagMarginS = 1.0;
// Machines of one page: the most that the cloud gives.
inline constexpr size_t kInventoryPageSize = 500;

// Machines that one call provisions or releases at most (protocol).
inline constexpr int kMaxMachinesPerProvisioning = 50;
inline constexpr size_t kMaxMachinesPerRelease = 100;
// Pause before a provisioning call without an answer is repeated (s).
inline constexpr double kProvisioningRetryS = 1.0;
// How long an offer without enough capacity is left alone (s).
inline constexpr double kNoCapacityPauseS = 12.0;
// The same after any other refusal, a 429 or an outage of the cloud (s).
inline constexpr double kCloudErrorPauseS = 3.0;

// --- Autoscaling -------------------------------------------------------------
// How often scale-out and scale-in are planned (s): each plan looks at all
// machines and jobs.
inline constexpr double kPlanIntervalS = 1.0;
// How far a sum of CPUs may be off an exact multiple through rounding (CPUs).
inline constexpr double kResourceRoundingTolerance = 1e-6;

// An offer is premium when it costs this many times what the cheapest would.
inline constexpr double kPremiumPriceRatio = 1.6;
// All work up to a job's may take this many times as long as the job's deadline
// or objective leaves before premium machines are provisioned for it.
inline constexpr double kPremiumOverrunRatio = 2.0;
// A deadline or objective that leaves less than so many boot times is no reason
// for a premium machine: it would be up too late.
inline constexpr double kPremiumMinBootTimes = 1.0;

// Capacity that the machines that stay must have, as a multiple of the demand,
// before dearer ones are excess.
inline constexpr double kExcessCapacityMargin = 1.0;
// Draining a machine: the free capacity elsewhere as a multiple of what moves,
// and the share of a machine at an ordinary price that may be in use.
inline constexpr double kDrainFreeCapacityRatio = 1.3;
inline constexpr double kDrainMaxUsedShare = 0.5;
// What a drained task gets beyond its own time to save its progress (s).
inline constexpr double kDrainGraceMarginS = 1.0;
// A task may be stopped to move if it saves its progress within so long (s),
// and has run for so long (s): a start that is undone within 30 s counts for no
// objective.
inline constexpr double kMaxCheckpointSaveS = 5.0;
inline constexpr double kMinRunBeforeMoveS = 32.0;

// A machine that is not up counts in full for this many of its type's boot
// times, which covers the usual spread, and for nothing after so many.
inline constexpr double kFullCreditBootTimes = 1.5;
inline constexpr double kNoCreditBootTimes = 3.0;
// It has timed out after this many boot times when so many machines of its type
// that were provisioned no earlier are up: another would be up sooner. In any
// case after so many, and never before it is so old (s).
inline constexpr double kBootTimeoutBootTimes = 1.8;
inline constexpr size_t kBootTimeoutPeers = 3;
inline constexpr double kBootTimeoutMaxBootTimes = 6.0;
inline constexpr double kBootTimeoutMinS = 30.0;

// How often the teams are described in the debug log (s).
inline constexpr double kDebugEveryS = 5.0;

// --- Threads and connections
// Stack of a thread that reads and answers requests (bytes): the library's
// buffers take 20 KiB.
inline constexpr size_t kConnectionThreadStackBytes = size_t{192} * 1024;
// Stack of every other thread (bytes).
inline constexpr size_t kThreadStackBytes = size_t{256} * 1024;
// Arenas of malloc: each one more costs memory that a small machine lacks.
inline constexpr int kMallocArenas = 2;
// Threads that send requests to the state service and to the cloud, each with
// a connection of its own. Enough that one slow answer does not hold up the
// next request of its class.
inline constexpr int kLeaderStateThreads = 3;
inline constexpr int kUserStateThreads = 3;
inline constexpr int kPollStateThreads = 2;
inline constexpr int kCloudChangeThreads = 3;
// Threads that push commands to workers: one for so many workers that may be
// connected, within these bounds. A zone that hangs leaves a third of the
// machines silent, each taking the whole time-out; all of them are to have had
// their turn within a lease or so.
inline constexpr size_t kWorkersPerPushThread = 30;
inline constexpr size_t kMinPushThreads = 16;
inline constexpr size_t kMaxPushThreads = 128;
// The core's clock: how often it is woken without an input (s).
inline constexpr double kTickIntervalS = 0.04;
// How often the core's statistics are published as metrics (s): several times
// within the usual interval of scraping.
inline constexpr double kMetricsIntervalS = 5.0;
// A connection's thread waits this long for the core's answer (s): less than a
// worker's 4 s and a user's 5 s.
inline constexpr double kCoreAnswerTimeoutS = 3.8;
// When a client that was not answered may try again (s): at once after a core
// that was late, since another controller may answer; later where too many
// inputs are queued, so that the queue can drain.
inline constexpr double kBusyRetryAfterS = 1.0;
inline constexpr double kOverloadRetryAfterS = 2.0;
// Sockets kept for what this process itself opens: connections to the state
// service, the cloud, workers and the other controllers.
inline constexpr int kOutboundSockets = 100;
// Memory of all but the connections (MiB): 12 to 15 were seen on a leader of
// 300 machines and 250 jobs.
inline constexpr double kBaseMemoryMib = 22;
// Memory of a request in hand (KiB), its thread's stack and buffers: 40 were
// seen.
inline constexpr double kRequestMemoryKib = 56;
// Memory of an open connection (KiB).
inline constexpr double kConnectionMemoryKib = 2;
// Memory of one of the leader's machines with some ten tasks on it (KiB): 3.0
// were measured in a simulated cluster of 4,500.
inline constexpr double kMachineMemoryKib = 4;
// Threads that read and answer requests: more than may wait for the state
// service at once, and far fewer than the 2,000 that a process may have.
inline constexpr double kMaxRequestThreads = 320;
// The shares of workers and users of these threads. Workers are answered at
// once; a tenth is left to probes and to those who have not asked yet.
inline constexpr double kWorkerThreadShare = 0.15;
inline constexpr double kUserThreadShare = 0.75;
// The shares of workers and users of all connections. A tenth is left to probes
// and to those who have not asked yet.
inline constexpr double kWorkerConnectionShare = 0.6;
inline constexpr double kUserConnectionShare = 0.3;
// With fewer connections, or threads, a controller is of no use.
inline constexpr size_t kMinConnections = 40;
inline constexpr size_t kMinRequestThreads = 16;
// Events that one call of epoll_wait takes: a burst of a large fleet needs a
// few calls, and the buffer stays small.
inline constexpr int kMaxPollEvents = 64;
// How long a connection of a user or a probe may stay without a request (s).
inline constexpr double kIdleConnectionTimeoutS = 75.0;
// How often connections are looked at for this (s).
inline constexpr double kIdleCheckIntervalS = 1.0;
// All of a request must be read, and all of its answer written, within this
// time (s).
inline constexpr double kRequestReadTimeoutS = 5.0;
// Connections that may wait to be accepted, and one more for so many workers
// that may be connected: all of a large fleet come to a new leader within half
// a second.
inline constexpr int kMinListenBacklog = 256;
inline constexpr int kWorkersPerBacklogEntry = 4;

}  // namespace sorrelwood
