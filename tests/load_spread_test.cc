// Moves of running tasks, by a leader alone: what it orders at each step when
// machines, jobs or the leader itself fail between the stop and the start.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "scripted_leader.h"

namespace sorrelwood {
namespace {

using test::ScriptedLeader;

// A worker that runs what it is told to, saves at once when it is stopped, and
// remembers what it was ever told to start.
class Worker {
 public:
  explicit Worker(std::string name) : name_(std::move(name)) {}

  // Reports and carries out the answer. One that hangs does neither.
  void Beat(ScriptedLeader* leader) {
    if (hangs) return;
    const uint64_t token = sequence_ == 0 ? 0 : leader->token();
    Execute(leader->OnHeartbeat(name_, 1, ++sequence_, token, tasks_));
  }
  // The same report once more, late.
  void RepeatOldReport(ScriptedLeader* leader,
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

  // The cloud has taken the machine.
  void Die() {
    tasks_.clear();
    hangs = true;
  }
  size_t Running(const std::string& job = "") const {
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
  int stops = 0;

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
        ++stops;
      } else if (command.kind == CommandKind::kForget && it != tasks_.end()) {
        tasks_.erase(it);
      }
    }
  }

  std::string name_;
  uint64_t sequence_ = 0;
  std::vector<TaskStatus> tasks_;
};

PolicySettings Spread() {
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

LiveJob LongJob(const std::string& id, uint32_t tasks,
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
  explicit LoadSpreadTest(const PolicySettings& policy = Spread())
      : leader_(2, policy) {
    leader_.Run(2);
  }

  Worker* AddWorker(const std::string& name) {
    workers_.push_back(std::make_unique<Worker>(name));
    return workers_.back().get();
  }
  // Every worker reports every 2 s.
  void Run(double seconds) {
    for (double passed = 0; passed < seconds; passed += 2) {
      leader_.Run(2);
      for (auto& worker : workers_) {
        if (leader_.Released(worker->name())) worker->Die();
        worker->Beat(&leader_);
        CheckNothingRunsTwice();
      }
    }
  }
  void CheckNothingRunsTwice() {
    std::set<TaskId> running;
    for (const auto& worker : workers_) {
      for (const TaskStatus& task : worker->tasks()) {
        if (task.state != TaskState::kRunning) continue;
        EXPECT_TRUE(running.insert({task.job, task.task}).second)
            << task.job << "/" << task.task << " runs twice";
      }
    }
  }
  // 16 tasks on n-1, 4 on n-2, which came later; all have run long enough.
  void MakeUneven(LiveJob job = LongJob("job-000001", 20)) {
    first_ = AddWorker("n-1");
    Run(4);
    leader_.Add(std::move(job));
    Run(8);
    second_ = AddWorker("n-2");
    Run(6);
    ASSERT_EQ(first_->Running(), 16u);
    ASSERT_EQ(second_->Running(), 4u);
  }
  // Until a stop has been ordered and carried out, and no more.
  void RunUntilStopped(Worker* worker) {
    for (int i = 0; i < 60 && worker->stops == 0; ++i) Run(2);
    ASSERT_GT(worker->stops, 0);
  }
  // Until the leader has decided to move something, not yet told to anybody.
  void RunUntilBegun() {
    for (int i = 0; i < 400 && Moves().started == 0; ++i) {
      leader_.Run(0.1);
      if (i % 20 != 19 || Moves().started > 0) continue;
      for (auto& worker : workers_) worker->Beat(&leader_);
    }
    ASSERT_GT(Moves().started, 0u);
  }
  Rebalancer::Statistics Moves() {
    return leader_.CollectStatistics().scheduler.rebalancing;
  }
  uint64_t GivenUp(MoveFailure failure) {
    const auto given_up = Moves().abandoned;
    const auto it = given_up.find(failure);
    return it == given_up.end() ? 0 : it->second;
  }

  ScriptedLeader leader_;
  std::vector<std::unique_ptr<Worker>> workers_;
  Worker* first_ = nullptr;
  Worker* second_ = nullptr;
};

TEST_F(LoadSpreadTest, AMachineThatComesAfterABurstTakesItsPart) {
  MakeUneven();
  Run(60);
  // 20 of 32 cores: a machine's bound is 12.5.
  EXPECT_LE(first_->Running(), 13u);
  EXPECT_GE(second_->Running(), 7u);
  EXPECT_EQ(first_->Running() + second_->Running(), 20u);
  EXPECT_GE(Moves().finished, 3u);
  EXPECT_EQ(Moves().in_flight, 0u);
  EXPECT_LT(Moves().imbalance, 0.05);
}

TEST_F(LoadSpreadTest, NothingMovesThatHasRunForAShortTime) {
  MakeUneven();
  Run(14);
  EXPECT_EQ(Moves().started, 0u);
}

TEST_F(LoadSpreadTest, NothingMovesThatWouldLoseItsWork) {
  LiveJob job = LongJob("job-000001", 20);
  job.spec.checkpoint_interval_s = 0;
  MakeUneven(std::move(job));
  Run(80);
  EXPECT_EQ(Moves().started, 0u);
  EXPECT_EQ(first_->Running(), 16u);
}

TEST_F(LoadSpreadTest, NobodyElseTakesAHeldPlace) {
  MakeUneven();
  RunUntilStopped(first_);
  // The stop is not reported yet: other work finds all but the held places.
  const size_t held = Moves().in_flight;
  ASSERT_GT(held, 0u);
  leader_.AddJob("job-000002", 40);
  leader_.Run(0.5);
  second_->Beat(&leader_);
  EXPECT_EQ(second_->Running("job-000002"), 12 - held);
  Run(6);
  EXPECT_EQ(Moves().finished, held);
  EXPECT_EQ(Moves().in_flight, 0u);
}

TEST_F(LoadSpreadTest, APlaceThatIsLostIsGivenUp) {
  MakeUneven();
  RunUntilStopped(first_);
  leader_.preemption_notice_s = 30;  // the cloud takes the second machine back
  second_->Beat(&leader_);
  leader_.preemption_notice_s.reset();
  Run(4);
  EXPECT_GT(GivenUp(MoveFailure::kTargetLost), 0u);
  EXPECT_EQ(Moves().in_flight, 0u);
  EXPECT_EQ(first_->Running(), 16u);  // they start again where room is
}

TEST_F(LoadSpreadTest, ASilentPlaceIsGivenUp) {
  MakeUneven();
  RunUntilStopped(first_);
  second_->hangs = true;
  for (int i = 0; i < 5; ++i) leader_.Run(2);  // nobody reports
  Run(4);
  EXPECT_EQ(Moves().finished, 0u);
  EXPECT_EQ(Moves().in_flight, 0u);
  EXPECT_EQ(first_->Running(), 16u);
}

TEST_F(LoadSpreadTest, ASourceThatHangsFreesThePlaceAndKeepsTheTask) {
  MakeUneven();
  RunUntilBegun();
  const size_t before = first_->Running();
  first_->hangs = true;  // the stop has left, or waits for a report
  Run(8);
  EXPECT_GT(GivenUp(MoveFailure::kTooLate), 0u);
  EXPECT_EQ(Moves().in_flight, 0u);
  EXPECT_EQ(second_->Running(), 4u);  // nothing started there meanwhile
  first_->hangs = false;              // within its lease
  first_->Beat(&leader_);
  Run(30);
  EXPECT_EQ(first_->Running() + second_->Running(), 20u);
  EXPECT_LE(first_->Running(), before);
}

TEST_F(LoadSpreadTest, ACancelledJobStartsNothingAtItsPlace) {
  MakeUneven();
  RunUntilStopped(first_);
  leader_.Cancel("job-000001");
  leader_.Run(2);
  EXPECT_GT(GivenUp(MoveFailure::kJobEnded), 0u);
  Run(6);
  EXPECT_EQ(first_->Running() + second_->Running(), 0u);
  EXPECT_EQ(Moves().in_flight, 0u);
}

TEST_F(LoadSpreadTest, ATaskThatIsDoneBeforeItStopsDoesNotMove) {
  MakeUneven();
  RunUntilBegun();
  for (uint32_t task = 0; task < 20; ++task) first_->Finish("job-000001", task);
  Run(6);
  EXPECT_EQ(Moves().finished, 0u);
  EXPECT_EQ(Moves().in_flight, 0u);
  EXPECT_EQ(second_->Running(), 4u);
}

TEST_F(LoadSpreadTest, ALeaderThatStoodStillMovesNothingTwice) {
  MakeUneven();
  RunUntilStopped(first_);
  leader_.StandStill(6);  // its lease has ended; a late report comes first
  first_->Beat(&leader_);
  second_->Beat(&leader_);
  Run(40);
  EXPECT_EQ(first_->Running() + second_->Running(), 20u);
}

TEST_F(LoadSpreadTest, LateCopiesDoNotBringBackALoad) {
  MakeUneven();
  const std::vector<TaskStatus> crowded = first_->tasks();
  const uint64_t sequence = first_->sequence();
  Run(60);
  const Rebalancer::Statistics before = Moves();
  ASSERT_GT(before.finished, 0u);
  for (int i = 0; i < 10; ++i) {
    first_->RepeatOldReport(&leader_, crowded, sequence);
    Run(2);
  }
  EXPECT_EQ(Moves().started, before.started);
  EXPECT_EQ(first_->Running() + second_->Running(), 20u);
}

TEST_F(LoadSpreadTest, ATeamAtItsLimitMovesWithoutOverlap) {
  // 20 tasks of 5 cores are the 100 that `other` may use.
  leader_.types = {{"big", 80, 0, 64, 100, 1, 1, 0.4, 10, {"a"}}};
  leader_.Run(70);  // the catalogue is read again
  LiveJob job = LongJob("job-000001", 20, "other");
  job.spec.cpus = 5;
  MakeUneven(std::move(job));
  for (int i = 0; i < 40; ++i) {
    Run(2);
    EXPECT_LE(first_->Running() + second_->Running(), 20u);
  }
  EXPECT_GE(Moves().finished, 2u);
  EXPECT_EQ(first_->Running() + second_->Running(), 20u);
}

TEST_F(LoadSpreadTest, MovesWhereTheImageIsNot) {
  LiveJob job = LongJob("job-000001", 32);
  job.spec.image = "img-1";
  job.spec.image_gb = 1;
  AddWorker("n-1");
  AddWorker("n-2");
  Run(4);
  leader_.Add(job);
  Run(8);
  Worker* third = AddWorker("n-3");  // all copies are on crowded machines
  leader_.Add(LongJob("job-000002", 2));
  Run(80);
  EXPECT_GT(third->Running("job-000001"), 0u);
}

TEST_F(LoadSpreadTest, TheTimeBeforeAMoveCountsToSpeculation) {
  MakeUneven();
  Run(60);
  ASSERT_GT(Moves().finished, 0u);
  // Tasks on both machines have run equally long in all.
  const uint64_t kills =
      leader_.CollectStatistics().scheduler.speculative_kills;
  EXPECT_EQ(kills, 0u);
}

TEST_F(LoadSpreadTest, KeepsToTheJobsZone) {
  leader_.places["n-2"] = {"big", "b"};
  LiveJob job = LongJob("job-000001", 16);
  job.spec.zone = "a";
  first_ = AddWorker("n-1");
  Run(4);
  leader_.Add(job);
  Run(8);
  second_ = AddWorker("n-2");
  leader_.Add(LongJob("job-000002", 4));
  Run(80);
  EXPECT_EQ(first_->Running("job-000001"), 16u);
  EXPECT_EQ(second_->Running("job-000001"), 0u);
  EXPECT_EQ(Moves().started, 0u);
}

TEST_F(LoadSpreadTest, KeepsAJobOfOneZoneTogether) {
  leader_.places["n-2"] = {"big", "b"};
  LiveJob job = LongJob("job-000001", 16);
  job.spec.one_zone = true;
  first_ = AddWorker("n-1");
  Run(4);
  leader_.Add(job);
  Run(8);
  second_ = AddWorker("n-2");
  leader_.Add(LongJob("job-000002", 4));
  Run(80);
  EXPECT_EQ(first_->Running("job-000001"), 16u);
}

TEST_F(LoadSpreadTest, KeepsToTheJobsTypes) {
  leader_.types.push_back({"small", 16, 0, 64, 100, 1, 1, 0.4, 10, {"a"}});
  leader_.places["n-2"] = {"small", "a"};
  LiveJob job = LongJob("job-000001", 16);
  job.spec.types = {"big"};
  first_ = AddWorker("n-1");
  Run(4);
  leader_.Add(job);
  Run(8);
  second_ = AddWorker("n-2");
  leader_.Add(LongJob("job-000002", 4));
  Run(80);
  EXPECT_EQ(first_->Running("job-000001"), 16u);
  EXPECT_EQ(second_->Running("job-000001"), 0u);
}

TEST_F(LoadSpreadTest, TwoTeamsThatAreHotInTurnCauseNoMovesToAndFro) {
  MakeUneven();
  Run(60);
  const uint64_t settled = Moves().started;
  for (int round = 0; round < 6; ++round) {
    const std::string id = "job-0001" + std::to_string(10 + round);
    leader_.Add(LongJob(id, 6, round % 2 ? "team" : "other"));
    Run(24);
    leader_.Cancel(id);
    Run(6);
  }
  EXPECT_LE(Moves().started - settled, 6u);
}

// Unevenness that ends sooner than `lasting_s` moves nothing.
class PatientSpreadTest : public LoadSpreadTest {
 protected:
  PatientSpreadTest() : LoadSpreadTest(Patient()) {}
  static PolicySettings Patient() {
    PolicySettings policy = Spread();
    policy.spread.min_imbalance_duration_s = 60;
    return policy;
  }
};

TEST_F(PatientSpreadTest, ShortUnevennessMovesNothing) {
  MakeUneven();
  Run(44);  // by now all tasks may move
  ASSERT_GT(Moves().imbalance, 0.05);
  EXPECT_EQ(Moves().started, 0u);
  leader_.Add(LongJob("job-000002", 12));  // fills the second machine
  Run(60);
  EXPECT_EQ(Moves().started, 0u);
}

TEST_F(PatientSpreadTest, LastingUnevennessDoes) {
  MakeUneven();
  Run(90);
  EXPECT_GT(Moves().finished, 0u);
}

TEST_F(LoadSpreadTest, WorkLeavesAMachineMuchSlowerThanItsKind) {
  std::vector<Worker*> workers;
  for (int i = 1; i <= 4; ++i)
    workers.push_back(AddWorker("n-" + std::to_string(i)));
  Run(6);
  LiveJob filler = LongJob("job-000003", 36);  // keeps all four machines
  filler.spec.checkpoint_interval_s = 0;
  leader_.Add(filler);
  Run(4);
  LiveJob probes = LongJob("job-000001", 24);
  probes.spec.checkpoint_interval_s = 0;
  leader_.Add(probes);
  Run(4);
  std::map<std::pair<std::string, uint32_t>, double> began;
  for (int step = 0; step < 20; ++step) {
    Run(2);
    for (Worker* worker : workers) {
      const double run_s = worker == workers[0] ? 30 : 10;
      for (const TaskStatus& task : std::vector(worker->tasks())) {
        if (task.job != "job-000001" || task.state != TaskState::kRunning)
          continue;
        double& at = began[{task.job, task.task}];
        if (at == 0) at = leader_.now();
        if (leader_.now() - at >= run_s) worker->Finish(task.job, task.task);
      }
    }
  }
  leader_.Add(LongJob("job-000002", 16));
  Run(8);
  ASSERT_GT(workers[0]->Running("job-000002"), 0u);
  Run(60);
  // The others have room for 12 of the 16.
  EXPECT_GE(Moves().finished, 10u);
  EXPECT_LE(workers[0]->Running("job-000002"), 4u);
  for (size_t i = 1; i < workers.size(); ++i)
    EXPECT_EQ(workers[i]->Running(), 16u);
  size_t running = 0;
  for (Worker* worker : workers) running += worker->Running("job-000002");
  EXPECT_EQ(running, 16u);
}

}  // namespace
}  // namespace sorrelwood
