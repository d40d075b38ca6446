// Tests the behaviour when the state service lowers its limits.
#include "core/coordination/state_limits.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "base/constants/user_requests.h"
#include "core/api/job_api.h"
#include "core/coordination/completion_store.h"
#include "core/coordination/keys.h"
#include "core/coordination/state_writer.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {
namespace {

ClusterSettings AnnounceLimits(double value_kb, int txn_ops) {
  ClusterSettings settings;
  settings.next_state_limits = StateLimits{42, value_kb, txn_ops};
  return settings;
}

StateResult MakeRefusal(StateRefusal reason) {
  StateResult result;
  result.outcome = Outcome::kRefused;
  result.refusal = reason;
  return result;
}

TEST(StateLimits, AnnouncedLimitsApplyAfterARefusal) {
  StateLimitTracker limits(AnnounceLimits(2, 5));
  EXPECT_EQ(limits.max_mutations(), 5);
  EXPECT_EQ(limits.max_preconditions(), 20u);
  EXPECT_EQ(limits.max_value_bytes(), 8192u);
  EXPECT_DOUBLE_EQ(limits.mutations_per_s(), 60);
  limits.ObserveResult(MakeRefusal(StateRefusal::kNone));
  EXPECT_EQ(limits.max_value_bytes(), 8192u);
  limits.ObserveResult(MakeRefusal(StateRefusal::kTooLarge));
  EXPECT_EQ(limits.max_value_bytes(), 2048u);
  EXPECT_DOUBLE_EQ(limits.mutations_per_s(), 60);
  limits.ObserveResult(MakeRefusal(StateRefusal::kTooManyChanges));
  EXPECT_DOUBLE_EQ(limits.mutations_per_s(), 42);
  limits.ObserveResult(StateResult());
  EXPECT_EQ(limits.max_value_bytes(), 2048u);
}

TEST(StateLimits, StayUnchangedWithoutAnnouncement) {
  StateLimitTracker limits{ClusterSettings()};
  limits.ObserveResult(MakeRefusal(StateRefusal::kTooLarge));
  limits.ObserveResult(MakeRefusal(StateRefusal::kTooManyChanges));
  EXPECT_EQ(limits.max_mutations(), 16);
  EXPECT_EQ(limits.max_value_bytes(), 8192u);
  EXPECT_DOUBLE_EQ(limits.mutations_per_s(), 60);
}

// A state service that enforces limits, with the leader's writer to it.
class LimitedStateService {
 public:
  explicit LimitedStateService(const ClusterSettings& settings)
      : limits_(settings),
        context_(1),
        job_cache_(&context_),
        election_(&context_, &job_cache_, "node-0", 14, 39),
        writer_(&context_, &election_, &limits_) {}

  size_t max_value_bytes = 8192;
  size_t max_mutations = 16;

  StateWriter& writer() { return writer_; }
  const StateLimitTracker& limits() const { return limits_; }
  const std::map<std::string, std::string>& values() const { return values_; }
  int refused_count() const { return refused_count_; }
  StateResult ListAll() const {
    StateResult listing;
    for (const auto& [key, value] : values_)
      listing.items.push_back({key, value, 1, false});
    return listing;
  }

  // Calls `before_write` before each round of writes.
  void Run(double seconds, const std::function<void()>& before_write) {
    for (const double until = now_ + seconds; now_ < until; now_ += 0.04) {
      context_.now = now_;
      if (before_write) before_write();
      writer_.Tick();
      for (const Action& action : std::exchange(context_.actions, {}))
        if (const auto* sent = std::get_if<StateTransaction>(&action))
          Serve(*sent);
    }
  }

 private:
  void Serve(const StateTransaction& transaction) {
    StateResult result;
    result.id = transaction.id;
    result.outcome = Outcome::kOk;
    for (const Mutation& op : transaction.mutations)
      if (op.value.size() > max_value_bytes ||
          transaction.mutations.size() > max_mutations) {
        result = MakeRefusal(StateRefusal::kTooLarge);
        result.id = transaction.id;
      }
    if (result.outcome == Outcome::kOk) {
      for (const Mutation& op : transaction.mutations) {
        if (op.remove)
          values_.erase(op.key);
        else
          values_[op.key] = op.value;
      }
    } else {
      ++refused_count_;
    }
    limits_.ObserveResult(result);
    context_.Deliver(result);
  }

