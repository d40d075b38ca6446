// Unit tests of the load spread components: load bounds, imbalance, machine
// sets, move budget and speed tracker.
#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "config/capacity.h"
#include "config/operator_settings.h"
#include "core/balance/image_affinity.h"
#include "core/balance/imbalance.h"
#include "core/balance/load_bounds.h"
#include "core/balance/machine_sets.h"
#include "core/balance/move_budget.h"
#include "core/balance/speed_tracker.h"

namespace sorrelwood {
namespace {

// Provides machines with 16 cores in two zones, and one team without a limit.
class BoundsTest : public ::testing::Test {
 protected:
  BoundsTest() { settings_.teams = {{"team", 0, kNoLimit, 0, kNoLimit}}; }

  Machine* AddMachine(const std::string& name, const std::string& zone = "a") {
    Machine* machine = machines_.Add(name);
    machine->type = &type_;
    machine->zone = zone;
    machine->lifecycle.token_acknowledged = true;
    return machine;
  }
  // Adds a job of which `count` tasks already run on the machine.
  Job* AddRunningJob(Machine* machine, uint32_t count,
                     const std::string& team = "team",
                     const std::string& zone = "") {
    auto record = std::make_shared<LiveJob>();
    record->spec.id = "job-" + std::to_string(100000 + next_job_++);
    record->spec.team = team;
    record->spec.tasks = count;
    record->spec.cpus = 1;
    record->spec.zone = zone;
    Job* job = jobs_.Add(record, 1, false, 0);
    for (uint32_t task = 0; task < count; ++task) {
      TaskAttempt attempt;
      attempt.resources.cpus = 1;
      attempt.record = record;
      jobs_.MarkPlaced(job, task, machine->name, machine->zone);
      machine->AddAttempt({record->spec.id, task}, attempt);
    }
    return job;
  }
  Imbalance MeasureImbalance() {
    bounds_.Update(0);
    return ImbalanceMeter(&bounds_).Measure(&machines_);
  }

