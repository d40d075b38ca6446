// Tests moves of running tasks with a single leader: its commands at each step
// when machines, jobs or the leader itself fail between the stop on the source
// and the start on the target.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "scripted_leader.h"

namespace sorrelwood {
namespace {

using test::ScriptedLeader;

// A worker that executes its commands. A stopped task saves a checkpoint at
// once.
class Worker {
 public:
  explicit Worker(std::string name) : name_(std::move(name)) {}

  // Sends a heartbeat and executes the response, unless the worker hangs.
  void SendHeartbeat(ScriptedLeader* leader) {
    if (hangs) return;
    const uint64_t token = sequence_ == 0 ? 0 : leader->token();
    Execute(leader->OnHeartbeat(name_, 1, ++sequence_, token, tasks_));
  }
  // Delivers a delayed duplicate of an earlier heartbeat.
  void RepeatHeartbeat(ScriptedLeader* leader,
                       const std::vector<TaskStatus>& tasks,
                       uint64_t sequence) {
    leader->OnHeartbeat(name_, 1, sequence, leader->token(), tasks);
  }
  void Finish(const std::string& job, uint32_t task) {
    for (TaskStatus& status : tasks_)
      if (status.job == job && status.task == task) {
        status.state = TaskState::kExited;
        status.reason = ExitReason::kDone;
      }
  }

  // The cloud has removed the machine.
  void Shutdown() {
    tasks_.clear();
    hangs = true;
  }
  size_t CountRunning(const std::string& job = "") const {
    return static_cast<size_t>(
        std::count_if(tasks_.begin(), tasks_.end(), [&](const TaskStatus& t) {
          return t.state == TaskState::kRunning &&
                 (job.empty() || t.job == job);
        }));
  }
  const std::string& name() const { return name_; }
  const std::vector<TaskStatus>& tasks() const { return tasks_; }
  uint64_t sequence() const { return sequence_; }
  bool hangs = false;
  int stop_count = 0;

 private:
  void Execute(const HeartbeatResponse& answer) {
    if (answer.status != 200) return;
    for (const Command& command : answer.commands) {
      auto it =
          std::find_if(tasks_.begin(), tasks_.end(), [&](const TaskStatus& t) {
            return t.job == command.job && t.task == command.task &&
                   t.attempt == command.attempt;
          });
      if (command.kind == CommandKind::kStart && it == tasks_.end()) {
        tasks_.push_back(
            {command.job, command.task, command.attempt, TaskState::kRunning});
      } else if (command.kind == CommandKind::kStop && it != tasks_.end() &&
                 it->state == TaskState::kRunning) {
        it->state = TaskState::kExited;
        it->reason = ExitReason::kStopped;
        it->saved = true;
        ++stop_count;
      } else if (command.kind == CommandKind::kForget && it != tasks_.end()) {
        tasks_.erase(it);
      }
    }
  }

  std::string name_;
  uint64_t sequence_ = 0;
  std::vector<TaskStatus> tasks_;
};

PolicySettings MakeSpreadPolicy() {
  PolicySettings policy;
  policy.idle_release_delay_s = 5000;
  policy.baseline_initial_share = 0;
  policy.speculation_limit_s = 5000;
  policy.spread.placement = true;
  policy.spread.moves = true;
  policy.spread.start_imbalance = 0.05;
  policy.spread.stop_imbalance = 0.02;
  policy.spread.min_imbalance_duration_s = 2;
  policy.spread.cooldown_s = 20;
  policy.spread.reservation_timeout_s = 5;
  return policy;
}

LiveJob MakeLongJob(const std::string& id, uint32_t tasks,
                    const std::string& team = "team") {
  LiveJob job;
  job.spec.id = id;
  job.spec.job_class = "class";
  job.spec.team = team;
  job.spec.tasks = tasks;
  job.spec.cpus = 1;
  job.spec.memory_gb = 1;
  job.spec.spot = true;
  job.spec.estimate_s = 2000;
  job.spec.checkpoint_interval_s = 10;
  job.spec.save_s = 1;
  return job;
}

class LoadSpreadTest : public ::testing::Test {
 protected:
  explicit LoadSpreadTest(const PolicySettings& policy = MakeSpreadPolicy())
      : leader_(2, policy) {
    leader_.Run(2);
  }

