// Unit tests of the core's components and of the settings.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "base/constants/controller_capacity.h"
#include "base/constants/state_service.h"
#include "base/constants/user_requests.h"
#include "base/interval_set.h"
#include "config/capacity.h"
#include "config/cluster_settings.h"
#include "config/operator_settings.h"
#include "core/coordination/completion_store.h"
#include "core/jobs/job_table.h"
#include "core/scheduling/wait_predictor.h"
#include "peer/peer_status_codec.h"

namespace sorrelwood {
namespace {

TEST(IntervalSet, MatchesAReferenceSet) {
  std::mt19937_64 rng(7);
  IntervalSet intervals;
  std::set<uint32_t> reference;
  for (int step = 0; step < 3000; ++step) {
    const uint32_t begin = rng() % 60, end = begin + rng() % 10;
    const bool add = rng() % 2;
    add ? intervals.Add(begin, end) : intervals.Remove(begin, end);
    for (uint32_t n = begin; n < end; ++n)
      add ? (void)reference.insert(n) : (void)reference.erase(n);
    ASSERT_EQ(intervals.size(), reference.size());
    for (uint32_t n = 0; n < 72; ++n)
      ASSERT_EQ(intervals.Contains(n), reference.count(n) > 0) << n;
  }
}

TEST(Progress, CompletionBitsRoundTrip) {
  IntervalSet done, decoded;
  done.Add(0);
  done.Add(5, 9);
  done.Add(16383, 16390);
  done.Add(39999);
  for (uint32_t begin = 0; begin < 40000; begin += kTasksPerCompletionRecord) {
    const uint32_t end = std::min(begin + kTasksPerCompletionRecord, 40000u);
    DecodeCompletionBits(EncodeCompletionBits(done, begin, end), begin, 40000,
                         &decoded);
  }
  EXPECT_EQ(decoded.ranges(), done.ranges());
  // A record of the largest array stays below the state service's limit of 8
  // KiB per value.
  EXPECT_LE(
      EncodeCompletionBits(IntervalSet(0, 100000), 0, kTasksPerCompletionRecord)
          .size(),
      4096u);
}

std::shared_ptr<LiveJob> MakeJob(const std::string& id, const std::string& team,
                                 Priority priority, uint32_t tasks,
                                 double submitted_s) {
  auto job = std::make_shared<LiveJob>();
  job->spec.id = id;
  job->spec.team = team;
  job->spec.priority = priority;
  job->spec.tasks = tasks;
  job->spec.cpus = 2;
  job->spec.estimate_s = 10;
  job->submitted_wall_s = submitted_s;
  return job;
}

TEST(Queue, OrdersByGuaranteeThenPriorityThenArrival) {
  ClusterSettings settings;
  settings.teams = {{"a", 20, 100, 0, 0}, {"b", 0, 100, 0, 0}};
  JobTable jobs;
  jobs.Add(MakeJob("over", "a", Priority::kStandard, 10, 2), 1, false, 0);
  jobs.Add(MakeJob("within", "a", Priority::kLow, 10, 1), 2, false, 0);
  jobs.Add(MakeJob("high", "b", Priority::kHigh, 1, 4), 3, false, 0);
  jobs.Rank(settings, 5);
  std::vector<std::string> order;
  for (const Job* job : jobs.queue()) order.push_back(job->id());
  EXPECT_EQ(order, (std::vector<std::string>{"within", "high", "over"}));
}

TEST(Queue, PutsSmallerJobsFirstWithinATeam) {
  ClusterSettings settings;
  settings.teams = {{"a", 0, 100, 0, 0}};
  JobTable jobs;
  jobs.Add(MakeJob("large", "a", Priority::kLow, 40, 0), 1, false, 0);
  jobs.Add(MakeJob("small", "a", Priority::kLow, 4, 1), 2, false, 0);
  jobs.Add(MakeJob("as_small", "a", Priority::kLow, 5, 2), 3, false, 0);
  jobs.Rank(settings, 5);
  std::vector<std::string> order;
  for (const Job* job : jobs.queue()) order.push_back(job->id());
  EXPECT_EQ(order, (std::vector<std::string>{"small", "as_small", "large"}));
}

TEST(Queue, PutsJobsThatCanMeetTheirDeadlineFirst) {
  ClusterSettings settings;
  settings.teams = {{"a", 0, 100, 0, 0}};
  JobTable jobs;
  auto late = MakeJob("late", "a", Priority::kLow, 1, 0);
  late->spec.deadline_s = 50;
  auto fresh = MakeJob("fresh", "a", Priority::kLow, 1, 40);
  fresh->spec.deadline_s = 50;
  jobs.Add(late, 1, false, 0);
  jobs.Add(fresh, 2, false, 0);
  jobs.Rank(settings, 45);
  EXPECT_EQ(jobs.queue()[0]->id(), "fresh");
  jobs.Rank(settings, 30);
  EXPECT_EQ(jobs.queue()[0]->id(), "late");
}

TEST(Queue, TreatsAMissedObjectiveLikeADeadline) {
  ClusterSettings settings;
  settings.teams = {{"a", 0, 100, 0, 0}};
  settings.objectives = {{"wait", "slow", 30}};
  JobTable jobs;
  auto old = MakeJob("old", "a", Priority::kLow, 1, 0);
  auto fresh = MakeJob("fresh", "a", Priority::kLow, 1, 20);
  old->spec.job_class = fresh->spec.job_class = "slow";
  jobs.Add(old, 1, false, 0);
  jobs.Add(fresh, 2, false, 0);
  jobs.Rank(settings, 25);
  EXPECT_EQ(jobs.queue()[0]->id(), "old");
  jobs.Rank(settings, 35);
  EXPECT_EQ(jobs.queue()[0]->id(), "fresh");
  // The job of the missed objective does not starve.
  jobs.Rank(settings, 950);
  EXPECT_EQ(jobs.queue()[0]->id(), "old");
}

TEST(Estimates, FollowObservedRunTimes) {
  JobTable jobs;
  const auto job = MakeJob("j", "a", Priority::kLow, 1, 0);
  EXPECT_DOUBLE_EQ(jobs.EstimateRunTime(job->spec), 10);
  for (int i = 0; i < 500; ++i) jobs.LearnRunTime(job->spec, 20);
  EXPECT_NEAR(jobs.EstimateRunTime(job->spec), 20, 0.5);
}

TEST(Predictor, LearnsAKnownFunction) {
  PolicySettings policy;
  policy.wait_limit_s = 60;
  std::mt19937_64 rng(5);
  WaitFeatures features;
  const auto draw = [&] {
    features.cpu_utilisation = static_cast<double>(rng() % 100) / 100;
    features.waiting = static_cast<double>(rng() % 50);
    features.cpus = static_cast<double>(rng() % 8);
    // Waits are long exactly when utilisation is high and the queue is long.
    return features.cpu_utilisation > 0.8 && features.waiting > 20 ? 120.0
                                                                   : 5.0;
  };
  WaitPredictor predictor(policy, 3), noise(policy, 3);
  EXPECT_FALSE(predictor.Predict(ToVector(features)));
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 800; ++i) {
      const double wait = draw();
      predictor.Learn(ToVector(features), wait);
      // Waits that are independent of the features can't be predicted.
      noise.Learn(ToVector(features), rng() % 2 ? 120 : 5);
    }
    predictor.Fit();
    noise.Fit();
  }
  EXPECT_LT(predictor.mean_absolute_error_s(), 8);
  EXPECT_GT(predictor.matthews_correlation(), 0.8);
  EXPECT_LT(std::abs(noise.matthews_correlation()), 0.3);
}

