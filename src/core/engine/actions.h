// What the core asks the adapters to do. The core never does any of it itself.
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
  uint64_t version = 0;
};
struct Mutation {
  bool remove = false;
  std::string key;
  std::string value;   // JSON text
  uint64_t lease = 0;  // 0: none
};

// Which connection carries a request: a slow one must not hold up another.
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
// Lists everything under a prefix, all pages.
struct StateList {
  uint64_t id = 0;
  std::string prefix;
};
struct StateWatch {
  uint64_t id = 0;
  std::string prefix;
  uint64_t after = 0;
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
// What changes the fleet must leave before `not_after` (steady clock, s): after
// it another leader may act, and a process may stand still between deciding and
// sending. Later it is not sent.
struct ProvisionMachines {
  uint64_t id = 0;
  ProvisioningRecord rent;
  double not_after = std::numeric_limits<double>::infinity();
};
struct ReleaseMachines {
  uint64_t id = 0;
  std::vector<std::string> machines;
  double not_after = std::numeric_limits<double>::infinity();
};
// All pages of the machine list, with a pause between two: each page counts
// against the cloud's rate.
struct ListCloudMachines {
  uint64_t id = 0;
  double page_pause_s = 0;
};

struct PushedCommands {
  uint64_t id = 0;
  std::string machine, address;
  uint64_t fencing_token = 0, incarnation = 0;
  std::vector<Command> commands;
};

struct ClientResponse {
  uint64_t request = 0;
  int status = 200;
  std::string body;
  double retry_after_s = 0;
};
struct HeartbeatResponse {
  uint64_t request = 0;
  int status = 200;  // 200, 421 or 503
  uint64_t fencing_token = 0;
  std::vector<Command> commands;
  std::string redirect;  // with 421: node name, may be empty
};

struct SendPeerStatus {
  PeerStatus note;
};

using Action =
    std::variant<StateTransaction, StateGet, StateList, StateWatch, LeaseCreate,
                 LeaseRenew, LeaseEnd, FetchCatalog, ProvisionMachines,
                 ReleaseMachines, ListCloudMachines, PushedCommands,
                 ClientResponse, HeartbeatResponse, SendPeerStatus, LogEvent>;
using Actions = std::vector<Action>;

// --- What comes back
// -----------------------------------------------------------

enum class Outcome {
  kOk,
  kConflict,  // a guard did not hold (409), or not found (404)
  kRefused,   // certainly not carried out
  kUnknown,   // may have been carried out, or may still be
};

struct KeyValue {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool removed = false;
};

// Why the state service refused a transaction for good, or for now.
enum class StateRefusal {
  kNone,
  kTooLarge,        // a value or the transaction is over a limit (400)
  kTooManyChanges,  // changes beyond the rate (429)
};

struct StateResult {
  uint64_t id = 0;
  Outcome outcome = Outcome::kUnknown;
  StateRefusal refusal = StateRefusal::kNone;  // with kRefused
  uint64_t revision = 0;
  std::vector<std::string> failed;  // preconditions that did not hold
  std::vector<KeyValue> items;      // get, list, watch
  uint64_t lease = 0;
  bool too_old = false;  // watch: read the keys again
};

struct CloudResult {
  uint64_t id = 0;
  Outcome outcome = Outcome::kUnknown;
  bool no_capacity = false;
  bool too_late = false;  // refused by our own connection: its time had passed
  std::vector<MachineType> types;
  std::vector<std::string> machines;
  std::vector<ListedMachine> listed;
};

struct PushResult {
  uint64_t id = 0;
  bool answered = false;
  bool accepted = false;  // 200
  Heartbeat heartbeat;
};

}  // namespace sorrelwood
