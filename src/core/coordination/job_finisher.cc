#include "core/coordination/job_finisher.h"

#include <utility>
#include <vector>

#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void JobFinisher::CommitJobEnds() {
  while (!completed_job_ids_.empty() && writer_->MayCommitJobEnd()) {
    Job* job = jobs_->Find(completed_job_ids_.front());
    completed_job_ids_.pop_front();
    if (job && !job->finishing) CommitJobEnd(job);
  }
}

// The version of the live key is a precondition: a job whose cancellation has
// been confirmed to the user must not end as done.
void JobFinisher::CommitJobEnd(Job* job) {
  job->finishing = true;
  const std::string id = job->id();
  std::vector<Mutation> mutations = {
      {/*remove=*/true, keys::ForLiveJob(id), "", 0},
      {/*remove=*/false, keys::ForFinalState(id),
       protocol::EncodeFinalState(FinalState::kDone), 0}};
  writer_->CommitJobEnd(
      {{keys::ForLiveJob(id), job->version}}, std::move(mutations),
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
    completed_job_ids_.push_back(id);  // retry
  }
  // Either the job was cancelled, or an earlier attempt was committed but its
  // response was lost. The final key shows which.
  if (result.outcome == Outcome::kConflict) ReadFinalState(id);
}

void JobFinisher::ReadFinalState(const std::string& id) {
  context_->GetKey(StateConnection::kLeader, keys::ForFinalState(id),
                   [this, id](const StateResult& result) {
                     if (result.outcome != Outcome::kOk || result.items.empty())
                       return;
                     const auto state =
                         protocol::ParseFinalState(result.items[0].value);
                     if (state) job_cache_->ApplyFinalState(id, *state);
                   });
}

}  // namespace sorrelwood
