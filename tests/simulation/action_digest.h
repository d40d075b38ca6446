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
  void Text(const std::string& text);
  void Number(double number);
  template <typename Integer>
  void Count(Integer number) {
    hash_.Add(&number, sizeof(number));
  }

  void Take(const StateTransaction& action);
  void Take(const StateGet& action);
  void Take(const StateList& action);
  void Take(const StateWatch& action);
  void Take(const LeaseCreate& action);
  void Take(const LeaseRenew& action);
  void Take(const LeaseEnd& action);
  void Take(const FetchCatalog& action);
  void Take(const ProvisionMachines& action);
  void Take(const ReleaseMachines& action);
  void Take(const ListCloudMachines& action);
  void Take(const PushedCommands& action);
  void Take(const ClientResponse& action);
  void Take(const HeartbeatResponse& action);
  void Take(const SendPeerStatus& action);
  void Take(const LogEvent&) {}  // LogSummary counts them

  FnvHash hash_;
};

}  // namespace sorrelwood::test
