// Who leads. The leader key hangs on a lease of the state service; taking it
// raises the term in the same transaction. The term is the token that workers
// are given and the upper half of every attempt number.
#pragma once

#include "base/constants.h"
#include "core/coordination/job_cache.h"
#include "core/engine/context.h"

namespace sorrelwood {

class LeaderElection {
 public:
  LeaderElection(Context* context, JobCache* job_cache, std::string node,
                 double lease_s, double cancel_deadline_s);

  void Tick();
  void ObserveTerm(uint64_t term);  // from a peer or a worker

  bool leading() const { return leading_; }
  uint64_t term() const { return term_; }
  uint64_t highest_term() const { return highest_term_; }
  // Guards against a late write of a leader that has been replaced.
  Precondition leader_precondition() const;

  // Nobody else can lead yet: launches may leave. Guards against a leader that
  // was cut off and goes on placing; and, by its last look at the jobs and the
  // first renewal refused, against one that starts what others have told users
  // is cancelled.
  bool MayDispatch() const {
    return leading_ && !renewal_refused_ &&
           context_->now < dispatch_deadline() &&
           context_->now < job_cache_->synced_at() + kDispatchMaxCacheAgeS;
  }
  double dispatch_deadline() const;  // (steady clock, s)
  // The workers may be kept (their reports answered): guards against
  // both losing all work in an outage and keeping work that a user was told is
  // cancelled.
  bool MayRenewWorkerLeases() const;
  // How long after its last look at the jobs a leader answers reports (s).
  double worker_lease_renewal_window_s() const {
    return worker_lease_renewal_window_s_;
  }

  void StepDown(const std::string& why);
  // Leaves the lead to a node that may reach the workers when this one does
  // not. Not again for a while: when all machines are dead, no node reaches
  // them.
  void Resign(const std::string& why);
  std::function<void()> on_leadership_acquired, on_leadership_lost;

 private:
  void StartElection();
  void AcquireLeaderKey(uint64_t lease, double created);
  void Renew();
  void RemoveOwnStaleKey();

  Context* context_;
  JobCache* job_cache_;
  std::string node_;
  double worker_lease_renewal_window_s_;
  bool leading_ = false;
  bool electing_ = false;
  double retry_at_ = 0;
  uint64_t term_ = 0;
  uint64_t highest_term_ = 0;
  uint64_t version_ = 0;
  uint64_t lease_ = 0;
  bool renewing_ = false;
  bool renewal_refused_ = false;  // the last one was
  double next_renewal_ = 0;
  double next_resignation_ = 0;
  double absent_since_ = 0;  // the leader key, as seen here; 0: it is there
  double confirmed_at_ = 0;  // when the last renewal that succeeded was sent
};

}  // namespace sorrelwood
