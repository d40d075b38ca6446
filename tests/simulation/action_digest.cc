#include "simulation/action_digest.h"

#include <variant>

#include "peer/peer_status_codec.h"
#include "protocol/cloud_codec.h"
#include "protocol/state_service_codec.h"
#include "protocol/stored_records_codec.h"
#include "protocol/worker_codec.h"

namespace sorrelwood::test {

void ActionDigest::Add(int node, const Action& action) {
  if (std::holds_alternative<LogEvent>(action)) return;
  Count(node);
  Count(action.index());
  std::visit([this](const auto& item) { Take(item); }, action);
}

void ActionDigest::Text(const std::string& text) {
  Count(text.size());
  hash_.Add(text.data(), text.size());
}

void ActionDigest::Number(double number) { hash_.Add(&number, sizeof(number)); }

void ActionDigest::Take(const StateTransaction& action) {
  Count(action.id);
  Count(static_cast<int>(action.connection));
  Text(protocol::EncodeTransaction(action));
}
void ActionDigest::Take(const StateGet& action) {
  Count(action.id);
  Count(static_cast<int>(action.connection));
  Text(action.key);
}
void ActionDigest::Take(const StateList& action) {
  Count(action.id);
  Text(action.prefix);
}
void ActionDigest::Take(const StateWatch& action) {
  Count(action.id);
  Text(action.prefix);
  Count(action.after);
}
void ActionDigest::Take(const LeaseCreate& action) {
  Count(action.id);
  Number(action.ttl_s);
}
void ActionDigest::Take(const LeaseRenew& action) {
  Count(action.id);
  Count(action.lease);
}
void ActionDigest::Take(const LeaseEnd& action) {
  Count(action.id);
  Count(action.lease);
}
void ActionDigest::Take(const FetchCatalog& action) { Count(action.id); }
void ActionDigest::Take(const ProvisionMachines& action) {
  Count(action.id);
  Text(protocol::EncodeProvisioningRecord(action.record));
  Number(action.not_after);
}
void ActionDigest::Take(const ReleaseMachines& action) {
  Count(action.id);
  Text(protocol::EncodeReleaseRequest(action.machines));
  Number(action.not_after);
}
void ActionDigest::Take(const ListCloudMachines& action) { Count(action.id); }
void ActionDigest::Take(const PushedCommands& action) {
  Count(action.id);
  Text(action.machine);
  Text(protocol::EncodePushedCommands(action));
}
void ActionDigest::Take(const ClientResponse& action) {
  Count(action.request);
  Count(action.status);
  Text(action.body);
  Number(action.retry_after_s);
}
void ActionDigest::Take(const HeartbeatResponse& action) {
  Count(action.request);
  Count(action.status);
  Text(protocol::EncodeHeartbeatResponse(action));
}
void ActionDigest::Take(const SendPeerStatus& action) {
  Text(EncodePeerStatus(action.status));
}

}  // namespace sorrelwood::test
