// Elects the leader. The leader key is attached to a lease of the state
// service; the transaction that creates the key also increments the term. The
// term is the fencing token sent to workers and the upper half of every attempt
// number.
#pragma once

#include "base/constants/leader_election.h"
#include "core/coordination/job_cache.h"
#include "core/engine/context.h"

namespace sorrelwood {

class LeaderElection {
 public:
  LeaderElection(Context* context, JobCache* job_cache, std::string node,
                 double worker_lease_s, double cancel_deadline_s);

  void Tick();
  // Called with each term that a peer or a worker reports. A leader steps down
  // if it is higher than its own.
  void ObserveTerm(uint64_t term);

  bool leading() const { return leading_; }
  // Whether this node leads and its job cache shows the leader key as its own.
  // When a watch reports that the key is lost, this is false at once, before
  // the next Tick() steps down.
  bool HoldsLeaderKey() const {
    return leading_ &&
           job_cache_->leader_key().version() == leader_key_version_;
  }
  uint64_t term() const { return term_; }
  uint64_t highest_term() const { return highest_term_; }
  // Makes late writes of a replaced leader fail.
  Precondition leader_precondition() const;

  // Whether tasks may be started and machines rented or released: no other node
  // can be leader yet. Guards against a partitioned leader that continues to
  // place tasks. The age of the job cache and the first refused renewal also
  // count: other nodes may have confirmed cancellations that this node has not
  // seen.
  bool MayDispatch() const {
    return leading_ && !renewal_refused_ &&
           context_->now < dispatch_deadline() &&
           context_->now < job_cache_->synced_at() + kDispatchMaxCacheAgeS;
  }
  // MayDispatch() is false from this time on unless the leader's lease is
  // renewed (steady clock, s).
  double dispatch_deadline() const;
  // Whether heartbeats may be answered, which renews the workers' leases.
  // Allowed for worker_lease_renewal_window_s() after the job cache was last
  // synced: running tasks survive a short outage of the state service, but a
  // task whose cancellation has been confirmed to a user is not kept alive.
  bool MayRenewWorkerLeases() const;
  // How long a leader answers heartbeats after the job cache was last synced
  // (s).
  double worker_lease_renewal_window_s() const {
    return worker_lease_renewal_window_s_;
  }

  // Stops leading, without touching the leader key.
  void StepDown(const std::string& reason);
  // Steps down and removes the leader key, so that a node that can reach the
  // workers may take over. Does nothing within kMinResignIntervalS of the last
  // resignation: if all machines are down, no node can reach them, and
  // another resignation would not help.
  void Resign(const std::string& reason);
  std::function<void()> on_leadership_acquired, on_leadership_lost;

 private:
  void StartElection();
  // Increments the term and creates the leader key. `lease_sent_at`: when the
  // creation of the lease was requested (steady clock, s).
  void AcquireLeaderKey(uint64_t lease, double lease_sent_at);
  void RenewLeaderLease();
  // Removes a leader key that names this node although this process does not
  // lead: an earlier process of the node held it, or a claim of this process
  // was committed late. No process acts on that key, so waiting for its lease
  // to expire is unnecessary.
  void RemoveOwnStaleLeaderKey();

  Context* context_;
  JobCache* job_cache_;
  std::string node_;
  double worker_lease_renewal_window_s_;
  bool leading_ = false;
  bool election_in_flight_ = false;
  double retry_at_ = 0;        // no election starts before (steady clock, s)
  uint64_t term_ = 0;          // of this process's latest leadership
  uint64_t highest_term_ = 0;  // known from any node or worker
  uint64_t leader_key_version_ = 0;  // as written by this process
  uint64_t lease_id_ = 0;
  bool renewal_in_flight_ = false;
  bool renewal_refused_ = false;  // whether the last renewal was refused
  double next_renewal_at_ = 0;    // steady clock, s
  // No resignation happens before (steady clock, s).
  double next_resignation_at_ = 0;
  // When the job cache first showed no leader key (steady clock, s); 0: the key
  // exists or its state is unknown.
  double leader_absent_since_ = 0;
  // When the last successful renewal, or the creation of the lease, was sent
  // (steady clock, s).
  double lease_confirmed_at_ = 0;
};

}  // namespace sorrelwood
