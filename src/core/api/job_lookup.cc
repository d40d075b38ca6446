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
        if (result.outcome == Outcome::kConflict)  // no such key
          FindFinal(connection, id, on_located);
        else if (result.outcome == Outcome::kOk && !result.items.empty())
          OnLiveRecordRead(connection, id, result.items[0], on_located);
        else
          on_located(JobLocation::kUnavailable);
      });
}

void JobLookup::OnLiveRecordRead(StateConnection connection,
                                 const std::string& id, const KeyValue& record,
                                 const Callback& on_located) {
  if (job_cache_->ApplyLiveJob(id, record.version, record.value) !=
      LiveRecordResult::kEnded) {
    on_located(JobLocation::kLive);
    return;
  }
  if (job_cache_->FindFinalState(id)) {
    on_located(JobLocation::kFinal);
    return;
  }
  FindFinal(connection, id, [on_located](JobLocation location) {
    // A job that has ended has a final record.
    on_located(location == JobLocation::kNotFound ? JobLocation::kUnavailable
                                                  : location);
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
