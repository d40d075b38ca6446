// Tests that a leader starts no task again while an answer to a heartbeat may
// still keep an earlier attempt of it alive.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "base/constants/clocks.h"
#include "base/constants/leader_election.h"
#include "base/constants/workers.h"
#include "core/coordination/keys.h"
#include "core/model/settings.h"
#include "scripted_leader.h"

namespace sorrelwood {
namespace {

using Leader = test::ScriptedLeader;
using test::HealthyMachine;
using test::kOldToken;

const ClusterSettings kSettings;
constexpr double kHeartbeatIntervalS = 2;
// Interval between the checks of the tests, and so their precision (s).
constexpr double kStepS = 1;

// The time (s) for which an earlier leader may answer heartbeats.
double RenewalWindowS() {
  return kSettings.cancel_deadline_s -
         kSettings.worker_lease_s * (1 + kMaxClockDriftRatio) -
         kWorkerLeaseMarginS;
}

// The time (s) after the latest answer by which a worker has no tasks left.
double MaxTaskSurvivalS() {
  return kSettings.worker_lease_s * (1 + kMaxClockDriftRatio) + kMaxWorkerStopS;
}

// The time (s) after which a machine that is answered but does not show the
// token counts as unreachable.
constexpr double kUnreachableThresholdS =
    kSilentHeartbeatIntervals * kHeartbeatIntervalS + kPushTimeoutS +
    kPushIntervalS;

// A machine on which an earlier leader started the only task of a job. It never
// shows the token of the leader under test. Another machine is free.
class InheritedMachine {
 public:
  // `held_prefix`: the listing of these records is not answered for now.
  explicit InheritedMachine(const std::string& held_prefix = "")
      : leader_(kHeartbeatIntervalS) {
    leader_.held_prefix = held_prefix;
    // A release would prove that the task has ended.
    leader_.cloud_unavailable = true;
    leader_.AddMachineRecord("n-1");
    leader_.AddJob("job-000001", 1);
    WaitForElection();
  }

  Leader& leader() { return leader_; }
  double now() const { return leader_.now(); }
  // The time (s) since the leader was elected.
  double TermAgeS() const { return now() - term_started_at_; }

  // Sends a heartbeat with the old token. Returns whether it was answered.
  bool SendOldHeartbeat() {
    std::vector<TaskStatus> tasks;
    if (HoldsTask())
      tasks = {{"job-000001", 0, (kOldToken << 32) | 1, TaskState::kRunning}};
    // Not consecutive: heartbeats to other controllers lie in between.
    sequence_ += 2;
    const uint64_t incarnation = HoldsTask() ? 1 : 2;
    const HeartbeatResponse answer = leader_.OnHeartbeat(
        "n-1", incarnation, sequence_, kOldToken, std::move(tasks));
    if (answer.status != 200) return false;
    if (HoldsTask()) lease_renewed_at_ = std::max(lease_renewed_at_, now());
    return true;
  }
  // Lets time pass until the leader starts the task on the other machine.
  // Returns whether it does so within `seconds`.
  bool WaitForStart(double seconds) {
    for (const double until = now() + seconds; now() < until;) {
      if (StartsOnOtherMachine()) return true;
      leader_.Run(kStepS);
    }
    return false;
  }
  // Another node leads for a moment, then this one is elected again.
  void LoseAndRegainLead() {
    leader_.SetLeader("node-1", leader_.token() + 1);
    while (leader_.leading()) leader_.Run(0.1);
    leader_.RemoveLeader();
    WaitForElection();
  }
  bool StartsOnOtherMachine() { return other_.SendHeartbeat(&leader_) > 0; }
  // Whether the task runs: the lease has not expired since the latest answer of
  // this leader, or since the latest possible one of the earlier leader.
  bool HoldsTask() const {
    return now() - lease_renewed_at_ <= kSettings.worker_lease_s;
  }

 private:
  void WaitForElection() {
    while (!leader_.leading()) leader_.Run(0.1);
    term_started_at_ = now();
    lease_renewed_at_ = term_started_at_ + RenewalWindowS();
  }