  Worker* AddWorker(const std::string& name) {
    workers_.push_back(std::make_unique<Worker>(name));
    return workers_.back().get();
  }
  // Every worker sends a heartbeat every 2 s.
  void Run(double seconds) {
    for (double passed = 0; passed < seconds; passed += 2) {
      leader_.Run(2);
      for (auto& worker : workers_) {
        if (leader_.Released(worker->name())) worker->Shutdown();
        worker->SendHeartbeat(&leader_);
        CheckNoTaskRunsTwice();
      }
    }
  }
  void CheckNoTaskRunsTwice() {
    std::set<TaskId> running;
    for (const auto& worker : workers_) {
      for (const TaskStatus& task : worker->tasks()) {
        if (task.state != TaskState::kRunning) continue;
        EXPECT_TRUE(running.insert({task.job, task.task}).second)
            << task.job << "/" << task.task << " runs twice";
      }
    }
  }
  // Starts 16 tasks on n-1 and 4 on n-2, a machine that is added later.
  void MakeImbalance(LiveJob job = MakeLongJob("job-000001", 20)) {
    first_ = AddWorker("n-1");
    Run(4);
    leader_.AddLiveJob(std::move(job));
    Run(8);
    second_ = AddWorker("n-2");
    Run(6);
    ASSERT_EQ(first_->CountRunning(), 16u);
    ASSERT_EQ(second_->CountRunning(), 4u);
  }
  // Runs until the worker has executed a stop.
  void RunUntilStopped(Worker* worker) {
    for (int i = 0; i < 60 && worker->stop_count == 0; ++i) Run(2);
    ASSERT_GT(worker->stop_count, 0);
  }
  // Runs until the leader has decided on a move but has sent no command for it.
  void RunUntilMoveStarts() {
    for (int i = 0; i < 400 && MoveStatistics().started == 0; ++i) {
      leader_.Run(0.1);
      if (i % 20 != 19 || MoveStatistics().started > 0) continue;
      for (auto& worker : workers_) worker->SendHeartbeat(&leader_);
    }
    ASSERT_GT(MoveStatistics().started, 0u);
  }
  Rebalancer::Statistics MoveStatistics() {
    return leader_.CollectStatistics().scheduler.rebalancing;
  }
  uint64_t CountAbandoned(MoveFailure failure) {
    const auto abandoned = MoveStatistics().abandoned;
    const auto it = abandoned.find(failure);
    return it == abandoned.end() ? 0 : it->second;
  }