TEST(Predictor, IsDeterministicForASeed) {
  PolicySettings policy;
  WaitPredictor a(policy, 9), b(policy, 9);
  std::mt19937_64 rng(2);
  for (int i = 0; i < 300; ++i) {
    WaitFeatures f;
    f.waiting = static_cast<double>(rng() % 100);
    a.Learn(ToVector(f), f.waiting * 2);
    b.Learn(ToVector(f), f.waiting * 2);
  }
  a.Fit();
  b.Fit();
  WaitFeatures f;
  f.waiting = 33;
  EXPECT_EQ(*a.Predict(ToVector(f)), *b.Predict(ToVector(f)));
  EXPECT_NEAR(*a.Predict(ToVector(f)), 66, 12);
}

const char kSettings[] = R"({
  "node_name":"perch-0","site":"a","serve_on":"10.0.0.1:8080",
  "mesh_addr":"10.0.0.1:8081","future":true,
  "siblings":[{"node_name":"perch-1","site":"b","addr":"10.0.0.2:8081"}],
  "outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
  "cluster":{"teams":[{"name":"t","cpus":4.0,"cpus_max":8.0}],
    "objectives":[{"kind":"wait","class":"fast","within_s":3.0,"share":0.8},
                  {"kind":"guarantee","within_s":20.0,"share":0.85}],
    "workers":{"report_s":2.0,"lease_s":14.0,"cancel_s":44.0},
    "state":{"rps":150.0,"write_rps":60.0,"value_kb":8.0,"txn_ops":16},
    "cloud":{"rps":4.0,"list_lag_s":5.0},
    "machine_limits":{"cpu_share":0.12,"ram_mb":72.0,"sockets":1000}}})";

