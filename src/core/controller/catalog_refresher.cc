#include "core/controller/catalog_refresher.h"

#include "base/constants/cloud.h"

namespace sorrelwood {

void CatalogRefresher::Tick() {
  if (request_in_flight_ || context_->now < next_request_at_) return;
  request_in_flight_ = true;
  context_->RequestCatalog(
      [this](const CloudResult& result) { OnResult(result); });
}

void CatalogRefresher::OnResult(const CloudResult& result) {
  request_in_flight_ = false;
  const bool succeeded = result.outcome == Outcome::kOk;
  if (succeeded) ever_read_ = true;
  next_request_at_ =
      context_->now + (ever_read_ ? kCatalogIntervalS : kCatalogFirstRetryS);
  if (succeeded) on_catalog_(result.types);
}

}  // namespace sorrelwood