  StateLimitTracker limits_;
  Context context_;
  JobCache job_cache_;
  LeaderElection election_;
  StateWriter writer_;
  std::map<std::string, std::string> values_;
  double now_ = 100;
  int refused_count_ = 0;
};

TEST(StateWriter, AValueThatIsAlwaysRefusedDelaysNothing) {
  LimitedStateService store{ClusterSettings()};
  int dropped = 0;
  const std::string large(9000, 'x');
  store.writer().Put("large", "\"" + large + "\"",
                     {nullptr, [&] { ++dropped; }, /*urgent=*/false});
  for (int i = 0; i < 30; ++i)
    store.writer().Put("small-" + std::to_string(i), "1");
  store.Run(3, nullptr);
  EXPECT_EQ(store.values().size(), 30u);
  EXPECT_EQ(dropped, 1);
  // The large value is refused once in a batch and once alone.
  EXPECT_EQ(store.refused_count(), 2);
}

TEST(StateWriter, BatchesKeepToAnAnnouncedSmallerLimit) {
  LimitedStateService store(AnnounceLimits(2, 5));
  store.max_mutations = 5;
  for (int i = 0; i < 100; ++i)
    store.writer().Put("small-" + std::to_string(i), "1");
  store.Run(5, nullptr);
  EXPECT_EQ(store.values().size(), 100u);
  EXPECT_EQ(store.refused_count(), 0);
}

std::shared_ptr<LiveJob> MakeArray(uint32_t tasks) {
  auto job = std::make_shared<LiveJob>();
  job->spec.id = "job-1";
  job->spec.tasks = tasks;
  job->spec.cpus = 1;
  return job;
}

class ProgressLimits : public ::testing::TestWithParam<size_t> {};

// Guards against lost progress of an array of the maximum size that is written
// before and after the limits become lower.
TEST_P(ProgressLimits, KeepsProgressWhenTheValueLimitShrinks) {
  constexpr uint32_t kTasks = kMaxTasksPerJob;
  const size_t lowered_limit = GetParam();
  LimitedStateService store(
      AnnounceLimits(static_cast<double>(lowered_limit) / 1024, 5));
  JobTable jobs;
  CompletionStore progress(&jobs, &store.writer(), &store.limits());
  Job* job = jobs.Add(MakeArray(kTasks), 1, false, 0);
  const auto complete = [&](uint32_t begin, uint32_t end) {
    for (uint32_t n = begin; n < end; ++n) jobs.MarkDone(job, n);
    progress.MarkDirty("job-1");
  };
  complete(0, 20000);
  complete(99990, 99995);
  store.Run(10, [&] { progress.Write(); });
  EXPECT_EQ(job->progress.committed.size(), 20005u);
  EXPECT_EQ(store.refused_count(), 0);
  for (const auto& [key, value] : store.values())
    EXPECT_EQ(value[0], '"') << key << " is not in the old format";

  store.max_value_bytes = lowered_limit;
  store.max_mutations = 5;
  complete(20000, 20003);
  complete(70001, 70002);
  store.Run(30, [&] { progress.Write(); });
  EXPECT_EQ(job->progress.committed.ranges(), job->progress.done.ranges());
  EXPECT_LE(store.refused_count(), 4);

  // The next leader reads both formats.
  JobTable next_jobs;
  CompletionStore next(&next_jobs, &store.writer(), &store.limits());
  next.Load(store.ListAll());
  Job* restored = next_jobs.Add(MakeArray(kTasks), 1, true, 0);
  next.Restore(restored);
  next.FinishLoading();
  EXPECT_EQ(restored->progress.done.ranges(), job->progress.done.ranges());
  next.Remove("job-1");
  store.Run(10, nullptr);
  EXPECT_TRUE(store.values().empty());
}

INSTANTIATE_TEST_SUITE_P(Sizes, ProgressLimits,
                         ::testing::Values(2048, 1024, 512, 256));

// The previous version reads any string of hex digits as a full record, so a
// partial record must not be readable for it.
TEST(Progress, APartialRecordIsNoFullRecord) {
  CompletionRecord partial{4096, "ff"};
  EXPECT_EQ(protocol::EncodeCompletionRecord(partial),
            R"({"bits":"ff","from":4096})");
  const auto read = protocol::ParseCompletionRecord(
      protocol::EncodeCompletionRecord(partial));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->first_task, 4096u);
  EXPECT_EQ(read->bits_hex, "ff");
  for (const char* bad :
       {"{}", "7", "[]", R"({"from":1})", R"({"from":-1,"bits":"f"})",
        R"({"from":100000,"bits":"f"})", R"({"from":0,"bits":"xyz"})"})
    EXPECT_FALSE(protocol::ParseCompletionRecord(bad)) << bad;
}

