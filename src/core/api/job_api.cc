#include "core/api/job_api.h"

#include <algorithm>
#include <set>

#include "base/constants.h"
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
      settings_(settings),
      check_every_s_(std::max(
          kQuorumReadBatchS,
          static_cast<double>(settings->peers.size() + 1) /
              (settings->state_requests_per_s * kQuorumReadRateShare))) {}

void JobApi::Tick() {
  std::vector<uint64_t> late;
  for (const auto& [request, open] : open_)
    if (context_->now > open.until) late.push_back(request);
  for (uint64_t request : late)
    Unavailable(request, "the state service does not answer");
  if (!checks_.empty() && context_->now >= check_at_ && checks_sent_ < 4)
    Check();
}

bool JobApi::Admit(uint64_t request, Kind kind) {
  const bool poll = kind == Kind::kPoll;
  const size_t waiting = poll ? open_polls_ : open_.size() - open_polls_;
  open_[request] = {kind,
                    context_->now + (poll ? kPollTimeoutS : kSubmitTimeoutS)};
  if (poll) ++open_polls_;
  if (waiting < (poll ? kMaxWaitingPolls : kMaxWaitingChanges)) return true;
  Busy(request, "too many requests are waiting");
  return false;
}

void JobApi::Busy(uint64_t request, const std::string& why) {
  Answer(request, 429, protocol::EncodeError(why), 2);
}

// Guards against polls for jobs that nobody submitted, or that are long over,
// taking the state service's requests from renewals and the leader's writes.
bool JobApi::MayLookUp() {
  const double rate = std::max(
      kMinLookupsPerS, settings_->state_requests_per_s * kLookupRateShare /
                           static_cast<double>(settings_->peers.size() + 1));
  look_ups_ = std::min(rate, look_ups_ + (context_->now - look_ups_at_) * rate);
  look_ups_at_ = context_->now;
  if (look_ups_ < 1) return false;
  look_ups_ -= 1;
  return true;
}

void JobApi::Answer(uint64_t request, int status, std::string body,
                    double retry_after_s) {
  const auto open = open_.find(request);
  if (open == open_.end()) return;  // answered already
  if (open->second.kind == Kind::kPoll) --open_polls_;
  open_.erase(open);
  context_->out.push_back(
      ClientResponse{request, status, std::move(body), retry_after_s});
}

void JobApi::Unavailable(uint64_t request, const std::string& why) {
  Answer(request, 503, protocol::EncodeError(why), 1);
}

void JobApi::AnswerFinal(uint64_t request, const std::string& id,
                         FinalState state) {
  Answer(request, 200,
         protocol::EncodeJobStatus(id, state == FinalState::kDone
                                           ? protocol::JobStatus::kDone
                                           : protocol::JobStatus::kCancelled));
}

void JobApi::AnswerState(uint64_t request, int status, const std::string& id) {
  if (auto state = job_cache_->FindFinal(id)) {
    AnswerFinal(request, id, *state);
    return;
  }
  const CachedJob* known = job_cache_->FindLive(id);
  JobCounts counts = known ? known->counts : JobCounts();
  counts.id = id;
  Answer(request, status,
         protocol::EncodeJobStatus(counts.running > 0
                                       ? protocol::JobStatus::kRunning
                                       : protocol::JobStatus::kQueued,
                                   counts));
}

std::string JobApi::Impossible(const JobSpec& spec) const {
  const auto team =
      std::find_if(settings_->teams.begin(), settings_->teams.end(),
                   [&](const Team& t) { return t.name == spec.team; });
  if (team == settings_->teams.end()) return "unknown team " + spec.team;
  // An array may run a few tasks at a time; the others run all of them.
  const double together = spec.shape == JobShape::kArray ? 1 : spec.tasks;
  if (spec.cpus * together > team->cpus_max ||
      spec.gpus * together > team->gpus_max)
    return "the job needs more than the limit of team " + spec.team;
  for (const MachineType& type : types_) {
    if (spec.cpus > type.cpus || spec.gpus > type.gpus ||
        spec.memory_gb > type.memory_gb)
      continue;
    if (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(),
                                         type.name) == spec.types.end())
      continue;
    if (!spec.zone.empty() && std::find(type.zones.begin(), type.zones.end(),
                                        spec.zone) == type.zones.end())
      continue;
    return "";
  }
  return "a task fits no machine type that the job allows";
}

