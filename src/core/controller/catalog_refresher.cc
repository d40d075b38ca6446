#include "core/controller/catalog_refresher.h"

#include "base/constants.h"

namespace sorrelwood {

void CatalogRefresher::Tick() {
  if (in_flight_ || context_->now < next_request_at_) return;
  in_flight_ = true;
  context_->RequestCatalog(
      [this](const CloudResult& result) { OnResult(result); });
}

void CatalogRefresher::OnResult(const CloudResult& result) {
  in_flight_ = false;
  const bool read = result.outcome == Outcome::kOk;
  if (read) known_ = true;
  next_request_at_ =
      context_->now + (known_ ? kCatalogIntervalS : kCatalogFirstRetryS);
  if (read) on_catalog_(result.types);
}

}  // namespace sorrelwood
