#include "core/api/job_responses.h"

#include <utility>

#include "protocol/client_codec.h"

namespace sorrelwood {

using protocol::EncodeJobStatus;
using protocol::JobStatus;

void JobResponses::AnswerFromCache(uint64_t request, const std::string& id) {
  if (const auto final_state = job_cache_->FindFinalState(id)) {
    const JobStatus status = *final_state == FinalState::kDone
                                 ? JobStatus::kDone
                                 : JobStatus::kCancelled;
    pending_->Answer(request, 200, EncodeJobStatus(id, status));
    return;
  }
  const CachedJob* cached_job = job_cache_->FindLiveJob(id);
  JobCounts counts = cached_job ? cached_job->counts : JobCounts();
  counts.id = id;
  const JobStatus status =
      counts.running > 0 ? JobStatus::kRunning : JobStatus::kQueued;
  pending_->Answer(request, 200, EncodeJobStatus(status, counts));
}

void JobResponses::AnswerUnknownJob(uint64_t request) {
  pending_->Answer(request, 404, protocol::EncodeError("no such job"));
}

void JobResponses::AnswerEndedJob(StateConnection connection,
                                  std::vector<uint64_t> requests,
                                  const std::string& id) {
  lookup_->FindFinal(
      connection, id,
      [this, requests = std::move(requests), id](JobLocation location) {
        for (const uint64_t request : requests) {
          if (location == JobLocation::kFinal)
            AnswerFromCache(request, id);
          else
            pending_->AnswerStateUnavailable(request);
        }
      });
}

}  // namespace sorrelwood