void JobApi::Submit(uint64_t request, const JobSpec& spec) {
  if (!Admit(request, Kind::kChange)) return;
  const std::string id = spec.id;
  if (auto state = job_cache_->FindFinal(id)) {
    AnswerFinal(request, id, *state);
    return;
  }
  if (types_.empty()) {
    Unavailable(request, "the machine types are not known yet");
    return;
  }
  if (const std::string why = Impossible(spec); !why.empty()) {
    RefuseUnlessKnown(request, id, 422, why);
    return;
  }
  auto job = std::make_shared<LiveJob>();
  job->spec = spec;
  job->submitted_wall_s = context_->wall;
  std::string record = protocol::EncodeLiveJob(*job);
  if (record.size() > limits_->value_bytes()) {
    RefuseUnlessKnown(request, id, 400, kTooLargeToStore);
    return;
  }
  context_->Transact(
      StateConnection::kUser, {{keys::Live(id), 0}, {keys::Final(id), 0}},
      {{false, keys::Live(id), std::move(record), 0}},
      [this, request, id, job](const StateResult& result) {
        switch (result.outcome) {
          case Outcome::kOk:
            job_cache_->ApplyLiveJob(id, result.revision, job);
            Answer(request, 201,
                   protocol::EncodeJobStatus(id, protocol::JobStatus::kQueued));
            return;
          case Outcome::kConflict:
            LookUp(
                StateConnection::kUser, id, [this, request, id](Where where) {
                  if (where == Where::kNoAnswer || where == Where::kNowhere)
                    Unavailable(request, "the state service does not answer");
                  else
                    AnswerState(request, 200, id);
                });
            return;
          case Outcome::kRefused:
            if (result.refusal == StateRefusal::kTooLarge) {
              RefuseUnlessKnown(request, id, 400, kTooLargeToStore);
              return;
            }
            [[fallthrough]];
          case Outcome::kUnknown:
            // It may yet be carried out; the user's retry will find the job.
            Unavailable(request, "the job could not be recorded");
            return;
        }
      });
}

// Guards against refusing what was accepted under other machine types or
// limits.
void JobApi::RefuseUnlessKnown(uint64_t request, const std::string& id,
                               int status, const std::string& why) {
  LookUp(StateConnection::kUser, id,
         [this, request, id, status, why](Where where) {
           if (where == Where::kNoAnswer)
             Unavailable(request, "the state service does not answer");
           else if (where == Where::kNowhere)
             Answer(request, status, protocol::EncodeError(why));
           else
             AnswerState(request, 200, id);
         });
}

void JobApi::LookUp(StateConnection connection, const std::string& id,
                    const std::function<void(Where)>& found) {
  context_->Get(connection, keys::Live(id),
                [this, connection, id, found](const StateResult& got) {
                  if (got.outcome == Outcome::kOk && !got.items.empty()) {
                    job_cache_->ApplyLiveJob(id, got.items[0].version,
                                             got.items[0].value);
                    found(Where::kLive);
                  } else if (got.outcome == Outcome::kConflict) {
                    ReadFinal(connection, id, found);
                  } else {
                    found(Where::kNoAnswer);
                  }
                });
}

void JobApi::ReadFinal(StateConnection connection, const std::string& id,
                       const std::function<void(Where)>& found) {
  context_->Get(
      connection, keys::Final(id), [this, id, found](const StateResult& got) {
        if (got.outcome == Outcome::kConflict) {
          found(Where::kNowhere);
          return;
        }
        if (got.outcome != Outcome::kOk || got.items.empty()) {
          found(Where::kNoAnswer);
          return;
        }
        const auto state = protocol::ParseFinalState(got.items[0].value);
        if (!state) {
          found(Where::kNoAnswer);
          return;
        }
        job_cache_->ApplyFinalState(id, *state);
        found(Where::kFinal);
      });
}

// The job is no longer live: how it ended is read and told.
void JobApi::TellFinal(StateConnection connection,
                       std::vector<uint64_t> requests, const std::string& id) {
  ReadFinal(connection, id,
            [this, requests = std::move(requests), id](Where where) {
              for (const uint64_t request : requests) {
                if (where == Where::kFinal)
                  AnswerState(request, 200, id);
                else
                  Unavailable(request, "the state service does not answer");
              }
            });
}

