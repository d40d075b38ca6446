#include "core/coordination/leader_key.h"

namespace sorrelwood {

void LeaderKey::Apply(uint64_t version, const LeaderRecord& record,
                      uint64_t revision) {
  if (known_ && revision < revision_) return;
  known_ = true;
  version_ = version;
  revision_ = revision;
  record_ = record;
}

}  // namespace sorrelwood
