// Names in the published protocol: every field name, enumeration value and path
// that sorrelwood reads or writes. Each constant has the term that the code
// uses; its string is fixed by the protocol. No other file of src/ repeats the
// strings.
#pragma once

namespace sorrelwood::protocol {

// Names of JSON fields. Durations are in seconds (`S`) or milliseconds (`Ms`),
// sizes in gigabytes (`Gb`).
namespace field {

// Fields of several messages.
inline constexpr char kId[] = "uid";  // of a job, or of a listed machine
inline constexpr char kStatus[] = "status";
inline constexpr char kAddress[] = "endpoint";
inline constexpr char kMachineType[] = "build";
inline constexpr char kMachineTypes[] = "builds";
inline constexpr char kMachine[] = "perch";
inline constexpr char kMachines[] = "perches";
inline constexpr char kZone[] = "room";
inline constexpr char kZones[] = "rooms";
// Of a job: it may use spot machines; of a machine or request: it is spot.
inline constexpr char kSpot[] = "loaners";
inline constexpr char kCpus[] = "cores";
inline constexpr char kGpus[] = "cards";
inline constexpr char kMemoryGb[] = "memory_gb";
inline constexpr char kTasks[] = "parts";  // a number, or a list of statuses
inline constexpr char kHasMore[] = "has_next";

// Users: submissions and answers.
inline constexpr char kJobClass[] = "roster";
inline constexpr char kTeam[] = "crew";
inline constexpr char kShape[] = "shape";
inline constexpr char kPriority[] = "urgency";
inline constexpr char kImage[] = "bundle";
inline constexpr char kImageGb[] = "size_gb";
inline constexpr char kOneZone[] = "one_zone";
inline constexpr char kSpread[] = "scatter";
inline constexpr char kEstimateS[] = "expected_s";
inline constexpr char kCheckpointIntervalS[] = "bookmark_s";
inline constexpr char kSaveS[] = "stash_s";
inline constexpr char kDeadlineS[] = "due_s";
inline constexpr char kDoneTasks[] = "done";
inline constexpr char kRunningTasks[] = "running";
inline constexpr char kError[] = "error";

// Workers: heartbeats, responses and commands.
inline constexpr char kIncarnation[] = "shift";
inline constexpr char kSequence[] = "tick";
inline constexpr char kFencingToken[] = "baton";
inline constexpr char kPreemptionNoticeS[] = "warning_s";
inline constexpr char kTask[] = "part";
inline constexpr char kAttempt[] = "try";
inline constexpr char kExitReason[] = "cause";
inline constexpr char kSaved[] = "saved";
inline constexpr char kCommands[] = "orders";
inline constexpr char kCommandKind[] = "verb";
inline constexpr char kGraceS[] = "leeway_s";
inline constexpr char kRedirect[] = "steward";  // node name of the leader

// Cloud: catalogue, provisioning and inventory.
inline constexpr char kProvisioningName[] = "hire";
inline constexpr char kMachineCount[] = "number";
inline constexpr char kTypeName[] = "name";
inline constexpr char kCacheGb[] = "cache_gb";
inline constexpr char kFetchGbPerS[] = "pull_gb_per_s";
inline constexpr char kPrice[] = "price";
inline constexpr char kSpotPrice[] = "spot_price";
inline constexpr char kBootS[] = "ready_s";
inline constexpr char kAgeS[] = "held_s";

// State service: keys, transactions, leases and watches.
inline constexpr char kKey[] = "k";
inline constexpr char kValue[] = "data";
inline constexpr char kVersion[] = "stamp";
inline constexpr char kRevision[] = "epoch";
inline constexpr char kItems[] = "pairs";
inline constexpr char kEvents[] = "news";
inline constexpr char kPreconditions[] = "guards";
inline constexpr char kFailedKeys[] = "failed";
inline constexpr char kMutations[] = "then";
inline constexpr char kSet[] = "set";
inline constexpr char kRemove[] = "remove";
inline constexpr char kLease[] = "hold";
inline constexpr char kTtlMs[] = "ttl_ms";

}  // namespace field

// Values of enumerations.
namespace enum_name {

// JobShape
inline constexpr char kArray[] = "sweep";
inline constexpr char kService[] = "daemon";

// Priority
inline constexpr char kProduction[] = "prod";
inline constexpr char kHigh[] = "high";
inline constexpr char kStandard[] = "standard";
inline constexpr char kLow[] = "low";

// JobStatus, with kRunning below.
inline constexpr char kDone[] = "done";
inline constexpr char kCancelled[] = "cancelled";
inline constexpr char kQueued[] = "queued";

// TaskState. Any other text reads as kFetching.
inline constexpr char kRunning[] = "running";
inline constexpr char kSaving[] = "flushing";
inline constexpr char kExited[] = "ended";

// ExitReason, with kDone above. Any other text reads as kError.
inline constexpr char kStopped[] = "halted";
inline constexpr char kInsufficientResources[] = "full";
inline constexpr char kOtherAttemptPresent[] = "in_use";
inline constexpr char kUnknownJob[] = "no_such";

// CommandKind
inline constexpr char kStart[] = "launch";
inline constexpr char kStop[] = "halt";
inline constexpr char kForget[] = "clear";

// MachineStatus, with kRunning above. Any other text reads as kBooting.
inline constexpr char kFailed[] = "failed";

}  // namespace enum_name

// Paths of requests.
namespace path {

// Served by controllers: workers send heartbeats.
inline constexpr char kHeartbeat[] = "/agent/beat";
// Served by workers: controllers push commands.
inline constexpr char kPushCommands[] = "/commands";

// Cloud.
inline constexpr char kCatalog[] = "/catalog";
inline constexpr char kMachines[] = "/hosts";
inline constexpr char kReleaseMachines[] = "/hosts/release";

// State service.
inline constexpr char kKeys[] = "/keys";
inline constexpr char kTransaction[] = "/multi";
inline constexpr char kLeases[] = "/leases";
inline constexpr char kRenew[] = "/renew";  // appended to the path of a lease
inline constexpr char kWatch[] = "/follow";

}  // namespace path

// Names of query parameters.
namespace query {

inline constexpr char kPrefix[] = "under";
inline constexpr char kAfter[] = "after";  // a machine name, key or revision
inline constexpr char kLimit[] = "most";
inline constexpr char kWaitMs[] = "wait_ms";

}  // namespace query

}  // namespace sorrelwood::protocol
