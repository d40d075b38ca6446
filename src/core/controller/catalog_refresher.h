// Reads the cloud's catalogue of machine types now and then.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "core/engine/context.h"

namespace sorrelwood {

class CatalogRefresher {
 public:
  using Listener = std::function<void(const std::vector<MachineType>&)>;

  // `on_catalog` is called with each catalogue that was read.
  CatalogRefresher(Context* context, Listener on_catalog)
      : context_(context), on_catalog_(std::move(on_catalog)) {}

  // Requests the catalogue if that is due. After a failure the last one stays
  // in force; without any, it is requested again sooner.
  void Tick();

 private:
  void OnResult(const CloudResult& result);

  Context* context_;
  Listener on_catalog_;
  bool known_ = false;      // it was read once
  bool in_flight_ = false;  // a request has not been answered yet
  double next_request_at_ = 0;
};

}  // namespace sorrelwood
