// A digest of everything that cores ask for, so that a change that should not
// change behaviour can be shown to change none.
#pragma once

#include <cstdint>
#include <string>

#include "core/engine/actions.h"
#include "simulation/fnv_hash.h"

namespace sorrelwood::test {

class ActionDigest {
 public:
  // Takes in one action, as the node `node` returned it.
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
  void AddFields(const LogEvent&) {}  // LogSummary counts them

  FnvHash hash_;
};

}  // namespace sorrelwood::test
