#include "core/balance/bounded_placement.h"

#include "core/balance/image_affinity.h"

namespace sorrelwood {

bool BoundedPlacement::WouldCrowd(const Job& job,
                                  const Machine& machine) const {
  if (!bounds_.AllowsTask(job, machine)) return true;
  // Fetches share the machine's bandwidth: one more would delay all of them.
  return !machine.HasImage(job.spec().image) &&
         machine.fetching.size() >=
             static_cast<size_t>(spread_.max_concurrent_fetches);
}

uint64_t BoundedPlacement::TieBreak(const Job& job,
                                    const Machine& machine) const {
  return ImageAffinityRank(job.spec().image, machine.name);
}

}  // namespace sorrelwood