  ScriptedLeader leader_;
  std::vector<std::unique_ptr<Worker>> workers_;
  Worker* first_ = nullptr;
  Worker* second_ = nullptr;
};

TEST_F(LoadSpreadTest, AMachineAddedAfterABurstTakesItsShare) {
  MakeImbalance();
  Run(60);
  // 20 of 32 cores are in use, so that a machine's bound is 12.5.
  EXPECT_LE(first_->CountRunning(), 13u);
  EXPECT_GE(second_->CountRunning(), 7u);
  EXPECT_EQ(first_->CountRunning() + second_->CountRunning(), 20u);
  EXPECT_GE(MoveStatistics().finished, 3u);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
  EXPECT_LT(MoveStatistics().imbalance, 0.05);
}

TEST_F(LoadSpreadTest, TasksThatStartedRecentlyDoNotMove) {
  MakeImbalance();
  Run(14);
  EXPECT_EQ(MoveStatistics().started, 0u);
}

TEST_F(LoadSpreadTest, TasksThatWouldLoseProgressDoNotMove) {
  LiveJob job = MakeLongJob("job-000001", 20);
  job.spec.checkpoint_interval_s = 0;
  MakeImbalance(std::move(job));
  Run(80);
  EXPECT_EQ(MoveStatistics().started, 0u);
  EXPECT_EQ(first_->CountRunning(), 16u);
}

TEST_F(LoadSpreadTest, OtherTasksDoNotTakeReservedCapacity) {
  MakeImbalance();
  RunUntilStopped(first_);
  // The stop is not reported yet: another job gets all but the reserved
  // capacity.
  const size_t reserved = MoveStatistics().in_flight;
  ASSERT_GT(reserved, 0u);
  leader_.AddJob("job-000002", 40);
  leader_.Run(0.5);
  second_->SendHeartbeat(&leader_);
  EXPECT_EQ(second_->CountRunning("job-000002"), 12 - reserved);
  Run(6);
  EXPECT_EQ(MoveStatistics().finished, reserved);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
}

TEST_F(LoadSpreadTest, AMoveToALostTargetIsAbandoned) {
  MakeImbalance();
  RunUntilStopped(first_);
  leader_.preemption_notice_s = 30;  // the cloud preempts the second machine
  second_->SendHeartbeat(&leader_);
  leader_.preemption_notice_s.reset();
  Run(4);
  EXPECT_GT(CountAbandoned(MoveFailure::kTargetLost), 0u);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
  // The tasks restart on the remaining machine.
  EXPECT_EQ(first_->CountRunning(), 16u);
}

TEST_F(LoadSpreadTest, AMoveToASilentTargetIsAbandoned) {
  MakeImbalance();
  RunUntilStopped(first_);
  second_->hangs = true;
  for (int i = 0; i < 5; ++i) leader_.Run(2);  // no machine sends heartbeats
  Run(4);
  EXPECT_EQ(MoveStatistics().finished, 0u);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
  EXPECT_EQ(first_->CountRunning(), 16u);
}

TEST_F(LoadSpreadTest, AHangingSourceKeepsItsTaskAndFreesTheTarget) {
  MakeImbalance();
  RunUntilMoveStarts();
  const size_t before = first_->CountRunning();
  first_->hangs = true;  // the stop is sent, or waits for a heartbeat
  Run(8);
  EXPECT_GT(CountAbandoned(MoveFailure::kTooLate), 0u);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
  EXPECT_EQ(second_->CountRunning(), 4u);  // no task started there in this time
  first_->hangs = false;                   // within its lease
  first_->SendHeartbeat(&leader_);
  Run(30);
  EXPECT_EQ(first_->CountRunning() + second_->CountRunning(), 20u);
  EXPECT_LE(first_->CountRunning(), before);
}

TEST_F(LoadSpreadTest, ATaskOfACancelledJobDoesNotStartOnItsTarget) {
  MakeImbalance();
  RunUntilStopped(first_);
  leader_.Cancel("job-000001");
  leader_.Run(2);
  EXPECT_GT(CountAbandoned(MoveFailure::kJobEnded), 0u);
  Run(6);
  EXPECT_EQ(first_->CountRunning() + second_->CountRunning(), 0u);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
}

TEST_F(LoadSpreadTest, ATaskThatCompletesBeforeItsStopDoesNotMove) {
  MakeImbalance();
  RunUntilMoveStarts();
  for (uint32_t task = 0; task < 20; ++task) first_->Finish("job-000001", task);
  Run(6);
  EXPECT_EQ(MoveStatistics().finished, 0u);
  EXPECT_EQ(MoveStatistics().in_flight, 0u);
  EXPECT_EQ(second_->CountRunning(), 4u);
}

TEST_F(LoadSpreadTest, APausedLeaderMovesNothingTwice) {
  MakeImbalance();
  RunUntilStopped(first_);
  leader_.PauseProcess(6);  // the lease ends; a late heartbeat arrives first
  first_->SendHeartbeat(&leader_);
  second_->SendHeartbeat(&leader_);
  Run(40);
  EXPECT_EQ(first_->CountRunning() + second_->CountRunning(), 20u);
}

TEST_F(LoadSpreadTest, DelayedHeartbeatsDoNotRestoreAnOldLoad) {
  MakeImbalance();
  const std::vector<TaskStatus> crowded = first_->tasks();
  const uint64_t sequence = first_->sequence();
  Run(60);
  const Rebalancer::Statistics before = MoveStatistics();
  ASSERT_GT(before.finished, 0u);
  for (int i = 0; i < 10; ++i) {
    first_->RepeatHeartbeat(&leader_, crowded, sequence);
    Run(2);
  }
  EXPECT_EQ(MoveStatistics().started, before.started);
  EXPECT_EQ(first_->CountRunning() + second_->CountRunning(), 20u);
}

TEST_F(LoadSpreadTest, ATeamAtItsLimitMovesWithoutOverlap) {
  // 20 tasks of 5 cores use up the limit of 100 CPUs of team `other`.
  leader_.types = {{"big", 80, 0, 64, 100, 1, 1, 0.4, 10, {"a"}}};
  leader_.Run(70);  // until the catalogue is read again
  LiveJob job = MakeLongJob("job-000001", 20, "other");
  job.spec.cpus = 5;
  MakeImbalance(std::move(job));
  for (int i = 0; i < 40; ++i) {
    Run(2);
    EXPECT_LE(first_->CountRunning() + second_->CountRunning(), 20u);
  }
  EXPECT_GE(MoveStatistics().finished, 2u);
  EXPECT_EQ(first_->CountRunning() + second_->CountRunning(), 20u);
}

TEST_F(LoadSpreadTest, MovesToAMachineWithoutTheImage) {
  LiveJob job = MakeLongJob("job-000001", 32);
  job.spec.image = "img-1";
  job.spec.image_gb = 1;
  AddWorker("n-1");
  AddWorker("n-2");
  Run(4);
  leader_.AddLiveJob(job);
  Run(8);
  Worker* third = AddWorker("n-3");  // only crowded machines have the image
  leader_.AddLiveJob(MakeLongJob("job-000002", 2));
  Run(80);
  EXPECT_GT(third->CountRunning("job-000001"), 0u);
}

TEST_F(LoadSpreadTest, SpeculationCountsRunTimeBeforeAMove) {
  MakeImbalance();
  Run(60);
  ASSERT_GT(MoveStatistics().finished, 0u);
  // Tasks on both machines have the same total run time.
  const uint64_t kills =
      leader_.CollectStatistics().scheduler.speculative_kills;
  EXPECT_EQ(kills, 0u);
}

TEST_F(LoadSpreadTest, MovesOnlyWithinTheJobsZone) {
  leader_.machine_places["n-2"] = {"big", "b"};
  LiveJob job = MakeLongJob("job-000001", 16);
  job.spec.zone = "a";
  first_ = AddWorker("n-1");
  Run(4);
  leader_.AddLiveJob(job);
  Run(8);
  second_ = AddWorker("n-2");
  leader_.AddLiveJob(MakeLongJob("job-000002", 4));
  Run(80);
  EXPECT_EQ(first_->CountRunning("job-000001"), 16u);
  EXPECT_EQ(second_->CountRunning("job-000001"), 0u);
  EXPECT_EQ(MoveStatistics().started, 0u);
}

TEST_F(LoadSpreadTest, KeepsAJobOfOneZoneTogether) {
  leader_.machine_places["n-2"] = {"big", "b"};
  LiveJob job = MakeLongJob("job-000001", 16);
  job.spec.one_zone = true;
  first_ = AddWorker("n-1");
  Run(4);
  leader_.AddLiveJob(job);
  Run(8);
  second_ = AddWorker("n-2");
  leader_.AddLiveJob(MakeLongJob("job-000002", 4));
  Run(80);
  EXPECT_EQ(first_->CountRunning("job-000001"), 16u);
}

TEST_F(LoadSpreadTest, MovesOnlyToTheJobsMachineTypes) {
  leader_.types.push_back({"small", 16, 0, 64, 100, 1, 1, 0.4, 10, {"a"}});
  leader_.machine_places["n-2"] = {"small", "a"};
  LiveJob job = MakeLongJob("job-000001", 16);
  job.spec.types = {"big"};
  first_ = AddWorker("n-1");
  Run(4);
  leader_.AddLiveJob(job);
  Run(8);
  second_ = AddWorker("n-2");
  leader_.AddLiveJob(MakeLongJob("job-000002", 4));
  Run(80);
  EXPECT_EQ(first_->CountRunning("job-000001"), 16u);
  EXPECT_EQ(second_->CountRunning("job-000001"), 0u);
}

TEST_F(LoadSpreadTest, AlternatingBurstsCauseNoOscillation) {
  MakeImbalance();
  Run(60);
  const uint64_t moves_before = MoveStatistics().started;
  for (int round = 0; round < 6; ++round) {
    const std::string id = "job-0001" + std::to_string(10 + round);
    leader_.AddLiveJob(MakeLongJob(id, 6, round % 2 ? "team" : "other"));
    Run(24);
    leader_.Cancel(id);
    Run(6);
  }
  EXPECT_LE(MoveStatistics().started - moves_before, 6u);
}

// An imbalance that ends within `lasting_s` causes no moves.
class LastingImbalanceTest : public LoadSpreadTest {
 protected:
  LastingImbalanceTest() : LoadSpreadTest(MakeLastingPolicy()) {}
  static PolicySettings MakeLastingPolicy() {
    PolicySettings policy = MakeSpreadPolicy();
    policy.spread.min_imbalance_duration_s = 60;
    return policy;
  }
};

TEST_F(LastingImbalanceTest, AShortImbalanceCausesNoMoves) {
  MakeImbalance();
  Run(44);  // all tasks have run long enough to move
  ASSERT_GT(MoveStatistics().imbalance, 0.05);
  EXPECT_EQ(MoveStatistics().started, 0u);
  // Fills the second machine.
  leader_.AddLiveJob(MakeLongJob("job-000002", 12));
  Run(60);
  EXPECT_EQ(MoveStatistics().started, 0u);
}

TEST_F(LastingImbalanceTest, ALastingImbalanceCausesMoves) {
  MakeImbalance();
  Run(90);
  EXPECT_GT(MoveStatistics().finished, 0u);
}

TEST_F(LoadSpreadTest, TasksLeaveAMachineSlowerThanOthersOfItsType) {
  std::vector<Worker*> workers;
  for (int i = 1; i <= 4; ++i)
    workers.push_back(AddWorker("n-" + std::to_string(i)));
  Run(6);
  // Keeps all four machines in use.
  LiveJob filler = MakeLongJob("job-000003", 36);
  filler.spec.checkpoint_interval_s = 0;
  leader_.AddLiveJob(filler);
  Run(4);
  LiveJob probes = MakeLongJob("job-000001", 24);
  probes.spec.checkpoint_interval_s = 0;
  leader_.AddLiveJob(probes);
  Run(4);
  std::map<std::pair<std::string, uint32_t>, double> started_s;
  for (int step = 0; step < 20; ++step) {
    Run(2);
    for (Worker* worker : workers) {
      const double run_s = worker == workers[0] ? 30 : 10;
      for (const TaskStatus& task : std::vector(worker->tasks())) {
        if (task.job != "job-000001" || task.state != TaskState::kRunning)
          continue;
        double& start_s = started_s[{task.job, task.task}];
        if (start_s == 0) start_s = leader_.now();
        if (leader_.now() - start_s >= run_s)
          worker->Finish(task.job, task.task);
      }
    }
  }
  leader_.AddLiveJob(MakeLongJob("job-000002", 16));
  Run(8);
  ASSERT_GT(workers[0]->CountRunning("job-000002"), 0u);
  Run(60);
  // The other machines have capacity for 12 of the 16 tasks.
  EXPECT_GE(MoveStatistics().finished, 10u);
  EXPECT_LE(workers[0]->CountRunning("job-000002"), 4u);
  for (size_t i = 1; i < workers.size(); ++i)
    EXPECT_EQ(workers[i]->CountRunning(), 16u);
  size_t running = 0;
  for (Worker* worker : workers) running += worker->CountRunning("job-000002");
  EXPECT_EQ(running, 16u);
}

}  // namespace
}  // namespace sorrelwood
