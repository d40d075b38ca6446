#include "core/coordination/job_finisher.h"

#include <utility>
#include <vector>

#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void JobFinisher::CommitEnds() {
  while (!completed_jobs_.empty() && writer_->MayCommitJobEnd()) {
    Job* job = jobs_->Find(completed_jobs_.front());
    completed_jobs_.pop_front();
    if (job && !job->finishing) Commit(job);
  }
}

// The version of the live key is a precondition. Guards against a job that a
// user has cancelled and been told so, and that ends as done.
void JobFinisher::Commit(Job* job) {
  job->finishing = true;
  const std::string id = job->id();
  std::vector<Mutation> mutations = {
      {true, keys::Live(id), "", 0},
      {false, keys::Final(id), protocol::EncodeFinalState(FinalState::kDone),
       0}};
  writer_->CommitJobEnd(
      {{keys::Live(id), job->version}}, std::move(mutations),
      [this, id](const StateResult& result) { OnCommitResult(id, result); });
}

void JobFinisher::OnCommitResult(const std::string& id,
                                 const StateResult& result) {
  if (result.outcome == Outcome::kOk) {
    job_cache_->ApplyFinalState(id, FinalState::kDone);
    return;
  }
  if (Job* unfinished = jobs_->Find(id)) {
    unfinished->finishing = false;
    completed_jobs_.push_back(id);  // to be retried
  }
  // The job was cancelled, or an earlier attempt was carried out although its
  // response was lost: the final key tells which.
  if (result.outcome == Outcome::kConflict) ReadFinalState(id);
}

void JobFinisher::ReadFinalState(const std::string& id) {
  context_->GetKey(StateConnection::kLeader, keys::Final(id),
                   [this, id](const StateResult& result) {
                     if (result.outcome != Outcome::kOk || result.items.empty())
                       return;
                     const auto state =
                         protocol::ParseFinalState(result.items[0].value);
                     if (state) job_cache_->ApplyFinalState(id, *state);
                   });
}

}  // namespace sorrelwood
