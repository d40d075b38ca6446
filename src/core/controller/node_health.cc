#include "core/controller/node_health.h"

#include <algorithm>
#include <cstddef>

#include "base/constants.h"

namespace sorrelwood {

bool NodeHealth::Healthy() const {
  const double unserved_since = context_->state_unserved_since();
  if (unserved_since == 0) return true;
  // Only what was served since then, and a little later, tells an outage of the
  // service from a fault of this node alone.
  const auto served = std::count_if(
      peer_served_at_.begin(), peer_served_at_.end(), [&](const auto& item) {
        return item.second > unserved_since + kShutOutS;
      });
  const size_t nodes = settings_->peers.size() + 1;
  return static_cast<size_t>(served) * 2 < nodes;
}

}  // namespace sorrelwood
