#include "core/api/job_lookup.h"

#include <utility>

#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void JobLookup::Find(StateConnection connection, const std::string& id,
                     Callback on_located) {
  context_->GetKey(
      connection, keys::ForLiveJob(id),
      [this, connection, id,
       on_located = std::move(on_located)](const StateResult& result) {
        if (result.outcome == Outcome::kOk && !result.items.empty()) {
          const KeyValue& item = result.items[0];
          job_cache_->ApplyLiveJob(id, item.version, item.value);
          on_located(JobLocation::kLive);
        } else if (result.outcome == Outcome::kConflict) {  // no such key
          FindFinal(connection, id, on_located);
        } else {
          on_located(JobLocation::kUnavailable);
        }
      });
}

void JobLookup::FindFinal(StateConnection connection, const std::string& id,
                          Callback on_located) {
  context_->GetKey(
      connection, keys::ForFinalState(id),
      [this, id,
       on_located = std::move(on_located)](const StateResult& result) {
        if (result.outcome == Outcome::kConflict) {  // no such key
          on_located(JobLocation::kNotFound);
          return;
        }
        if (result.outcome != Outcome::kOk || result.items.empty()) {
          on_located(JobLocation::kUnavailable);
          return;
        }
        const auto state = protocol::ParseFinalState(result.items[0].value);
        if (!state) {
          on_located(JobLocation::kUnavailable);
          return;
        }
        job_cache_->ApplyFinalState(id, *state);
        on_located(JobLocation::kFinal);
      });
}

}  // namespace sorrelwood
