// Tests a single leader with scripted surroundings: elections, and machines and
// jobs that an earlier leader left behind.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/constants/leader_election.h"
#include "core/coordination/keys.h"
#include "scripted_leader.h"

namespace sorrelwood {
namespace {

using Leader = test::ScriptedLeader;
using test::CountStops;
using test::HealthyMachine;
using test::kOldToken;
using test::MakeMachines;

// A leader elected between a refusal and an outage of the state service may
// answer heartbeats throughout the outage without having read a record. Guards
// against tasks of cancelled jobs that run on in this time.
TEST(Leader, StopsTasksOfEndedJobsBeforeRecordsAreRead) {
  Leader leader;
  leader.AddJob("job-000001", 1);
  leader.AddJob("job-000002", 1);
  leader.Cancel("job-000001");
  leader.records_unanswered = true;
  leader.Run(2);
  ASSERT_TRUE(leader.leading());
  const HeartbeatResponse answer = leader.OnHeartbeat(
      "n-1", 1, 5, kOldToken,
      {{"job-000001", 0, (kOldToken << 32) | 1, TaskState::kRunning},
       {"job-000002", 0, (kOldToken << 32) | 2, TaskState::kRunning}});
  EXPECT_EQ(answer.status, 200);
  ASSERT_EQ(CountStops(answer), 1);
  EXPECT_EQ(answer.commands[0].job, "job-000001");
  EXPECT_EQ(answer.commands[0].grace_s, 0);
}

// Leaders may change so fast that no heartbeat shows the token of the leader
// that receives it.
TEST(Leader, StopsTasksOfEndedJobsUnderAnyToken) {
  Leader leader;
  leader.AddJob("job-000001", 1);
  leader.Run(2);
  leader.Cancel("job-000001");
  leader.Run(2);
  EXPECT_EQ(
      CountStops(leader.OnHeartbeat(
          "n-1", 1, 5, kOldToken,
          {{"job-000001", 0, (kOldToken << 32) | 1, TaskState::kFetching}})),
      1);
}

// An earlier leader released most machines but did not remove their records.
// Guards against counting these machines as silent, which would end the term
// and delay starts.
TEST(Leader, RecordsOfReleasedMachinesDelayNothing) {
  Leader leader;
  for (int i = 2; i < 12; ++i)
    leader.AddMachineRecord("n-" + std::to_string(i));
  leader.AddMachineRecord("n-1");
  leader.AddJob("job-000001", 4);
  leader.cloud_listing = {"n-1"};
  leader.Run(2);
  HealthyMachine good{"n-1"};
  int starts = 0;
  for (int i = 0; i < 10; ++i) {
    starts += good.SendHeartbeat(&leader);
    leader.Run(2);
  }
  EXPECT_EQ(starts, 4);
  EXPECT_EQ(leader.token(), kOldToken + 1);  // still the first term
  EXPECT_TRUE(leader.Released("n-7"));
  EXPECT_FALSE(leader.Released("n-1"));
}

// A delayed duplicate of a heartbeat of a released machine reaches a new
// leader.
TEST(Leader, DistrustsADelayedHeartbeatOfAReleasedMachine) {
  Leader leader;
  leader.AddJob("job-000001", 1);
  leader.Run(2);
  const std::vector<TaskStatus> tasks = {
      {"job-000001", 0, (kOldToken << 32) | 1, TaskState::kRunning}};
  EXPECT_TRUE(
      leader.OnHeartbeat("n-9", 3, 40, kOldToken, tasks).commands.empty());
  leader.Run(1);
  EXPECT_FALSE(leader.HasKey(keys::ForMachine("n-9")));
  // The task runs on another machine: it must not be stopped there or be taken
  // to run on two machines.
  HealthyMachine real{"n-1"};
  real.tasks = tasks;
  real.SendHeartbeat(&leader);
  leader.Run(0.5);
  const HeartbeatResponse answer =
      leader.OnHeartbeat("n-1", 1, ++real.sequence, leader.token(), tasks);
  EXPECT_TRUE(answer.commands.empty());
  for (uint64_t i = 0; i < 10; ++i) {
    leader.Run(2);
    real.SendHeartbeat(&leader);
    leader.OnHeartbeat("n-9", 3, 41 + i, kOldToken, tasks);  // more duplicates
  }
  EXPECT_TRUE(leader.Released("n-9"));  // the wait for it is bounded
  EXPECT_FALSE(leader.Released("n-1"));
}

// An inherited machine keeps sending heartbeats but never shows the new token,
// and the cloud can't release it. Tasks that wait for it start once every
// worker lease that the old leader may have renewed has expired.
TEST(Leader, WaitsABoundedTimeForAnInheritedMachine) {
  Leader leader;
  leader.AddMachineRecord("n-1");
  leader.AddJob("job-000001", 4);
  leader.cloud_unavailable = true;
  leader.Run(2);
  HealthyMachine good{"n-2"};
  int starts = 0;
  for (int i = 0; i < 45; ++i) {
    starts += good.SendHeartbeat(&leader);
    leader.OnHeartbeat("n-1", 1, 2 * static_cast<uint64_t>(i) + 10, kOldToken);
    leader.Run(1);
    if (i < 25) {
      EXPECT_EQ(starts, 0) << "after " << i << " s";
    }
  }
  EXPECT_EQ(starts, 4);
}

// A zone is cut off during a failover, so that inherited tasks have to wait.
// The idle machines on which they will run must not be released in this time.
TEST(Leader, KeepsIdleMachinesWhileInheritedTasksWait) {
  Leader leader(2, /*hold_s=*/3, /*base_share=*/0);
  std::vector<HealthyMachine> healthy;
  for (int i = 0; i < 10; ++i) {
    const std::string name = "n-" + std::to_string(i);
    leader.AddMachineRecord(name);
    if (i < 6) healthy.emplace_back(name);
  }
  leader.AddJob("job-100000", 60, 1);
  leader.Run(2);
  int starts = 0;
  for (int round = 0; round < 30 && starts == 0; ++round) {
    for (HealthyMachine& machine : healthy) {
      EXPECT_FALSE(leader.Released(machine.name));
      starts += machine.SendHeartbeat(&leader);
    }
    leader.Run(2);
  }
  for (HealthyMachine& machine : healthy)
    starts += machine.SendHeartbeat(&leader);
  EXPECT_EQ(starts, 60);
}

// A machine that another node answers receives the new token by a push, then
// falls silent. The other node may have renewed its lease until the push.
TEST(Leader, ALeaseCountsFromTheAcknowledgementOfTheToken) {
  Leader leader(2, 1000);
  // A release would prove that its tasks have ended.
  leader.cloud_unavailable = true;
  leader.AddMachineRecord("n-1");
  leader.AddJob("job-100000", 1);
  HealthyMachine other("n-2");
  int starts = 0;
  double token_shown_s = 0;
  for (double now = 0; now < 60 && starts == 0; now += 1) {
    if (now > 9 && token_shown_s == 0) {
      token_shown_s = now;
      Heartbeat heartbeat;
      heartbeat.machine = "n-1";
      heartbeat.address = "n-1:1";
      heartbeat.type = "big";
      heartbeat.zone = "a";
      heartbeat.incarnation = 1;
      heartbeat.sequence = 5;
      heartbeat.tasks = {{"job-100000", 0, 77, TaskState::kRunning}};
      leader.push_responses["n-1"] = heartbeat;
      leader.Run(1.2);
      leader.push_responses.clear();
    }
    starts += other.SendHeartbeat(&leader);
    if (starts > 0) {
      EXPECT_GE(now, token_shown_s + 14);
    }
    leader.Run(1);
  }
  EXPECT_EQ(starts, 1);
}

// After a pause of the whole process the leader must not count machines as
// silent or resign while it still holds the lead.
TEST(Leader, APauseOfItsOwnCountsNoMachineAsSilent) {
  Leader leader(2, 1000);
  std::vector<HealthyMachine> machines = MakeMachines(4);
  leader.Run(2);
  for (int i = 0; i < 3; ++i) {
    for (HealthyMachine& machine : machines) machine.SendHeartbeat(&leader);
    leader.Run(2);
  }
  const uint64_t token = leader.token();
  leader.PauseProcess(20);
  leader.Run(1);
  for (HealthyMachine& machine : machines) machine.SendHeartbeat(&leader);
  leader.Run(2);
  EXPECT_TRUE(leader.leading());
  EXPECT_EQ(leader.token(), token);
  for (const HealthyMachine& machine : machines)
    EXPECT_FALSE(leader.Released(machine.name));
}

// A leader that resigned because few machines reached it delays its next
// candidacy in favour of other nodes.
TEST(Leader, DelaysItsNextElectionAfterResigning) {
  const auto measure_election_delay = [](bool resigns) {
    Leader leader;
    std::vector<HealthyMachine> machines = MakeMachines(4);
    leader.Run(2);
    for (int i = 0; i < 3; ++i) {
      for (HealthyMachine& machine : machines) machine.SendHeartbeat(&leader);
      leader.Run(2);
    }
    if (resigns)
      for (int i = 0; i < 100 && leader.leading(); ++i) leader.Run(0.2);
    EXPECT_NE(leader.leading(), resigns);
    leader.SetLeader("node-1", 100);
    leader.Run(12);
    EXPECT_FALSE(leader.leading());
    leader.RemoveLeader();
    const double removed = leader.now();
    while (!leader.leading() && leader.now() < removed + 30) leader.Run(0.1);
    return leader.now() - removed;
  };
  EXPECT_LT(measure_election_delay(false), 1.5);
  EXPECT_GT(measure_election_delay(true), kResignedElectionDelayS);
  EXPECT_LT(measure_election_delay(true), kResignedElectionDelayS + 1.5);
}

// If all machines fall silent at once, the leader resigns within three
// heartbeat intervals. During an outage of the state service it stays, since no
// other node could become leader.
TEST(Leader, ResignsSoonWhenAllMachinesFallSilent) {
  for (const bool outage : {false, true}) {
    Leader leader;
    std::vector<HealthyMachine> machines = MakeMachines(12);
    leader.Run(2);
    for (int i = 0; i < 6; ++i) {
      leader.Run(2);
      for (HealthyMachine& machine : machines) machine.SendHeartbeat(&leader);
    }
    leader.lease_unanswered = outage;
    leader.Run(4.5);  // over two intervals since the last heartbeats
    EXPECT_TRUE(leader.leading());
    leader.Run(1.5);
    EXPECT_EQ(leader.leading(), outage);
    leader.Run(6);
    EXPECT_EQ(leader.leading(), outage);
  }
}

// One of many machines is gone after a failover: the leader releases it, which
// proves that its tasks have ended before its silence would, so that inherited
// jobs continue. If many machines do not answer, none is released, since they
// are more likely cut off.
TEST(Leader, AFewMachinesThatDelayAFailoverAreReleased) {
  for (const int gone : {1, 5}) {
    Leader leader(2, 1000);
    std::vector<HealthyMachine> machines;
    for (int i = 0; i < 12; ++i) {
      const std::string name = "n-" + std::to_string(10 + i);
      leader.AddMachineRecord(name);
      if (i >= gone) machines.emplace_back(name);
    }
    leader.AddJob("job-000001", 400);
    leader.Run(2);
    int starts = 0;
    double waited_s = 0;
    for (; starts == 0 && waited_s < 30; waited_s += 1) {
      for (HealthyMachine& machine : machines) {
        // The remaining machines answer pushes too.
        Heartbeat& direct = leader.push_responses[machine.name];
        direct.machine = machine.name;
        direct.address = machine.name + ":1";
        starts += machine.SendHeartbeat(&leader);
      }
      leader.Run(1);
    }
    for (const HealthyMachine& machine : machines)
      EXPECT_FALSE(leader.Released(machine.name));
    if (gone == 1) {
      EXPECT_LT(waited_s, 9);
    } else {
      EXPECT_GT(waited_s, 9);
    }
  }
}

}  // namespace
}  // namespace sorrelwood
