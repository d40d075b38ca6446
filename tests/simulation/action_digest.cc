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
  AddInteger(node);
  AddInteger(action.index());
  std::visit([this](const auto& item) { AddFields(item); }, action);
}

void ActionDigest::AddText(const std::string& text) {
  AddInteger(text.size());
  hash_.Add(text.data(), text.size());
}

void ActionDigest::AddNumber(double number) {
  hash_.Add(&number, sizeof(number));
}

void ActionDigest::AddFields(const StateTransaction& action) {
  AddInteger(action.id);
  AddInteger(static_cast<int>(action.connection));
  AddText(protocol::EncodeTransaction(action));
}
void ActionDigest::AddFields(const StateGet& action) {
  AddInteger(action.id);
  AddInteger(static_cast<int>(action.connection));
  AddText(action.key);
}
void ActionDigest::AddFields(const StateList& action) {
  AddInteger(action.id);
  AddText(action.prefix);
}
void ActionDigest::AddFields(const StateWatch& action) {
  AddInteger(action.id);
  AddText(action.prefix);
  AddInteger(action.after);
}
void ActionDigest::AddFields(const LeaseCreate& action) {
  AddInteger(action.id);
  AddNumber(action.ttl_s);
}
void ActionDigest::AddFields(const LeaseRenew& action) {
  AddInteger(action.id);
  AddInteger(action.lease);
}
void ActionDigest::AddFields(const LeaseEnd& action) {
  AddInteger(action.id);
  AddInteger(action.lease);
}
void ActionDigest::AddFields(const FetchCatalog& action) {
  AddInteger(action.id);
}
void ActionDigest::AddFields(const ProvisionMachines& action) {
  AddInteger(action.id);
  AddText(protocol::EncodeProvisioningRecord(action.record));
  AddNumber(action.not_after);
}
void ActionDigest::AddFields(const ReleaseMachines& action) {
  AddInteger(action.id);
  AddText(protocol::EncodeReleaseRequest(action.machines));
  AddNumber(action.not_after);
}
void ActionDigest::AddFields(const ListCloudMachines& action) {
  AddInteger(action.id);
}
void ActionDigest::AddFields(const PushedCommands& action) {
  AddInteger(action.id);
  AddText(action.machine);
  AddText(protocol::EncodePushedCommands(action));
}
void ActionDigest::AddFields(const ClientResponse& action) {
  AddInteger(action.request);
  AddInteger(action.status);
  AddText(action.body);
  AddNumber(action.retry_after_s);
}
void ActionDigest::AddFields(const HeartbeatResponse& action) {
  AddInteger(action.request);
  AddInteger(action.status);
  AddText(protocol::EncodeHeartbeatResponse(action));
}
void ActionDigest::AddFields(const SendPeerStatus& action) {
  AddText(EncodePeerStatus(action.status));
}

}  // namespace sorrelwood::test