void JobApi::Poll(uint64_t request, const std::string& id) {
  if (!Admit(request, Kind::kPoll)) return;
  if (!protocol::IsValidJobId(id)) {
    Answer(request, 404, protocol::EncodeError("no such job"));
    return;
  }
  if (auto state = job_cache_->FindFinal(id)) {
    AnswerFinal(request, id, *state);
    return;
  }
  if (job_cache_->FindLive(id)) {
    // Another controller may have told a later state: checked before telling.
    if (checks_.empty()) check_at_ = context_->now + check_every_s_;
    checks_.push_back({request, id});
    return;
  }
  if (!MayLookUp()) {
    Busy(request, "too many jobs that are not known here are asked for");
    return;
  }
  LookUp(StateConnection::kPoll, id, [this, request, id](Where where) {
    if (where == Where::kNoAnswer)
      Unavailable(request, "the state service does not answer");
    else if (where == Where::kNowhere && !job_cache_->FindLive(id))
      Answer(request, 404, protocol::EncodeError("no such job"));
    else  // found, or accepted since it was looked for
      AnswerState(request, 200, id);
  });
}

// One compare-only transaction, sent after the polls arrived, shows which of
// their jobs are still live.
void JobApi::Check() {
  const size_t most = limits_->max_preconditions();
  std::vector<Precondition> preconditions;
  std::set<std::string> included;
  std::vector<Waiting> batch, rest;
  for (Waiting& waiting : checks_) {
    const CachedJob* known = job_cache_->FindLive(waiting.id);
    if (!known) {  // it has ended since the poll came: that is final
      AnswerState(waiting.request, 200, waiting.id);
      continue;
    }
    if (!included.count(waiting.id)) {
      if (preconditions.size() >= most) {
        rest.push_back(std::move(waiting));
        continue;
      }
      included.insert(waiting.id);
      preconditions.push_back({keys::Live(waiting.id), known->version});
    }
    batch.push_back(std::move(waiting));
  }
  checks_ = std::move(rest);
  check_at_ = context_->now + check_every_s_;
  if (preconditions.empty()) return;
  ++checks_sent_;
  context_->Transact(
      StateConnection::kPoll, std::move(preconditions), {},
      [this, batch = std::move(batch)](const StateResult& result) {
        --checks_sent_;
        const std::set<std::string> failed(result.failed.begin(),
                                           result.failed.end());
        std::map<std::string, std::vector<uint64_t>> ended;
        for (const Waiting& waiting : batch) {
          const auto& [request, id] = waiting;
          if (result.outcome == Outcome::kOk ||
              (result.outcome == Outcome::kConflict && !failed.empty() &&
               !failed.count(keys::Live(id)))) {
            AnswerState(request, 200, id);
          } else if (result.outcome == Outcome::kConflict) {
            ended[id].push_back(request);
          } else {
            Unavailable(request, "the state service does not answer");
          }
        }
        // However many ask for it, a job's end is read once.
        for (auto& [id, requests] : ended)
          TellFinal(StateConnection::kPoll, std::move(requests), id);
      });
}

void JobApi::Cancel(uint64_t request, const std::string& id) {
  if (!Admit(request, Kind::kChange)) return;
  if (!protocol::IsValidJobId(id)) {
    Answer(request, 404, protocol::EncodeError("no such job"));
    return;
  }
  if (auto state = job_cache_->FindFinal(id)) {
    AnswerFinal(request, id, *state);
    return;
  }
  if (job_cache_->FindLive(id)) {
    CancelLive(request, id);
    return;
  }
  LookUp(StateConnection::kUser, id, [this, request, id](Where where) {
    if (where == Where::kLive && job_cache_->FindLive(id))
      CancelLive(request, id);
    else if (where == Where::kFinal || where == Where::kLive)
      AnswerState(request, 200, id);
    else if (where == Where::kNowhere)
      Answer(request, 404, protocol::EncodeError("no such job"));
    else
      Unavailable(request, "the state service does not answer");
  });
}

// Committed before it is told, and guarded against the job having been done.
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
          AnswerState(request, 200, id);
        } else if (result.outcome == Outcome::kConflict) {
          TellFinal(StateConnection::kUser, {request}, id);
        } else {
          Unavailable(request, "the cancellation could not be recorded");
        }
      });
}

}  // namespace sorrelwood
