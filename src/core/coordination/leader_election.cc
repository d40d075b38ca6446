#include "core/coordination/leader_election.h"

#include <algorithm>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

LeaderElection::LeaderElection(Context* context, JobCache* job_cache,
                               std::string node, double lease_s,
                               double cancel_deadline_s)
    : context_(context),
      job_cache_(job_cache),
      node_(std::move(node)),
      // A worker's tasks outlive the last answer by its lease, and must be gone
      // within cancel_deadline_s of a cancellation that this leader did not
      // see.
      worker_lease_renewal_window_s_(std::max(
          kLeaderLeaseS, cancel_deadline_s - lease_s * (1 + kClockDrift) -
                             kWorkerLeaseMarginS)) {}

Precondition LeaderElection::leader_precondition() const {
  return Precondition{keys::kLeader, version_};
}

double LeaderElection::dispatch_deadline() const {
  return confirmed_at_ + kLeaderLeaseS * (1 - kClockDrift) -
         kDispatchLeaseMarginS;
}

bool LeaderElection::MayRenewWorkerLeases() const {
  return leading_ && context_->now < job_cache_->synced_at() +
                                         worker_lease_renewal_window_s_;
}

void LeaderElection::ObserveTerm(uint64_t term) {
  highest_term_ = std::max(highest_term_, term);
  if (leading_ && term > term_) StepDown("a higher term is known");
}

void LeaderElection::StepDown(const std::string& why) {
  if (!leading_) return;
  leading_ = false;
  lease_ = 0;
  retry_at_ = context_->now + kElectionRetryS;
  context_->Info("leadership lost", {{"term", term_}, {"reason", why}});
  if (on_leadership_lost) on_leadership_lost();
}

void LeaderElection::Resign(const std::string& why) {
  if (!leading_ || context_->now < next_resignation_) return;
  next_resignation_ = context_->now + kResignIntervalS;
  const Precondition key = leader_precondition();
  StepDown(why);
  retry_at_ = context_->now + kResignPauseS;
  context_->Transact(
      StateConnection::kLeaseRenewal, {key}, {{true, keys::kLeader, "", 0}},
      [this](const StateResult& result) {
        if (result.outcome == Outcome::kOk)
          job_cache_->ApplyLeader(0, LeaderRecord(), result.revision);
      });
}

void LeaderElection::Tick() {
  if (job_cache_->leader_known())
    highest_term_ = std::max(highest_term_, job_cache_->leader().term);
  if (leading_) {
    if (job_cache_->leader_known() &&
        job_cache_->leader_version() != version_) {
      StepDown("the leader key has changed");
      return;
    }
    Renew();
    return;
  }
  if (!job_cache_->leader_known() || job_cache_->leader_version() != 0)
    absent_since_ = 0;
  else if (absent_since_ == 0)
    absent_since_ = context_->now;
  if (electing_ || !job_cache_->loaded() || context_->now < retry_at_) return;
  // It heard few machines a short while ago: the others go first. Guards
  // against the lead coming back to a node that is still cut off when the next
  // leader fails.
  if (absent_since_ > 0 && context_->now < next_resignation_ &&
      context_->now < absent_since_ + kResignedElectionDelayS)
    return;
  if (job_cache_->leader_version() == 0)
    StartElection();
  else if (job_cache_->leader().node == node_)
    RemoveOwnStaleKey();
}

// The key names this node but this process does not lead: an earlier process of
// the node held it, or a claim of ours was carried out late. Either way nobody
// acts on it, so the wait for its lease is saved.
void LeaderElection::RemoveOwnStaleKey() {
  electing_ = true;
  context_->Transact(
      StateConnection::kLeaseRenewal,
      {{keys::kLeader, job_cache_->leader_version()}},
      {{true, keys::kLeader, "", 0}}, [this](const StateResult& result) {
        electing_ = false;
        retry_at_ = context_->now + kElectionRetryS;
        if (result.outcome == Outcome::kOk) {
          job_cache_->ApplyLeader(0, LeaderRecord(), result.revision);
          retry_at_ = 0;
        }
      });
}

void LeaderElection::StartElection() {
  electing_ = true;
  const double sent = context_->now;
  context_->CreateLease(kLeaderLeaseS, [this, sent](const StateResult& result) {
    if (result.outcome != Outcome::kOk) {
      electing_ = false;
      retry_at_ = context_->now + kElectionRetryS * (1 + context_->Random());
      return;
    }
    AcquireLeaderKey(result.lease, sent);
  });
}

void LeaderElection::AcquireLeaderKey(uint64_t lease, double created) {
  context_->GetKey(
      StateConnection::kLeaseRenewal, keys::kTerm,
      [this, lease, created](const StateResult& got) {
        uint64_t term = 0, version = 0;
        if (got.outcome == Outcome::kOk && !got.items.empty()) {
          version = got.items[0].version;
          const auto stored_term = protocol::ParseTerm(got.items[0].value);
          if (!stored_term) {
            context_->Error("term record can't be read");
            electing_ = false;
            retry_at_ = context_->now + 1;
            return;
          }
          term = *stored_term;
        } else if (got.outcome != Outcome::kConflict) {
          electing_ = false;
          retry_at_ = context_->now + kElectionRetryS;
          return;
        }
        // Past any term that a worker has shown, so that none drops our
        // answers.
        term = std::max(term, highest_term_) + 1;
        const LeaderRecord record{node_, term};
        context_->Transact(
            StateConnection::kLeaseRenewal,
            {{keys::kLeader, 0}, {keys::kTerm, version}},
            {{false, keys::kLeader, protocol::EncodeLeaderRecord(record),
              lease},
             {false, keys::kTerm, protocol::EncodeTerm(term), 0}},
            [this, lease, created, record](const StateResult& result) {
              electing_ = false;
              if (result.outcome != Outcome::kOk) {
                retry_at_ =
                    context_->now + kElectionRetryS * (1 + context_->Random());
                return;
              }
              leading_ = true;
              term_ = record.term;
              highest_term_ = std::max(highest_term_, term_);
              version_ = result.revision;
              lease_ = lease;
              confirmed_at_ = created;
              next_renewal_ = context_->now;
              renewing_ = renewal_refused_ = false;
              job_cache_->ApplyLeader(version_, record, result.revision);
              context_->Info("leadership acquired", {{"term", term_}});
              if (on_leadership_acquired) on_leadership_acquired();
            });
      });
}

void LeaderElection::Renew() {
  if (renewing_ || context_->now < next_renewal_) return;
  renewing_ = true;
  const double sent = context_->now;
  context_->RenewLease(lease_,
                       [this, sent, lease = lease_](const StateResult& result) {
                         if (!leading_ || lease != lease_) return;
                         renewing_ = false;
                         renewal_refused_ = result.outcome == Outcome::kRefused;
                         if (result.outcome == Outcome::kOk) {
                           confirmed_at_ = sent;
                           next_renewal_ = sent + kLeaderLeaseRenewIntervalS;
                         } else if (result.outcome == Outcome::kConflict) {
                           StepDown("the leader's lease has ended");
                         } else {
                           next_renewal_ = context_->now + 0.2;
                         }
                       });
}

}  // namespace sorrelwood