  Leader leader_;
  HealthyMachine other_{"n-2"};
  uint64_t sequence_ = 10;
  double term_started_at_ = 0, lease_renewed_at_ = 0;
};

// Guards against a task on two machines: a leader answers a heartbeat with the
// old token late, and the worker then falls silent with a renewed lease.
TEST(WorkerLease, AnAnswerToAnOldTokenCounts) {
  for (const double answered_after_s : {10.0, 26.0, 30.0, 34.0, 36.0}) {
    SCOPED_TRACE(answered_after_s);
    InheritedMachine machine;
    EXPECT_FALSE(machine.WaitForStart(answered_after_s));
    ASSERT_TRUE(machine.SendOldHeartbeat());
    ASSERT_TRUE(machine.WaitForStart(60));
    EXPECT_FALSE(machine.HoldsTask());
  }
}

// Guards against jobs that wait without end for a machine whose heartbeats are
// answered but never show the new token, and against a task on two machines.
TEST(WorkerLease, AnswersToAnOldTokenEnd) {
  for (const double first_after_s : {0.0, 20.0, 26.0, 34.0, 36.0}) {
    SCOPED_TRACE(first_after_s);
    InheritedMachine machine;
    EXPECT_FALSE(machine.WaitForStart(first_after_s));
    const double max_answers_s =
        std::max(RenewalWindowS(), first_after_s + kUnreachableThresholdS);
    const double bound_s = max_answers_s + MaxTaskSurvivalS() + 2 * kStepS;
    bool started = false;
    while (!started && machine.TermAgeS() < bound_s) {
      machine.SendOldHeartbeat();
      started = machine.WaitForStart(kStepS);
    }
    ASSERT_TRUE(started);
    EXPECT_FALSE(machine.HoldsTask());
  }
}

// Guards against lost work: a machine that can be reached again late in a
// failover is answered, shows the token and keeps its task.
TEST(WorkerLease, IsKeptByAMachineThatShowsTheTokenLate) {
  InheritedMachine machine;
  EXPECT_FALSE(machine.WaitForStart(34));
  ASSERT_TRUE(machine.SendOldHeartbeat());
  const std::vector<TaskStatus> tasks = {
      {"job-000001", 0, (kOldToken << 32) | 1, TaskState::kRunning}};
  uint64_t sequence = 100;
  for (int i = 0; i < 30; ++i) {
    const HeartbeatResponse answer = machine.leader().OnHeartbeat(
        "n-1", 1, ++sequence, machine.leader().token(), tasks);
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.commands.empty());
    EXPECT_FALSE(machine.StartsOnOtherMachine());
    machine.leader().Run(2);
  }
}

// Guards against a task on two machines: a leader that needs long to read its
// records answers heartbeats meanwhile.
TEST(WorkerLease, AnAnswerBeforeAllRecordsAreReadCounts) {
  for (const std::string& held_prefix :
       {keys::kMachinePrefix, keys::kCompletionsPrefix,
        keys::kProvisioningPrefix}) {
    SCOPED_TRACE(held_prefix);
    InheritedMachine machine(held_prefix);
    for (int i = 0; i < 5; ++i) {
      EXPECT_FALSE(machine.WaitForStart(9));
      ASSERT_TRUE(machine.SendOldHeartbeat());
    }
    machine.leader().AnswerHeldListing();
    ASSERT_TRUE(machine.WaitForStart(60));
    EXPECT_FALSE(machine.HoldsTask());
  }
}

// Guards against a task on two machines: the leader's process is paused after
// an answer, until after the leases of earlier leaders, and restarts the task
// in its first round.
TEST(WorkerLease, AnAnswerBeforeAPauseCounts) {
  InheritedMachine machine;
  EXPECT_FALSE(machine.WaitForStart(34));
  ASSERT_TRUE(machine.SendOldHeartbeat());
  machine.leader().PauseProcess(8);
  ASSERT_TRUE(machine.WaitForStart(60));
  EXPECT_FALSE(machine.HoldsTask());
}

// Guards against a task on two machines: a node that is elected again relies on
// the time of its first term, although another leader answered in between.
TEST(WorkerLease, ASecondTermOfTheSameNodeCountsFromItsOwnStart) {
  for (const double first_term_s : {20.0, 36.0}) {
    SCOPED_TRACE(first_term_s);
    InheritedMachine machine;
    EXPECT_FALSE(machine.WaitForStart(first_term_s));
    ASSERT_TRUE(machine.SendOldHeartbeat());
    const uint64_t first_term = machine.leader().token();
    machine.LoseAndRegainLead();
    ASSERT_GT(machine.leader().token(), first_term);
    ASSERT_TRUE(machine.WaitForStart(60));
    EXPECT_FALSE(machine.HoldsTask());
  }
}

// Guards against a task on two machines: the machine is being released, which
// the cloud does not carry out, and its heartbeats are still answered.
TEST(WorkerLease, AnAnswerToAMachineThatIsBeingReleasedCounts) {
  InheritedMachine machine;
  EXPECT_FALSE(machine.WaitForStart(26));
  ASSERT_GT(machine.leader().releases_requested, 0);
  ASSERT_FALSE(machine.leader().Released("n-1"));
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(machine.SendOldHeartbeat());
    EXPECT_FALSE(machine.WaitForStart(4));
  }
  ASSERT_TRUE(machine.WaitForStart(60));
  EXPECT_FALSE(machine.HoldsTask());
}

// Guards against a task on two machines: a leader that was cut off learns that
// another one leads, and must not renew a lease before it steps down. The other
// leader does not count this answer.
TEST(WorkerLease, IsNotRenewedOnceTheLeaderKeyIsLost) {
  Leader leader(kHeartbeatIntervalS);
  leader.Run(2);
  HealthyMachine machine{"n-1"};
  machine.SendHeartbeat(&leader);
  const uint64_t token = leader.token();
  EXPECT_EQ(leader.OnHeartbeat("n-1", 1, 2, token).status, 200);
  leader.Run(2);  // writes the machine's record
  leader.SetLeader("node-1", token + 1);
  while (!leader.WatchIsCurrent()) leader.Run(0.05);
  ASSERT_TRUE(leader.leading());
  EXPECT_EQ(leader.OnHeartbeat("n-1", 1, 3, token).status, 503);
}

}  // namespace
}  // namespace sorrelwood
