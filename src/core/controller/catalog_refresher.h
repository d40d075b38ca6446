// Periodically reads the cloud's catalogue of machine types.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "core/engine/context.h"

namespace sorrelwood {

class CatalogRefresher {
 public:
  using Listener = std::function<void(const std::vector<MachineType>&)>;

  // Calls `on_catalog` with each catalogue that was read.
  CatalogRefresher(Context* context, Listener on_catalog)
      : context_(context), on_catalog_(std::move(on_catalog)) {}

  // Requests the catalogue when the next request is due. After a failure the
  // last catalogue stays in use; until one was read, retries are more frequent.
  void Tick();

 private:
  void OnResult(const CloudResult& result);

  Context* context_;
  Listener on_catalog_;
  bool ever_read_ = false;
  bool request_in_flight_ = false;
  double next_request_at_ = 0;  // steady clock, s
};

}  // namespace sorrelwood
