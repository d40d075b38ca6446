#include "core/controller/node_health.h"

#include <algorithm>
#include <cstddef>

#include "base/constants/state_service.h"

namespace sorrelwood {

bool NodeHealth::IsHealthy() const {
  const double unserved_since = context_->state_unserved_since();
  if (unserved_since == 0) return true;  // the state service serves this node
  // Peers that were served clearly later (by kCutOffThresholdS) show that only
  // this node is affected, not that the service is down.
  const auto served_peers = std::count_if(
      peer_served_at_.begin(), peer_served_at_.end(), [&](const auto& item) {
        return item.second > unserved_since + kCutOffThresholdS;
      });
  const size_t nodes = settings_->peers.size() + 1;
  return static_cast<size_t>(served_peers) * 2 < nodes;
}

}  // namespace sorrelwood
