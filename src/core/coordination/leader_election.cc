#include "core/coordination/leader_election.h"

#include <algorithm>

#include "base/constants/clocks.h"
#include "base/constants/leader_election.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {
namespace {

constexpr double kRenewalRetryS = 0.2;  // pause after a failed renewal
// Pause after the term record could not be parsed.
constexpr double kUnreadableTermRetryS = 1;

}  // namespace

LeaderElection::LeaderElection(Context* context, JobCache* job_cache,
                               std::string node, double worker_lease_s,
                               double cancel_deadline_s)
    : context_(context),
      job_cache_(job_cache),
      node_(std::move(node)),
      // Tasks keep running for the worker's lease after its last answered
      // heartbeat, and must have stopped within cancel_deadline_s of a
      // cancellation that this leader did not see.
      worker_lease_renewal_window_s_(std::max(
          kLeaderLeaseS, cancel_deadline_s -
                             worker_lease_s * (1 + kMaxClockDriftRatio) -
                             kWorkerLeaseMarginS)) {}

Precondition LeaderElection::leader_precondition() const {
  return Precondition{keys::kLeader, leader_key_version_};
}

double LeaderElection::dispatch_deadline() const {
  return lease_confirmed_at_ + kLeaderLeaseS * (1 - kMaxClockDriftRatio) -
         kDispatchLeaseMarginS;
}

bool LeaderElection::MayRenewWorkerLeases() const {
  return HoldsLeaderKey() && context_->now < job_cache_->synced_at() +
                                                 worker_lease_renewal_window_s_;
}

void LeaderElection::ObserveTerm(uint64_t term) {
  highest_term_ = std::max(highest_term_, term);
  if (leading_ && term > term_) StepDown("a higher term is known");
}

void LeaderElection::StepDown(const std::string& reason) {
  if (!leading_) return;
  leading_ = false;
  lease_id_ = 0;
  retry_at_ = context_->now + kElectionRetryS;
  context_->Info("leadership lost", {{"term", term_}, {"reason", reason}});
  if (on_leadership_lost) on_leadership_lost();
}

void LeaderElection::Resign(const std::string& reason) {
  if (!leading_ || context_->now < next_resignation_at_) return;
  next_resignation_at_ = context_->now + kMinResignIntervalS;
  const Precondition own_leader_key = leader_precondition();
  StepDown(reason);
  retry_at_ = context_->now + kResignPauseS;
  context_->Transact(StateConnection::kLeaseRenewal, {own_leader_key},
                     {{/*remove=*/true, keys::kLeader, "", 0}},
                     [this](const StateResult& result) {
                       if (result.outcome == Outcome::kOk)
                         job_cache_->leader_key().ApplyAbsence(result.revision);
                     });
}

void LeaderElection::Tick() {
  const LeaderKey& leader_key = job_cache_->leader_key();
  if (leader_key.known())
    highest_term_ = std::max(highest_term_, leader_key.record().term);
  if (leading_) {
    if (!HoldsLeaderKey()) {
      StepDown("the leader key has changed");
      return;
    }
    RenewLeaderLease();
    return;
  }
  if (!leader_key.known() || leader_key.version() != 0)
    leader_absent_since_ = 0;
  else if (leader_absent_since_ == 0)
    leader_absent_since_ = context_->now;
  if (election_in_flight_ || !job_cache_->loaded() || context_->now < retry_at_)
    return;
  // A node that has resigned recently gives the other nodes
  // kResignedElectionDelayS to win the election. Guards against re-electing a
  // node that is still cut off from the workers when its successor fails.
  if (leader_absent_since_ > 0 && context_->now < next_resignation_at_ &&
      context_->now < leader_absent_since_ + kResignedElectionDelayS)
    return;
  if (leader_key.version() == 0)
    StartElection();
  else if (leader_key.record().node == node_)
    RemoveOwnStaleLeaderKey();
}

