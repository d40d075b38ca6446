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
  if (job_cache_->FindFinal(spec.id)) {
    responses_.AnswerFromCache(request, spec.id);
    return;
  }
  if (!rules_.catalog_known()) {
    pending_.AnswerUnavailable(request, "the machine types are not known yet");
    return;
  }
  if (const std::optional<std::string> reason = rules_.RejectionReason(spec)) {
    RejectUnlessAccepted(request, spec.id, 422, *reason);
    return;
  }
  auto job = std::make_shared<LiveJob>();
  job->spec = spec;
  job->submitted_wall_s = context_->wall_time;
  Record(request, std::move(job));
}

void JobApi::Record(uint64_t request, std::shared_ptr<const LiveJob> job) {
  const std::string id = job->spec.id;
  std::string record = protocol::EncodeLiveJob(*job);
  if (record.size() > limits_->value_bytes()) {
    RejectUnlessAccepted(request, id, 400, kTooLargeToStore);
    return;
  }
  // The preconditions make the submission idempotent: neither record exists.
  context_->Transact(
      StateConnection::kUser, {{keys::Live(id), 0}, {keys::Final(id), 0}},
      {{false, keys::Live(id), std::move(record), 0}},
      [this, request, job = std::move(job)](const StateResult& result) {
        OnRecorded(request, job, result);
      });
}

void JobApi::OnRecorded(uint64_t request,
                        const std::shared_ptr<const LiveJob>& job,
                        const StateResult& result) {
  const std::string& id = job->spec.id;
  switch (result.outcome) {
    case Outcome::kOk:
      job_cache_->ApplyLiveJob(id, result.revision, job);
      pending_.Answer(
          request, 201,
          protocol::EncodeJobStatus(id, protocol::JobStatus::kQueued));
      return;
    case Outcome::kConflict:
      AnswerIfAccepted(request, id,
                       [this, request] { pending_.AnswerNoState(request); });
      return;
    case Outcome::kRefused:
      if (result.refusal == StateRefusal::kTooLarge) {
        RejectUnlessAccepted(request, id, 400, kTooLargeToStore);
        return;
      }
      [[fallthrough]];
    case Outcome::kUnknown:
      // It may yet be carried out; the user's retry will find the job.
      pending_.AnswerUnavailable(request, "the job could not be recorded");
      return;
  }
}

void JobApi::RejectUnlessAccepted(uint64_t request, const std::string& id,
                                  int status, const std::string& why) {
  AnswerIfAccepted(request, id, [this, request, status, why] {
    pending_.Answer(request, status, protocol::EncodeError(why));
  });
}

void JobApi::AnswerIfAccepted(uint64_t request, const std::string& id,
                              std::function<void()> if_unknown) {
  lookup_.Find(StateConnection::kUser, id,
               [this, request, id,
                if_unknown = std::move(if_unknown)](JobLocation location) {
                 if (location == JobLocation::kNoAnswer)
                   pending_.AnswerNoState(request);
                 else if (location == JobLocation::kNowhere)
                   if_unknown();
                 else
                   responses_.AnswerFromCache(request, id);
               });
}

// --- Polls and cancellations -------------------------------------------------

bool JobApi::Begin(uint64_t request, RequestKind kind, const std::string& id) {
  if (!pending_.Admit(request, kind)) return false;
  if (!protocol::IsValidJobId(id)) {
    responses_.AnswerUnknownJob(request);
    return false;
  }
  if (!job_cache_->FindFinal(id)) return true;
  responses_.AnswerFromCache(request, id);
  return false;
}

void JobApi::Poll(uint64_t request, const std::string& id) {
  if (!Begin(request, RequestKind::kPoll, id)) return;
  if (job_cache_->FindLive(id)) {
    quorum_reads_.Add(request, id);
    return;
  }
  if (!lookup_quota_.TryAcquire()) {
    pending_.AnswerOverloaded(
        request, "too many jobs that are not known here are asked for");
    return;
  }
  lookup_.Find(
      StateConnection::kPoll, id, [this, request, id](JobLocation location) {
        if (location == JobLocation::kNoAnswer)
          pending_.AnswerNoState(request);
        else if (location == JobLocation::kNowhere && !job_cache_->FindLive(id))
          responses_.AnswerUnknownJob(request);
        else  // found, or accepted since it was looked for
          responses_.AnswerFromCache(request, id);
      });
}

void JobApi::Cancel(uint64_t request, const std::string& id) {
  if (!Begin(request, RequestKind::kMutation, id)) return;
  if (job_cache_->FindLive(id)) {
    CancelLive(request, id);
    return;
  }
  lookup_.Find(StateConnection::kUser, id,
               [this, request, id](JobLocation location) {
                 switch (location) {
                   case JobLocation::kLive:
                     // It may have ended since, and is out of the cache then.
                     if (job_cache_->FindLive(id)) {
                       CancelLive(request, id);
                       return;
                     }
                     [[fallthrough]];
                   case JobLocation::kFinal:
                     responses_.AnswerFromCache(request, id);
                     return;
                   case JobLocation::kNowhere:
                     responses_.AnswerUnknownJob(request);
                     return;
                   case JobLocation::kNoAnswer:
                     pending_.AnswerNoState(request);
                     return;
                 }
               });
}

// Committed before it is told. The precondition prevents a job that has been
// done meanwhile from being told as cancelled.
void JobApi::CancelLive(uint64_t request, const std::string& id) {
  const uint64_t version = job_cache_->FindLive(id)->version;
  context_->Transact(
      StateConnection::kUser, {{keys::Live(id), version}},
      {{true, keys::Live(id), "", 0},
       {false, keys::Final(id),
        protocol::EncodeFinalState(FinalState::kCancelled), 0}},
      [this, request, id](const StateResult& result) {
        if (result.outcome == Outcome::kOk) {
          job_cache_->ApplyFinalState(id, FinalState::kCancelled);
          responses_.AnswerFromCache(request, id);
        } else if (result.outcome == Outcome::kConflict) {
          responses_.AnswerEnded(StateConnection::kUser, {request}, id);
        } else {
          pending_.AnswerUnavailable(request,
                                     "the cancellation could not be recorded");
        }
      });
}

}  // namespace sorrelwood