// Parses settings that must be valid.
ClusterSettings ParseValid(const std::string& text) {
  const auto settings = ParseClusterSettings(text);
  if (settings) return *settings;
  ADD_FAILURE() << settings.error().Message();
  return ClusterSettings();
}

// Returns the message of a result that must be an error.
template <typename Settings>
std::string GetErrorMessage(const SettingsResult<Settings>& result) {
  EXPECT_FALSE(result.has_value());
  return result ? std::string() : result.error().Message();
}

TEST(Settings, AreParsedAndUnknownFieldsIgnored) {
  ClusterSettings settings = ParseValid(kSettings);
  EXPECT_EQ(settings.node, "perch-0");
  EXPECT_EQ(settings.peers.size(), 1u);
  EXPECT_EQ(settings.state_max_mutations_per_transaction, 16);
  ASSERT_EQ(settings.objectives.size(), 2u);
  EXPECT_EQ(settings.objectives[0].job_class, "fast");
}

// Announced limits are optional; a limit that is not named stays unchanged.
TEST(Settings, AnnouncedStateServiceLimits) {
  ClusterSettings settings = ParseValid(kSettings);
  EXPECT_FALSE(settings.next_state_limits.has_value());
  const auto parse_with_next = [&](const std::string& next) {
    std::string text = kSettings;
    const std::string mutations = "\"txn_ops\":16";
    text.replace(text.find(mutations), mutations.size(),
                 mutations + ",\"next\":" + next);
    return ParseClusterSettings(text);
  };
  auto with_all =
      parse_with_next(R"({"write_rps":42.0,"value_kb":2.0,"txn_ops":5})");
  ASSERT_TRUE(with_all);
  settings = *with_all;
  EXPECT_DOUBLE_EQ(settings.next_state_limits->mutations_per_s, 42);
  EXPECT_DOUBLE_EQ(settings.next_state_limits->max_value_kib, 2);
  EXPECT_EQ(settings.next_state_limits->max_mutations_per_transaction, 5);
  auto with_one = parse_with_next(R"({"value_kb":2.0})");
  ASSERT_TRUE(with_one);
  settings = *with_one;
  EXPECT_DOUBLE_EQ(settings.next_state_limits->mutations_per_s, 60);
  EXPECT_EQ(settings.next_state_limits->max_mutations_per_transaction, 16);
  std::string error = GetErrorMessage(parse_with_next(R"({"txn_ops":1})"));
  EXPECT_EQ(error.find("cluster.state.next.txn_ops"), 0u) << error;
  error = GetErrorMessage(parse_with_next("7"));
  EXPECT_EQ(error.find("cluster.state.next"), 0u) << error;
}

