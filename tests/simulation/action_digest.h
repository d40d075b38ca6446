// A digest of all actions of the controllers except log events. An equal digest
// before and after a refactoring shows that the behaviour is unchanged.
#pragma once

#include <cstdint>
#include <string>

#include "core/engine/actions.h"
#include "simulation/fnv_hash.h"

namespace sorrelwood::test {

class ActionDigest {
 public:
  // Adds an action that controller `node` returned.
  void Add(int node, const Action& action);
  uint64_t value() const { return hash_.value(); }

 private:
  void AddText(const std::string& text);
  void AddNumber(double number);
  template <typename Integer>
  void AddInteger(Integer number) {
    hash_.Add(&number, sizeof(number));
  }

  void AddFields(const StateTransaction& action);
  void AddFields(const StateGet& action);
  void AddFields(const StateList& action);
  void AddFields(const StateWatch& action);
  void AddFields(const LeaseCreate& action);
  void AddFields(const LeaseRenew& action);
  void AddFields(const LeaseEnd& action);
  void AddFields(const FetchCatalog& action);
  void AddFields(const ProvisionMachines& action);
  void AddFields(const ReleaseMachines& action);
  void AddFields(const ListCloudMachines& action);
  void AddFields(const PushedCommands& action);
  void AddFields(const ClientResponse& action);
  void AddFields(const HeartbeatResponse& action);
  void AddFields(const SendPeerStatus& action);
  void AddFields(const LogEvent&) {}  // LogSummary covers these

  FnvHash hash_;
};

}  // namespace sorrelwood::test
