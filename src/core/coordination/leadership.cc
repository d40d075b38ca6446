#include "core/coordination/leadership.h"

#include <algorithm>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/json.h"

namespace sorrelwood {

Leadership::Leadership(Context* context, Directory* directory, std::string node,
                       double lease_s, double cancel_s)
    : context_(context),
      directory_(directory),
      node_(std::move(node)),
      // A worker's tasks outlive the last answer by its lease, and must be gone
      // within cancel_s of a cancellation that this leader did not see.
      answer_reach_s_(
          std::max(kLeaderLeaseS,
                   cancel_s - lease_s * (1 + kClockDrift) - kReachMarginS)) {}

Guard Leadership::guard() const { return Guard{keys::kLeader, version_}; }

double Leadership::launch_until() const {
  return confirmed_at_ + kLeaderLeaseS * (1 - kClockDrift) - kLeaseMarginS;
}

bool Leadership::MayAnswer() const {
  return leading_ && context_->now < directory_->synced_at() + answer_reach_s_;
}

void Leadership::LearnTerm(uint64_t term) {
  highest_term_ = std::max(highest_term_, term);
  if (leading_ && term > term_) StepDown("a higher term is known");
}

void Leadership::StepDown(const std::string& why) {
  if (!leading_) return;
  leading_ = false;
  lease_ = 0;
  retry_at_ = context_->now + kElectionRetryS;
  context_->Info("no longer leader of term " + std::to_string(term_) + ": " +
                 why);
  if (on_deposed) on_deposed();
}

void Leadership::Abdicate(const std::string& why) {
  if (!leading_ || context_->now < next_abdication_) return;
  next_abdication_ = context_->now + kAbdicateEveryS;
  const Guard key = guard();
  StepDown(why);
  retry_at_ = context_->now + kAbdicatePauseS;
  context_->Transact(StateLane::kRenewal, {key}, {{true, keys::kLeader, "", 0}},
                     [this](const StateResult& result) {
                       if (result.outcome == Outcome::kOk)
                         directory_->LearnLeader(0, LeaderRecord(),
                                                 result.revision);
                     });
}

void Leadership::Tick() {
  if (directory_->leader_known())
    highest_term_ = std::max(highest_term_, directory_->leader().term);
  if (leading_) {
    if (directory_->leader_known() &&
        directory_->leader_version() != version_) {
      StepDown("the leader key has changed");
      return;
    }
    Renew();
    return;
  }
  if (!directory_->leader_known() || directory_->leader_version() != 0)
    absent_since_ = 0;
  else if (absent_since_ == 0)
    absent_since_ = context_->now;
  if (campaigning_ || !directory_->loaded() || context_->now < retry_at_)
    return;
  // It heard few machines a short while ago: the others go first. Guards
  // against the lead coming back to a node that is still cut off when the next
  // leader fails.
  if (absent_since_ > 0 && context_->now < next_abdication_ &&
      context_->now < absent_since_ + kShyPauseS)
    return;
  if (directory_->leader_version() == 0)
    Campaign();
  else if (directory_->leader().node == node_)
    RemoveOwnStaleKey();
}

// The key names this node but this process does not lead: an earlier process of
// the node held it, or a claim of ours was carried out late. Either way nobody
// acts on it, so the wait for its lease is saved.
void Leadership::RemoveOwnStaleKey() {
  campaigning_ = true;
  context_->Transact(
      StateLane::kRenewal, {{keys::kLeader, directory_->leader_version()}},
      {{true, keys::kLeader, "", 0}}, [this](const StateResult& result) {
        campaigning_ = false;
        retry_at_ = context_->now + kElectionRetryS;
        if (result.outcome == Outcome::kOk) {
          directory_->LearnLeader(0, LeaderRecord(), result.revision);
          retry_at_ = 0;
        }
      });
}

void Leadership::Campaign() {
  campaigning_ = true;
  const double sent = context_->now;
  context_->CreateLease(kLeaderLeaseS, [this, sent](const StateResult& result) {
    if (result.outcome != Outcome::kOk) {
      campaigning_ = false;
      retry_at_ = context_->now + kElectionRetryS * (1 + context_->Random());
      return;
    }
    Claim(result.lease, sent);
  });
}

void Leadership::Claim(uint64_t lease, double created) {
  context_->Get(
      StateLane::kRenewal, keys::kTerm,
      [this, lease, created](const StateResult& got) {
        uint64_t term = 0, version = 0;
        if (got.outcome == Outcome::kOk && !got.items.empty()) {
          version = got.items[0].version;
          if (!wire::ParseTerm(got.items[0].value, &term)) {
            context_->Error("the term record can't be read");
            campaigning_ = false;
            retry_at_ = context_->now + 1;
            return;
          }
        } else if (got.outcome != Outcome::kConflict) {
          campaigning_ = false;
          retry_at_ = context_->now + kElectionRetryS;
          return;
        }
        // Past any term that a worker has shown, so that none drops our
        // answers.
        term = std::max(term, highest_term_) + 1;
        const LeaderRecord record{node_, term};
        context_->Transact(
            StateLane::kRenewal, {{keys::kLeader, 0}, {keys::kTerm, version}},
            {{false, keys::kLeader, wire::EncodeLeader(record), lease},
             {false, keys::kTerm, wire::EncodeTerm(term), 0}},
            [this, lease, created, record](const StateResult& result) {
              campaigning_ = false;
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
              directory_->LearnLeader(version_, record, result.revision);
              context_->Info("leader of term " + std::to_string(term_));
              if (on_elected) on_elected();
            });
      });
}

void Leadership::Renew() {
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
                           next_renewal_ = sent + kRenewEveryS;
                         } else if (result.outcome == Outcome::kConflict) {
                           StepDown("the leader's lease has ended");
                         } else {
                           next_renewal_ = context_->now + 0.2;
                         }
                       });
}

}  // namespace sorrelwood