TEST(Settings, ErrorsNameTheField) {
  const std::pair<const char*, const char*> cases[] = {
      {"\"10.0.0.1:8080\"", "serve_on"},
      {"\"10.2.0.1:2379\"", "outside.state"},
      {"14.0", "cluster.workers.lease_s"},
      {"\"t\"", "cluster.teams[0].name"}};
  for (const auto& [text, field] : cases) {
    std::string bad = kSettings;
    bad.replace(bad.find(text), std::string(text).size(), "false");
    const std::string error = GetErrorMessage(ParseClusterSettings(bad));
    EXPECT_EQ(error.find(field), 0u) << error;
  }
}

// In a team 0 or a missing field means no guarantee and no limit. An invalid
// objective is ignored, since the service can run without it.
TEST(Settings, OptionalFieldsAndInvalidObjectives) {
  std::string text = kSettings;
  const std::string team = "{\"name\":\"t\",\"cpus\":4.0,\"cpus_max\":8.0}";
  text.replace(text.find(team), team.size(),
               "{\"name\":\"t\",\"cpus\":4.0,\"cpus_max\":8.0},"
               "{\"name\":\"zero\",\"cpus\":0.0,\"cpus_max\":0.0},"
               "{\"name\":\"missing\"}");
  text.replace(text.find("\"wait\""), 6, "17");
  const ClusterSettings settings = ParseValid(text);
  ASSERT_EQ(settings.teams.size(), 3u);
  EXPECT_EQ(settings.teams[0].cpus_max, 8);
  for (size_t i : {1u, 2u}) {
    EXPECT_EQ(settings.teams[i].cpus, 0);
    EXPECT_EQ(settings.teams[i].cpus_max, kNoLimit);
  }
  EXPECT_EQ(settings.objectives.size(), 1u);
  ASSERT_EQ(settings.ignored_objectives.size(), 1u);
  EXPECT_EQ(settings.ignored_objectives[0].find("cluster.objectives[0].kind"),
            0u);
}

// Sockets limit the connections and memory limits the threads: with the limits
// of a large deployment, of the smallest machine, and with too little memory.
TEST(Settings, ConnectionsFitSocketsAndThreadsFitMemory) {
  ClusterSettings settings = ParseValid(kSettings);
  EXPECT_EQ(MaxConnections(settings), 900u);
  settings.socket_limit = 3034;
  settings.memory_limit_mib = 188;
  // Allows 1.5 times the thousand machines of the deployment.
  EXPECT_GT(MaxConnections(settings) * kWorkerConnectionShare, 1500);
  EXPECT_EQ(MaxRequestThreads(settings),
            static_cast<size_t>(kMaxRequestThreads));
  settings.socket_limit = 900;
  settings.memory_limit_mib = 56;
  EXPECT_GT(MaxRequestThreads(settings),
            (kMaxWaitingPolls + kMaxWaitingChanges) / kUserThreadShare);
  std::string small = kSettings;
  small.replace(small.find("72.0"), 4, "20.0");
  const std::string error = GetErrorMessage(ParseClusterSettings(small));
  EXPECT_EQ(error.find("cluster.machine_limits.ram_mb: must leave memory for "
                       "at least 16 concurrent requests, got 20,"),
            0u)
      << error;
}

