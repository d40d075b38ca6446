// Requests of the core to its adapters (state service, cloud, workers, users,
// peers, log) and the results that come back. The core does no I/O itself. A
// result has the id of the request that it belongs to.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "core/engine/log_event.h"
#include "core/model/heartbeat.h"
#include "core/model/machine_type.h"
#include "core/model/peer_status.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

struct Precondition {
  std::string key;
  uint64_t version = 0;  // 0: the key must not exist
};
struct Mutation {
  bool remove = false;
  std::string key;
  std::string value;   // JSON text
  uint64_t lease = 0;  // the key is removed when it ends; 0: no lease
};

// Which group of connections carries a request. They are separate so that a
// slow request does not delay those of another group.
enum class StateConnection { kLeaseRenewal, kLeader, kUser, kPoll };

struct StateTransaction {
  uint64_t id = 0;
  StateConnection connection = StateConnection::kLeader;
  std::vector<Precondition> preconditions;
  std::vector<Mutation> mutations;
};
struct StateGet {
  uint64_t id = 0;
  StateConnection connection = StateConnection::kUser;
  std::string key;
};
// Lists all keys with the prefix, over as many pages as it takes.
struct StateList {
  uint64_t id = 0;
  std::string prefix;
};
struct StateWatch {
  uint64_t id = 0;
  std::string prefix;
  uint64_t after = 0;  // revision after which changes are reported
};
struct LeaseCreate {
  uint64_t id = 0;
  double ttl_s = 0;
};
struct LeaseRenew {
  uint64_t id = 0;
  uint64_t lease = 0;
};
struct LeaseEnd {
  uint64_t id = 0;
  uint64_t lease = 0;
};

struct FetchCatalog {
  uint64_t id = 0;
};
// Requests that change the fleet are dropped if they have not been sent by
// `not_after` (steady clock, s). Another leader may act after that time, and
// the process may be suspended between the decision and the sending.
struct ProvisionMachines {
  uint64_t id = 0;
  ProvisioningRecord record;
  double not_after = std::numeric_limits<double>::infinity();
};
struct ReleaseMachines {
  uint64_t id = 0;
  std::vector<std::string> machines;
  double not_after = std::numeric_limits<double>::infinity();
};
// Lists the cloud's inventory, all pages. The pause between two pages is needed
// because each page counts against the cloud's request rate.
struct ListCloudMachines {
  uint64_t id = 0;
  double page_pause_s = 0;
};

// Commands sent to a worker's own address, without waiting for its heartbeat.
struct PushedCommands {
  uint64_t id = 0;
  std::string machine, address;
  uint64_t fencing_token = 0, incarnation = 0;
  std::vector<Command> commands;
};

struct ClientResponse {
  uint64_t request = 0;  // id of the user's request
  int status = 200;
  std::string body;
  double retry_after_s = 0;  // 0: no Retry-After header
};
struct HeartbeatResponse {
  uint64_t request = 0;  // id of the worker's request
  int status = 200;      // 200, 421 or 503
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
  std::string redirect;  // with 421: the leader's node name; empty: unknown
};

struct SendPeerStatus {
  PeerStatus status;
};

using Action =
    std::variant<StateTransaction, StateGet, StateList, StateWatch, LeaseCreate,
                 LeaseRenew, LeaseEnd, FetchCatalog, ProvisionMachines,
                 ReleaseMachines, ListCloudMachines, PushedCommands,
                 ClientResponse, HeartbeatResponse, SendPeerStatus, LogEvent>;
using Actions = std::vector<Action>;

// --- Results -----------------------------------------------------------------

enum class Outcome {
  kOk,
  kConflict,  // a precondition did not hold (409), or nothing was found (404)
  kRefused,   // certainly not carried out
  kUnknown,   // may have been carried out, or may still be carried out
};

struct KeyValue {
  std::string key;
  std::string value;  // JSON text; empty if removed
  uint64_t version = 0;
  bool removed = false;  // only in the result of a watch
};

// Which limit of the state service a refused transaction exceeded.
enum class StateRefusal {
  kNone,
  // The size of a value or of the transaction (400): a retry is refused again.
  kTooLarge,
  // The rate of changes (429): a later retry may succeed.
  kTooManyChanges,
};

struct StateResult {
  uint64_t id = 0;
  Outcome outcome = Outcome::kUnknown;
  StateRefusal refusal = StateRefusal::kNone;  // with kRefused
  uint64_t revision = 0;  // of the store; the next watch starts after it
  // Keys whose preconditions did not hold.
  std::vector<std::string> failed_preconditions;
  std::vector<KeyValue> items;  // get, list, watch
  uint64_t lease = 0;           // of a new lease
  // Watch: changes after the revision asked for are no longer kept, so the keys
  // must be listed again.
  bool too_old = false;
};

struct CloudResult {
  uint64_t id = 0;
  Outcome outcome = Outcome::kUnknown;
  bool no_capacity = false;        // provisioning refused for lack of capacity
  bool too_late = false;           // not sent, because `not_after` had passed
  std::vector<MachineType> types;  // FetchCatalog
  std::vector<std::string> machines;  // ProvisionMachines: names
  std::vector<ListedMachine> listed;  // ListCloudMachines
};

struct PushResult {
  uint64_t id = 0;
  bool answered = false;
  bool accepted = false;  // answered with 200
  Heartbeat heartbeat;    // from the answer, if accepted
};

}  // namespace sorrelwood
