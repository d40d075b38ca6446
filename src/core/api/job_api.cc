#include "core/api/job_api.h"

#include <optional>
#include <utility>

#include "core/coordination/keys.h"
#include "protocol/client_codec.h"
#include "protocol/identifiers.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {
namespace {

constexpr char kTooLargeToStore[] = "the submission is too large to be stored";

}  // namespace

JobApi::JobApi(Context* context, JobCache* job_cache,
               const StateLimitTracker* limits, const ClusterSettings* settings)
    : context_(context),
      job_cache_(job_cache),
      limits_(limits),
      pending_(context),
      lookup_(context, job_cache),
      responses_(&pending_, job_cache, &lookup_),
      quorum_reads_(context, job_cache, limits, &pending_, &responses_,
                    settings),
      lookup_quota_(context, settings),
      rules_(settings) {}

void JobApi::Tick() {
  pending_.ExpireOverdue();
  quorum_reads_.Tick();
}

// --- Submissions -------------------------------------------------------------

void JobApi::Submit(uint64_t request, const JobSpec& spec) {
  if (!pending_.Admit(request, RequestKind::kMutation)) return;
  if (job_cache_->FindFinalState(spec.id)) {
    responses_.AnswerFromCache(request, spec.id);
    return;
  }
  if (!rules_.catalog_known()) {
    pending_.AnswerUnavailable(request, "the machine types are not known yet");
    return;
  }
  if (const std::optional<std::string> reason =
          rules_.FindRejectionReason(spec)) {
    RejectUnlessAlreadyAccepted(request, spec.id, 422, *reason);
    return;
  }
  auto job = std::make_shared<LiveJob>();
  job->spec = spec;
  job->submitted_wall_s = context_->wall_time;
  RecordSubmission(request, std::move(job));
}

void JobApi::RecordSubmission(uint64_t request,
                              std::shared_ptr<const LiveJob> job) {
  const std::string id = job->spec.id;
  std::string record = protocol::EncodeLiveJob(*job);
  if (record.size() > limits_->max_value_bytes()) {
    RejectUnlessAlreadyAccepted(request, id, 400, kTooLargeToStore);
    return;
  }
  // The preconditions require that neither record exists, which makes the
  // submission idempotent.
  context_->Transact(
      StateConnection::kUser,
      {{keys::ForLiveJob(id), 0}, {keys::ForFinalState(id), 0}},
      {{/*remove=*/false, keys::ForLiveJob(id), std::move(record), 0}},
      [this, request, job = std::move(job)](const StateResult& result) {
        OnSubmissionRecorded(request, job, result);
      });
}

void JobApi::OnSubmissionRecorded(uint64_t request,
                                  const std::shared_ptr<const LiveJob>& job,
                                  const StateResult& result) {
  const std::string& id = job->spec.id;
  switch (result.outcome) {
    case Outcome::kOk:
      if (job_cache_->ApplyLiveJob(id, result.revision, job) ==
          LiveRecordResult::kEnded) {
        responses_.AnswerEndedJob(StateConnection::kUser, {request}, id);
        return;
      }
      pending_.Answer(
          request, 201,
          protocol::EncodeJobStatus(id, protocol::JobStatus::kQueued));
      return;
    case Outcome::kConflict:
      AnswerIfAlreadyAccepted(request, id, [this, request] {
        pending_.AnswerStateUnavailable(request);
      });
      return;
    case Outcome::kRefused:
      if (result.refusal == StateRefusal::kTooLarge) {
        RejectUnlessAlreadyAccepted(request, id, 400, kTooLargeToStore);
        return;
      }
      [[fallthrough]];
    case Outcome::kUnknown:
      // The write may still be carried out; a retry by the user then finds the
      // job.
      pending_.AnswerUnavailable(request, "the job could not be recorded");
      return;
  }
}

void JobApi::RejectUnlessAlreadyAccepted(uint64_t request,
                                         const std::string& id, int status,
                                         const std::string& reason) {
  AnswerIfAlreadyAccepted(request, id, [this, request, status, reason] {
    pending_.Answer(request, status, protocol::EncodeError(reason));
  });
}