  MachineType type_{"big", 16, 0, 64, 100, 1, 1, 0.4, 10, {"a", "b"}};
  ClusterSettings settings_;
  SpreadSettings spread_;
  JobTable jobs_;
  MachineTable machines_;
  LoadBounds bounds_{&jobs_, &machines_, &settings_, spread_};
  int next_job_ = 0;
};

TEST_F(BoundsTest, AMachinesBoundFollowsTheDemand) {
  Machine* busy = AddMachine("n-1");
  AddMachine("n-2");
  Job* job = AddRunningJob(busy, 8);
  bounds_.Update(0);
  // 8 of 32 cores are in demand: 4 for each machine, plus a quarter of
  // headroom.
  EXPECT_DOUBLE_EQ(bounds_.TotalBound(*busy), 5);
  EXPECT_DOUBLE_EQ(bounds_.TeamBound("team", *busy), 5);
  EXPECT_FALSE(bounds_.AllowsTask(*job, *busy));
  EXPECT_TRUE(bounds_.AllowsTask(*job, *machines_.Find("n-2")));
}

TEST_F(BoundsTest, PendingTasksRaiseTheBounds) {
  Machine* busy = AddMachine("n-1");
  AddMachine("n-2");
  Job* job = AddRunningJob(busy, 8);
  job->progress.pending.Add(100, 124);
  bounds_.Update(0);
  EXPECT_DOUBLE_EQ(bounds_.TotalBound(*busy), 20);
  EXPECT_TRUE(bounds_.AllowsTask(*job, *busy));
}

TEST_F(BoundsTest, OneTaskIsNoImbalance) {
  Machine* machine = AddMachine("n-1");
  for (int i = 2; i < 20; ++i) AddMachine("n-" + std::to_string(i));
  AddRunningJob(machine, 1);
  EXPECT_EQ(MeasureImbalance().share, 0);
}

TEST_F(BoundsTest, DrainingMachinesDoNotCount) {
  Machine* busy = AddMachine("n-1");
  AddMachine("n-2")->role.excess = true;
  AddRunningJob(busy, 8);
  EXPECT_EQ(MeasureImbalance().share, 0);
}

TEST_F(BoundsTest, ImbalanceIsTheShareAboveTheBounds) {
  Machine* busy = AddMachine("n-1");
  AddMachine("n-2");
  AddRunningJob(busy, 8);
  const Imbalance imbalance = MeasureImbalance();
  // 3 of 8 cores are above the bound of 5.
  EXPECT_DOUBLE_EQ(imbalance.share, 3.0 / 8);
  ASSERT_EQ(imbalance.crowded.size(), 1u);
  EXPECT_EQ(imbalance.crowded[0].machine, busy);
}

TEST_F(BoundsTest, TasksWithoutAnAlternativeAreNoImbalance) {
  Machine* busy = AddMachine("n-1", "a");
  AddMachine("n-2", "b");
  AddRunningJob(busy, 8, "team", /*zone=*/"a");
  EXPECT_EQ(MeasureImbalance().share, 0);
}

TEST_F(BoundsTest, ATeamCanOverloadAMachineOfAnEvenlyUsedFleet) {
  settings_.teams.push_back({"other", 0, kNoLimit, 0, kNoLimit});
  Machine* first = AddMachine("n-1");
  Machine* second = AddMachine("n-2");
  AddRunningJob(first, 6, "team");
  AddRunningJob(second, 6, "other");
  const Imbalance imbalance = MeasureImbalance();
  EXPECT_GT(imbalance.share, 0.15);
  ASSERT_FALSE(imbalance.crowded.empty());
  EXPECT_EQ(imbalance.crowded[0].excess_by_team.size(), 1u);
}

TEST_F(BoundsTest, LoadOfATeamEndsWithItsTasks) {
  Machine* machine = AddMachine("n-1");
  AddRunningJob(machine, 3);
  EXPECT_DOUBLE_EQ(machine->TeamCpus("team"), 3);
  while (!machine->attempts.empty())
    machine->RemoveAttempt(machine->attempts.begin());
  EXPECT_EQ(machine->TeamCpus("team"), 0);
  EXPECT_TRUE(machine->team_cpus.empty());
}

TEST_F(BoundsTest, ReservedCapacityIsNotFree) {
  Machine* machine = AddMachine("n-1");
  JobSpec spec;
  spec.cpus = 10;
  EXPECT_TRUE(machine->Fits(spec));
  machine->ReserveCapacity({8, 0, 1});
  EXPECT_FALSE(machine->Fits(spec));
  EXPECT_DOUBLE_EQ(machine->cpus_free(), 8);
  machine->ReleaseCapacity({8, 0, 1});
  EXPECT_TRUE(machine->Fits(spec));
}

TEST_F(BoundsTest, AFetchEndsWithTheLastTaskThatNeedsIt) {
  Machine* machine = AddMachine("n-1");
  AddRunningJob(machine, 2);
  machine->fetching.emplace_back("");
  machine->RemoveAttempt(machine->attempts.begin());
  EXPECT_EQ(machine->fetching.size(), 1u);
  machine->RemoveAttempt(machine->attempts.begin());
  EXPECT_TRUE(machine->fetching.empty());
}

class SetsTest : public BoundsTest {
 protected:
  SetsTest() {
    for (int i = 0; i < 40; ++i) {
      Machine* machine =
          AddMachine("n-" + std::to_string(i), i % 2 ? "a" : "b");
      machine->spot = i % 4 == 0;
      if (i % 8 == 1) machine->TouchImage("img-1");
      sets_.Add(machine);
    }
  }
  MachineSets sets_;
  std::mt19937_64 random_{7};
};

TEST_F(SetsTest, ContainTheMachinesThatAJobAllows) {
  JobSpec spec;
  EXPECT_EQ(sets_.AllowedFor(spec).cardinality(), 30u);
  spec.spot = true;
  EXPECT_EQ(sets_.AllowedFor(spec).cardinality(), 40u);
  spec.zone = "a";
  EXPECT_EQ(sets_.AllowedFor(spec).cardinality(), 20u);
  EXPECT_EQ(sets_.WithImage(sets_.AllowedFor(spec), "img-1").cardinality(), 5u);
  spec.types = {"other"};
  EXPECT_TRUE(sets_.AllowedFor(spec).isEmpty());
}

TEST_F(SetsTest, SamplesHaveNoDuplicatesAndNoRemovedMachines) {
  JobSpec spec;
  spec.zone = "a";
  sets_.Remove(*machines_.Find("n-1"));
  std::set<Machine*> sampled;
  for (Machine* machine : sets_.Sample(sets_.AllowedFor(spec), 100, &random_)) {
    EXPECT_EQ(machine->zone, "a");
    EXPECT_TRUE(sampled.insert(machine).second);
  }
  EXPECT_EQ(sampled.size(), 19u);
  EXPECT_EQ(sets_.Sample(sets_.AllowedFor(spec), 4, &random_).size(), 4u);
}

TEST(ImageAffinity, ChangesLittleWhenAMachineIsRemoved) {
  const auto find_best = [](const std::string& image, int excluded) {
    int best = -1;
    for (int i = 0; i < 50; ++i) {
      if (i == excluded) continue;
      if (best < 0 || ImageAffinityRank(image, "n-" + std::to_string(i)) <
                          ImageAffinityRank(image, "n-" + std::to_string(best)))
        best = i;
    }
    return best;
  };
  std::set<int> used;
  int changed = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string image = "img-" + std::to_string(i);
    used.insert(find_best(image, -1));
    changed += find_best(image, -1) != find_best(image, 17);
  }
  EXPECT_GT(used.size(), 40u);  // images are spread over the machines
  EXPECT_LT(changed, 12);       // 4 are expected
}

TEST(MoveBudget, LimitsMovesOfFleetTeamAndJob) {
  SpreadSettings spread;
  spread.moves_per_minute = 4;
  spread.team_moves_per_minute = 3;
  spread.job_moves_per_minute = 2;
  MoveBudget budget(spread);
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(budget.Allows("blue", "job-1", 10));
    budget.RecordMove("blue", "job-1", 10);
  }
  EXPECT_FALSE(budget.Allows("blue", "job-1", 11));
  ASSERT_TRUE(budget.Allows("blue", "job-2", 11));
  budget.RecordMove("blue", "job-2", 11);
  EXPECT_FALSE(budget.Allows("blue", "job-3", 12));
  ASSERT_TRUE(budget.Allows("green", "job-4", 12));
  budget.RecordMove("green", "job-4", 12);
  EXPECT_FALSE(budget.Allows("green", "job-5", 13));
  EXPECT_TRUE(budget.Allows("blue", "job-1", 70.5));
}