// Submits jobs of users under a limit on the size of values.
class Submissions : public ::testing::Test {
 protected:
  Submissions()
      : limits_(settings_),
        job_cache_(&context_),
        job_api_(&context_, &job_cache_, &limits_, &settings_) {
    job_api_.UpdateCatalog({{"big", 16, 0, 64, 100, 1, 1, 0.4, 10, {"zone"}}});
  }
  static ClusterSettings Settings() {
    ClusterSettings settings = AnnounceLimits(2, 5);
    settings.teams = {{"team", 10, 100, 0, 0}};
    return settings;
  }
  JobSpec MakeLargeSpec() const {
    JobSpec spec;
    spec.id = "job-1";
    spec.team = "team";
    spec.tasks = 1;
    spec.cpus = 1;
    spec.types = {"big", std::string(3000, 'x')};
    return spec;
  }
  // Submits a job and returns the status of the response. The state service
  // takes values of up to `max_value_bytes` and, if `known`, already has the
  // job.
  int Submit(const JobSpec& spec, size_t max_value_bytes, bool known) {
    job_api_.Submit(++request_, spec);
    int status = 0;
    for (int round = 0; round < 5; ++round) {
      for (const Action& action : std::exchange(context_.actions, {})) {
        if (const auto* answer = std::get_if<ClientResponse>(&action))
          status = answer->status;
        StateResult result;
        if (const auto* sent = std::get_if<StateTransaction>(&action)) {
          result.id = sent->id;
          const bool fits = sent->mutations[0].value.size() <= max_value_bytes;
          result.outcome = !fits   ? Outcome::kRefused
                           : known ? Outcome::kConflict
                                   : Outcome::kOk;
          if (!fits) result.refusal = StateRefusal::kTooLarge;
          result.revision = 5;
        } else if (const auto* get = std::get_if<StateGet>(&action)) {
          result.id = get->id;
          result.outcome = Outcome::kConflict;
          if (known && get->key == keys::ForLiveJob(spec.id)) {
            LiveJob job;
            job.spec = spec;
            result.outcome = Outcome::kOk;
            result.items = {{get->key, protocol::EncodeLiveJob(job), 4, false}};
          }
        } else {
          continue;
        }
        limits_.ObserveResult(result);
        context_.Deliver(result);
      }
    }
    return status;
  }

  ClusterSettings settings_ = Settings();
  StateLimitTracker limits_;
  Context context_{1};
  JobCache job_cache_;
  JobApi job_api_;
  uint64_t request_ = 0;
};

TEST_F(Submissions, AreStoredWhileTheyFit) {
  EXPECT_EQ(Submit(MakeLargeSpec(), 8192, false), 201);
}

TEST_F(Submissions, ThatCannotBeStoredAreRefused) {
  EXPECT_EQ(Submit(MakeLargeSpec(), 2048, false), 400);
  EXPECT_EQ(Submit(MakeLargeSpec(), 2048, false),
            400);  // now known to be too large
  JobSpec larger = MakeLargeSpec();
  larger.types.push_back(std::string(9000, 'y'));
  EXPECT_EQ(Submit(larger, 8192, false), 400);
}

TEST_F(Submissions, AcceptedUnderHigherLimitsStayKnown) {
  EXPECT_EQ(Submit(MakeLargeSpec(), 2048, true), 200);
}

}  // namespace
}  // namespace sorrelwood