// Each field of the file sets its own member; members without a field keep
// their defaults.
TEST(OperatorSettings, EachFieldSetsItsMember) {
  const auto policy = ParseOperatorSettings(R"(
      waiting_policy { speculation_s: 11 wait_limit_s: 12 refit_s: 13
                       tree_depth: 4 tree_leaf_samples: 15 tree_count: 16
                       tree_samples: 17 }
      fleet { hold_s: 21 drain_s: 22 dear_drain_s: 23 base_share: 0.24
              use_spot: false }
      load_spread { headroom: 0.31 begin_imbalance: 0.33 end_imbalance: 0.32
                    lasting_s: 34 pause_s: 35 moves_per_minute: 36
                    team_moves_per_minute: 37 job_moves_per_minute: 38
                    hold_place_s: 39 most_fetches: 40 })");
  ASSERT_TRUE(policy) << policy.error().Message();
  EXPECT_EQ(policy->speculation_limit_s, 11);
  EXPECT_EQ(policy->wait_limit_s, 12);
  EXPECT_EQ(policy->predictor_fit_interval_s, 13);
  EXPECT_EQ(policy->tree_depth, 4);
  EXPECT_EQ(policy->tree_min_leaf_samples, 15);
  EXPECT_EQ(policy->tree_count, 16);
  EXPECT_EQ(policy->tree_max_samples, 17);
  EXPECT_EQ(policy->idle_release_delay_s, 21);
  EXPECT_EQ(policy->backlog_limit_s, 22);
  EXPECT_EQ(policy->premium_backlog_limit_s, 23);
  EXPECT_EQ(policy->baseline_initial_share, 0.24);
  EXPECT_FALSE(policy->use_spot);
  EXPECT_EQ(policy->spread.headroom, 0.31);
  EXPECT_EQ(policy->spread.start_imbalance, 0.33);
  EXPECT_EQ(policy->spread.stop_imbalance, 0.32);
  EXPECT_EQ(policy->spread.min_imbalance_duration_s, 34);
  EXPECT_EQ(policy->spread.cooldown_s, 35);
  EXPECT_EQ(policy->spread.moves_per_minute, 36);
  EXPECT_EQ(policy->spread.team_moves_per_minute, 37);
  EXPECT_EQ(policy->spread.job_moves_per_minute, 38);
  EXPECT_EQ(policy->spread.reservation_timeout_s, 39);
  EXPECT_EQ(policy->spread.max_concurrent_fetches, 40);
  const auto defaults = ParseOperatorSettings("");
  ASSERT_TRUE(defaults);
  EXPECT_EQ(defaults->premium_backlog_limit_s, 300);
  EXPECT_TRUE(defaults->use_spot);
}

// An error is one line with the file, the field and the reason.
TEST(Settings, ErrorsNameTheFile) {
  EXPECT_EQ(GetErrorMessage(LoadClusterSettings("/no/such.json")),
            "/no/such.json: can't be read");
  EXPECT_EQ(GetErrorMessage(ParseClusterSettings("[]")),
            "must be a JSON object, got a list");
  const std::string path = testing::TempDir() + "sorrelwood_operator_settings";
  std::ofstream(path) << "fleet { hold_s: -5 }";
  EXPECT_EQ(GetErrorMessage(LoadOperatorSettings(path)),
            path + ": fleet.hold_s: must be from 0 to 10000000, got -5");
  std::ofstream(path) << "fleet {\n  hold: 5 }";
  EXPECT_EQ(
      GetErrorMessage(LoadOperatorSettings(path)).find(path + ": line 2, "),
      0u);
  std::filesystem::remove(path);
}

TEST(OperatorSettings, RefuseInvalidValuesAndUnknownFields) {
  const auto policy = ParseOperatorSettings(
      "waiting_policy { speculation_s: 60 } fleet { hold_s: 5 }");
  ASSERT_TRUE(policy);
  EXPECT_DOUBLE_EQ(policy->speculation_limit_s, 60);
  std::string error =
      GetErrorMessage(ParseOperatorSettings("fleet { hold: 5 }"));
  EXPECT_NE(error.find("hold"), std::string::npos) << error;
  error = GetErrorMessage(ParseOperatorSettings("fleet { hold_s: -5 }"));
  EXPECT_EQ(error.find("fleet.hold_s"), 0u) << error;
}

TEST(PeerStatusCodec, RoundTripsAndRefusesMalformedMessages) {
  PeerStatus status;
  status.node = "perch-1";
  status.term = 7;
  status.leader = true;
  status.jobs = {{"job-1", 3, 4}, {"job-2", 0, 1}};
  const auto decoded = DecodePeerStatus(EncodePeerStatus(status));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->node, "perch-1");
  EXPECT_EQ(decoded->jobs.size(), 2u);
  EXPECT_EQ(decoded->jobs[0].running, 4u);
  EXPECT_FALSE(DecodePeerStatus(""));
  EXPECT_FALSE(DecodePeerStatus("not a note"));
  EXPECT_FALSE(DecodePeerStatus(std::string(64, '\xff')));
}

}  // namespace
}  // namespace sorrelwood
