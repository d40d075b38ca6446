// Tests a single leader with scripted surroundings: services and their
// replicas.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/coordination/keys.h"
#include "scripted_leader.h"

namespace sorrelwood {
namespace {

using Leader = test::ScriptedLeader;
using test::HealthyMachine;
using test::MakeMachines;

// Sends a heartbeat and executes the commands of the response: stopped tasks
// have exited by the next heartbeat. Returns the number of tasks of `job` that
// run on the machine.
size_t SendHeartbeatAndCountTasks(Leader* leader, HealthyMachine* machine,
                                  const std::string& job) {
  const uint64_t token = machine->sequence == 0 ? 0 : leader->token();
  ++machine->sequence;
  const HeartbeatResponse answer = leader->OnHeartbeat(
      machine->name, 1, machine->sequence, token, machine->tasks);
  std::erase_if(machine->tasks, [](const TaskStatus& task) {
    return task.state == TaskState::kExited;
  });
  for (const Command& command : answer.commands) {
    if (command.kind == CommandKind::kStart)
      machine->tasks.push_back(
          {command.job, command.task, command.attempt, TaskState::kRunning});
    for (TaskStatus& task : machine->tasks) {
      if (command.kind != CommandKind::kStop || command.attempt != task.attempt)
        continue;
      task.state = TaskState::kExited;
      task.reason = ExitReason::kStopped;
    }
  }
  return static_cast<size_t>(std::count_if(
      machine->tasks.begin(), machine->tasks.end(),
      [&](const TaskStatus& task) {
        return task.job == job && task.state == TaskState::kRunning;
      }));
}

size_t SendHeartbeatsAndCountTasks(Leader* leader, HealthyMachine* machine,
                                   const std::string& job, int heartbeats) {
  size_t task_count = 0;
  for (int i = 0; i < heartbeats; ++i) {
    task_count = SendHeartbeatAndCountTasks(leader, machine, job);
    leader->Run(2);
  }
  return task_count;
}

// Another team's tasks of lower priority fill the machine.
TEST(Services, PreemptTasksOfLowerPriority) {
  Leader leader(2, 1000);
  HealthyMachine machine("n-1");
  leader.Run(2);
  leader.AddJob("job-1", 100, 1);
  SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 4);
  EXPECT_EQ(machine.tasks.size(), 16u);
  leader.AddService("job-2", 3, 2, "other");
  EXPECT_EQ(SendHeartbeatsAndCountTasks(&leader, &machine, "job-2", 5), 3u);
  // No more tasks were stopped than necessary.
  EXPECT_EQ(SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 1), 10u);
}

// The team's own tasks of lower priority use up its limit of 100 CPUs, while
// the machines have free capacity.
TEST(Services, PreemptTheirOwnTeamsTasksAtItsLimit) {
  Leader leader(2, 1000);
  std::vector<HealthyMachine> machines = MakeMachines(8);
  leader.Run(2);
  leader.AddJob("job-1", 200, 1, "", "class", "other");
  const auto run_rounds_and_count = [&](const std::string& job) {
    size_t count = 0;
    for (int i = 0; i < 5; ++i) {
      count = 0;
      for (HealthyMachine& machine : machines)
        count += SendHeartbeatAndCountTasks(&leader, &machine, job);
      leader.Run(2);
    }
    return count;
  };
  EXPECT_EQ(run_rounds_and_count("job-1"), 100u);
  leader.AddService("job-2", 2, 8, "other");
  EXPECT_EQ(run_rounds_and_count("job-2"), 2u);
  EXPECT_EQ(run_rounds_and_count("job-1"), 84u);
}

// Capacity kept for further services is released some time after the last
// service arrived.
TEST(Services, ReserveCapacityForABoundedTime) {
  Leader leader(2, /*hold_s=*/1, /*base_share=*/0);
  HealthyMachine machine("n-1");
  leader.Run(2);
  leader.AddService("job-1", 2, 1, "team");
  EXPECT_EQ(SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 4), 2u);
  leader.Cancel("job-1");
  SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 20);
  EXPECT_FALSE(leader.Released("n-1"));
  SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 320);
  EXPECT_TRUE(leader.Released("n-1"));
}

// A replica that exits, even as done, is restarted, and its exit is cleared.
TEST(Services, AReplicaThatExitsIsRestarted) {
  Leader leader(2, 1000);
  HealthyMachine machine("n-1");
  leader.Run(2);
  leader.AddService("job-1", 2, 1, "team");
  EXPECT_EQ(SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 4), 2u);
  const uint64_t attempt = machine.tasks[0].attempt;
  machine.tasks[0].state = TaskState::kExited;
  machine.tasks[0].reason = ExitReason::kDone;
  EXPECT_EQ(SendHeartbeatsAndCountTasks(&leader, &machine, "job-1", 3), 2u);
  for (const TaskStatus& task : machine.tasks) EXPECT_NE(task.attempt, attempt);
  EXPECT_FALSE(leader.HasKey(keys::ForFinalState("job-1")));
}

// A service whose replicas exit right after the start is restarted with growing
// delays.
TEST(Services, RestartsAreDelayedForAServiceThatKeepsExiting) {
  Leader leader(2, 1000);
  HealthyMachine machine("n-1");
  leader.Run(2);
  leader.AddService("job-1", 1, 1, "team");
  int starts = 0;
  for (int i = 0; i < 100; ++i) {
    starts += static_cast<int>(
        SendHeartbeatAndCountTasks(&leader, &machine, "job-1"));
    for (TaskStatus& task : machine.tasks) {
      task.state = TaskState::kExited;
      task.reason = ExitReason::kDone;
    }
    leader.Run(2);
  }
  EXPECT_GT(starts, 4);
  EXPECT_LT(starts, 12);  // two at once, then after 2, 4, 8 ... 60 s
}

}  // namespace
}  // namespace sorrelwood
