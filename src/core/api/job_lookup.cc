#include "core/api/job_lookup.h"

#include <utility>

#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void JobLookup::Find(StateConnection connection, const std::string& id,
                     Callback found) {
  context_->GetKey(
      connection, keys::Live(id),
      [this, connection, id,
       found = std::move(found)](const StateResult& result) {
        if (result.outcome == Outcome::kOk && !result.items.empty()) {
          const KeyValue& item = result.items[0];
          job_cache_->ApplyLiveJob(id, item.version, item.value);
          found(JobLocation::kLive);
        } else if (result.outcome == Outcome::kConflict) {
          FindFinal(connection, id, found);
        } else {
          found(JobLocation::kNoAnswer);
        }
      });
}

void JobLookup::FindFinal(StateConnection connection, const std::string& id,
                          Callback found) {
  context_->GetKey(
      connection, keys::Final(id),
      [this, id, found = std::move(found)](const StateResult& result) {
        if (result.outcome == Outcome::kConflict) {
          found(JobLocation::kNowhere);
          return;
        }
        if (result.outcome != Outcome::kOk || result.items.empty()) {
          found(JobLocation::kNoAnswer);
          return;
        }
        const auto state = protocol::ParseFinalState(result.items[0].value);
        if (!state) {
          found(JobLocation::kNoAnswer);
          return;
        }
        job_cache_->ApplyFinalState(id, *state);
        found(JobLocation::kFinal);
      });
}

}  // namespace sorrelwood