TEST(SpeedTracker, FindsASlowMachine) {
  SpeedTracker speeds;
  for (int round = 0; round < 6; ++round) {
    for (int i = 0; i < 8; ++i)
      speeds.LearnRunTime("job-1", "n-" + std::to_string(i), 10 + 0.1 * i);
    speeds.LearnRunTime("job-1", "slow", 25);
  }
  EXPECT_TRUE(speeds.IsSlow("slow"));
  for (int i = 0; i < 8; ++i)
    EXPECT_FALSE(speeds.IsSlow("n-" + std::to_string(i)));
  speeds.ForgetMachine("slow");
  EXPECT_FALSE(speeds.IsSlow("slow"));
}

TEST(SpreadSettings, AreOffByDefault) {
  auto policy = ParseOperatorSettings("fleet { hold_s: 12 }");
  ASSERT_TRUE(policy);
  EXPECT_FALSE(policy->spread.placement);
  EXPECT_FALSE(policy->spread.moves);
  policy = ParseOperatorSettings(
      "load_spread { moves: true headroom: 0.5 most_fetches: 2 }");
  ASSERT_TRUE(policy) << policy.error().Message();
  EXPECT_TRUE(policy->spread.moves);
  EXPECT_EQ(policy->spread.headroom, 0.5);
  EXPECT_EQ(policy->spread.max_concurrent_fetches, 2);
}

TEST(SpreadSettings, ErrorsNameTheField) {
  const auto error_of = [](const std::string& text) {
    const auto policy = ParseOperatorSettings(text);
    EXPECT_FALSE(policy) << text;
    return policy ? std::string() : policy.error().Message();
  };
  EXPECT_EQ(error_of("load_spread { headroom: 9 }"),
            "load_spread.headroom: must be from 0.05 to 4, got 9");
  EXPECT_EQ(error_of("load_spread { moves_per_minute: 0 }"),
            "load_spread.moves_per_minute: must be from 1 to 100000, got 0");
  EXPECT_EQ(error_of("load_spread { begin_imbalance: 0.05 }"),
            "load_spread.end_imbalance: must be less than begin_imbalance "
            "(0.05), got 0.08");
  EXPECT_NE(error_of("load_spread { often: true }").find("often"),
            std::string::npos);
}

TEST(Capacity, IsBoundedBySocketsAndMemory) {
  ClusterSettings settings;
  settings.socket_limit = 7500;
  settings.memory_limit_mib = 600;
  EXPECT_GE(MaxMachines(settings), 4000u);
  EXPECT_NE(DescribeCapacity(settings).find("bounded by sockets"),
            std::string::npos);
  settings.memory_limit_mib = 48;
  EXPECT_LT(MaxMachines(settings), 4000u);
  EXPECT_NE(DescribeCapacity(settings).find("bounded by memory"),
            std::string::npos);
}

}  // namespace
}  // namespace sorrelwood