void JobApi::AnswerIfAlreadyAccepted(uint64_t request, const std::string& id,
                                     std::function<void()> on_unknown_job) {
  lookup_.Find(StateConnection::kUser, id,
               [this, request, id, on_unknown_job = std::move(on_unknown_job)](
                   JobLocation location) {
                 if (location == JobLocation::kUnavailable)
                   pending_.AnswerStateUnavailable(request);
                 else if (location == JobLocation::kNotFound)
                   on_unknown_job();
                 else
                   responses_.AnswerFromCache(request, id);
               });
}

// --- Polls and cancellations -------------------------------------------------

bool JobApi::AdmitOrAnswerLocally(uint64_t request, RequestKind kind,
                                  const std::string& id) {
  if (!pending_.Admit(request, kind)) return false;
  if (!protocol::IsValidJobId(id)) {
    responses_.AnswerUnknownJob(request);
    return false;
  }
  if (!job_cache_->FindFinalState(id)) return true;
  responses_.AnswerFromCache(request, id);
  return false;
}

void JobApi::Poll(uint64_t request, const std::string& id) {
  if (!AdmitOrAnswerLocally(request, RequestKind::kPoll, id)) return;
  if (job_cache_->FindLiveJob(id)) {
    quorum_reads_.AddPoll(request, id);
    return;
  }
  if (!lookup_quota_.TryAcquire()) {
    pending_.AnswerOverloaded(
        request, "too many jobs that are not known here are asked for");
    return;
  }
  lookup_.Find(StateConnection::kPoll, id,
               [this, request, id](JobLocation location) {
                 if (location == JobLocation::kUnavailable)
                   pending_.AnswerStateUnavailable(request);
                 else if (location == JobLocation::kNotFound &&
                          !job_cache_->FindLiveJob(id))
                   responses_.AnswerUnknownJob(request);
                 else  // found, or accepted while the lookup was in flight
                   responses_.AnswerFromCache(request, id);
               });
}

void JobApi::Cancel(uint64_t request, const std::string& id) {
  if (!AdmitOrAnswerLocally(request, RequestKind::kMutation, id)) return;
  if (job_cache_->FindLiveJob(id)) {
    CancelLiveJob(request, id);
    return;
  }
  lookup_.Find(StateConnection::kUser, id,
               [this, request, id](JobLocation location) {
                 switch (location) {
                   case JobLocation::kLive:
                     // The job may have ended since the lookup; the cache then
                     // no longer lists it as live.
                     if (job_cache_->FindLiveJob(id)) {
                       CancelLiveJob(request, id);
                       return;
                     }
                     [[fallthrough]];
                   case JobLocation::kFinal:
                     responses_.AnswerFromCache(request, id);
                     return;
                   case JobLocation::kNotFound:
                     responses_.AnswerUnknownJob(request);
                     return;
                   case JobLocation::kUnavailable:
                     pending_.AnswerStateUnavailable(request);
                     return;
                 }
               });
}

// The cancellation is committed before it is reported. The precondition
// prevents a job that completes concurrently from being reported as cancelled.
void JobApi::CancelLiveJob(uint64_t request, const std::string& id) {
  const uint64_t version = job_cache_->FindLiveJob(id)->version;
  context_->Transact(
      StateConnection::kUser, {{keys::ForLiveJob(id), version}},
      {{/*remove=*/true, keys::ForLiveJob(id), "", 0},
       {/*remove=*/false, keys::ForFinalState(id),
        protocol::EncodeFinalState(FinalState::kCancelled), 0}},
      [this, request, id](const StateResult& result) {
        if (result.outcome == Outcome::kOk) {
          job_cache_->ApplyFinalState(id, FinalState::kCancelled);
          responses_.AnswerFromCache(request, id);
        } else if (result.outcome == Outcome::kConflict) {
          responses_.AnswerEndedJob(StateConnection::kUser, {request}, id);
        } else {
          pending_.AnswerUnavailable(request,
                                     "the cancellation could not be recorded");
        }
      });
}

}  // namespace sorrelwood