void LeaderElection::RemoveOwnStaleLeaderKey() {
  election_in_flight_ = true;
  context_->Transact(StateConnection::kLeaseRenewal,
                     {{keys::kLeader, job_cache_->leader_key().version()}},
                     {{/*remove=*/true, keys::kLeader, "", 0}},
                     [this](const StateResult& result) {
                       election_in_flight_ = false;
                       retry_at_ = context_->now + kElectionRetryS;
                       if (result.outcome == Outcome::kOk) {
                         job_cache_->leader_key().ApplyAbsence(result.revision);
                         retry_at_ = 0;
                       }
                     });
}

void LeaderElection::StartElection() {
  election_in_flight_ = true;
  const double sent_at = context_->now;
  context_->CreateLease(kLeaderLeaseS, [this,
                                        sent_at](const StateResult& result) {
    if (result.outcome != Outcome::kOk) {
      election_in_flight_ = false;
      retry_at_ = context_->now + kElectionRetryS * (1 + context_->Random());
      return;
    }
    AcquireLeaderKey(result.lease, sent_at);
  });
}

void LeaderElection::AcquireLeaderKey(uint64_t lease, double lease_sent_at) {
  context_->GetKey(
      StateConnection::kLeaseRenewal, keys::kTerm,
      [this, lease, lease_sent_at](const StateResult& term_result) {
        uint64_t term = 0, term_version = 0;
        if (term_result.outcome == Outcome::kOk && !term_result.items.empty()) {
          term_version = term_result.items[0].version;
          const auto stored_term =
              protocol::ParseTerm(term_result.items[0].value);
          if (!stored_term) {
            context_->Error("term record could not be parsed");
            election_in_flight_ = false;
            retry_at_ = context_->now + kUnreadableTermRetryS;
            return;
          }
          term = *stored_term;
        } else if (term_result.outcome != Outcome::kConflict) {
          // Not an absent key (kConflict): the read has failed.
          election_in_flight_ = false;
          retry_at_ = context_->now + kElectionRetryS;
          return;
        }
        // Higher than any term that a worker has reported: a worker rejects
        // responses of a lower term.
        term = std::max(term, highest_term_) + 1;
        const LeaderRecord record{node_, term};
        context_->Transact(
            StateConnection::kLeaseRenewal,
            {{keys::kLeader, 0}, {keys::kTerm, term_version}},
            {{/*remove=*/false, keys::kLeader,
              protocol::EncodeLeaderRecord(record), lease},
             {/*remove=*/false, keys::kTerm, protocol::EncodeTerm(term), 0}},
            [this, lease, lease_sent_at, record](const StateResult& result) {
              election_in_flight_ = false;
              if (result.outcome != Outcome::kOk) {
                retry_at_ =
                    context_->now + kElectionRetryS * (1 + context_->Random());
                return;
              }
              leading_ = true;
              term_ = record.term;
              highest_term_ = std::max(highest_term_, term_);
              leader_key_version_ = result.revision;
              lease_id_ = lease;
              lease_confirmed_at_ = lease_sent_at;
              next_renewal_at_ = context_->now;
              renewal_in_flight_ = renewal_refused_ = false;
              job_cache_->leader_key().Apply(leader_key_version_, record,
                                             result.revision);
              context_->Info("leadership acquired", {{"term", term_}});
              if (on_leadership_acquired) on_leadership_acquired();
            });
      });
}

void LeaderElection::RenewLeaderLease() {
  if (renewal_in_flight_ || context_->now < next_renewal_at_) return;
  renewal_in_flight_ = true;
  const double sent_at = context_->now;
  context_->RenewLease(
      lease_id_, [this, sent_at, lease = lease_id_](const StateResult& result) {
        if (!leading_ || lease != lease_id_) return;
        renewal_in_flight_ = false;
        renewal_refused_ = result.outcome == Outcome::kRefused;
        if (result.outcome == Outcome::kOk) {
          lease_confirmed_at_ = sent_at;
          next_renewal_at_ = sent_at + kLeaderLeaseRenewIntervalS;
        } else if (result.outcome == Outcome::kConflict) {
          StepDown("the leader's lease has ended");
        } else {
          next_renewal_at_ = context_->now + kRenewalRetryS;
        }
      });
}

}  // namespace sorrelwood
