// Determines the result of this node's health probe: whether a load balancer
// should route users to it.
#pragma once

#include <map>
#include <string>

#include "core/engine/context.h"
#include "core/model/settings.h"

namespace sorrelwood {

class NodeHealth {
 public:
  NodeHealth(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // Called when a peer reports that the state service last served it at
  // `served_at` (steady clock, s).
  void ObservePeer(const std::string& node, double served_at) {
    peer_served_at_[node] = served_at;
  }

  // Returns false while the state service does not serve this node but serves
  // at least half of all nodes, which can then answer users better. In an
  // outage of the service itself no node can, and all stay healthy.
  bool IsHealthy() const;

 private:
  const Context* context_;
  const ClusterSettings* settings_;
  // When the state service last served each peer (steady clock, s).
  std::map<std::string, double> peer_served_at_;
};

}  // namespace sorrelwood
