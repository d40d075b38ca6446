// Whether this node should be sent users: what its health probe answers.
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

  // The state service served the peer at `served_at` (steady clock, s), as the
  // peer says.
  void ObservePeer(const std::string& node, double served_at) {
    peer_served_at_[node] = served_at;
  }

  // False while the state service does not serve this node but serves most
  // others, which are then a better choice for users. In an outage of the
  // service itself no node is, and all stay healthy.
  bool Healthy() const;

 private:
  const Context* context_;
  const ClusterSettings* settings_;
  // When the state service last served each peer (steady clock, s).
  std::map<std::string, double> peer_served_at_;
};

}  // namespace sorrelwood
