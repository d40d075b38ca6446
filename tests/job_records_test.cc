// Tests what a controller makes of records of jobs that the state service sent
// before a job ended and that arrive after later news.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <tuple>

#include "base/constants/user_requests.h"
#include "core/api/job_api.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/state_limits.h"
#include "make_job.h"
#include "manual_state_service.h"

namespace sorrelwood::test {
namespace {

constexpr char kJob[] = "job-000001";
constexpr uint64_t kUserRequest = 1;
// Longer than the intervals between watches and between quorum reads (s).
constexpr double kStepS = 0.5;

// The answer of the state service that carries the record or the version of a
// live job.
enum class RecordSource {
  kPoll,
  kCancellation,
  kRepeatedSubmission,
  kSubmission,
  kFailoverListing,
};

// The answer of the state service that shows the end of a job.
enum class EndSource {
  kCancellation,      // which was committed
  kLateCancellation,  // of a job that has ended
  kQuorumRead,        // of a poll
};

// What the controller learns between the time at which the record is read and
// the time at which it arrives.
enum class LaterNews {
  kFirstListing,     // of a controller that has just started
  kWatch,            // with the end of the job
  kManyEnds,         // the same, and so many ends that the first is forgotten
  kListingAfter410,  // since the watch is too old
  kFailoverListing,  // before the watch shows the end of the job
};

// The job cache and the job API of one controller.
class JobRecords : public ::testing::Test {
 protected:
  JobRecords() {
    context_.now = 100;
    settings_.teams = {{"team", 100, 100, 0, 0}};
    api_.UpdateCatalog({{"big", 16, 0, 64, 100, 1, 1, 0.4, 10, {"a"}}});
    state_.SetLeader({"node-1", 1});
  }

  // Sends the actions of the core to the state service.
  void SendActions() {
    for (const Action& action : std::exchange(context_.actions, {})) {
      if (const auto* answer = std::get_if<ClientResponse>(&action))
        answer_ = *answer;
      else
        state_.Send(action);
    }
  }
  void Answer(const std::string& name) {
    SendActions();
    ManualStateService::Request* request = state_.Find(name);
    ASSERT_NE(request, nullptr) << name;
    const StateResult result = state_.TakeAnswer(request);
    context_.Deliver(result);
    SendActions();
  }
  void CarryOut(const std::string& name) {
    SendActions();
    ManualStateService::Request* request = state_.Find(name);
    ASSERT_NE(request, nullptr) << name;
    state_.CarryOut(request);
  }

  void LoadCache() {
    cache_.Tick();
    Answer("list " + keys::kLivePrefix);
    Answer("get " + keys::kLeader);
    ASSERT_TRUE(cache_.loaded());
  }
  void ApplyFailoverListing() {
    context_.ListKeys(keys::kLivePrefix, [this](const StateResult& result) {
      cache_.ApplyListing(result);
    });
    SendActions();
  }

  // Has the record read, while the job is live, and not answered yet.
  void ReadRecord(RecordSource source) {
    const std::string live_key = keys::ForLiveJob(kJob);
    switch (source) {
      case RecordSource::kPoll:
        api_.Poll(kUserRequest, kJob);
        CarryOut(record_request_ = "get " + live_key);
        return;
      case RecordSource::kCancellation:
        api_.Cancel(kUserRequest, kJob);
        CarryOut(record_request_ = "get " + live_key);
        return;
      case RecordSource::kRepeatedSubmission:
        api_.Submit(kUserRequest, MakeSmallJob(kJob).spec);
        Answer("transact " + live_key);
        CarryOut(record_request_ = "get " + live_key);
        return;
      case RecordSource::kSubmission:
        api_.Submit(kUserRequest, MakeSmallJob(kJob).spec);
        CarryOut(record_request_ = "transact " + live_key);
        return;
      case RecordSource::kFailoverListing:
        ApplyFailoverListing();
        CarryOut(record_request_ = "list " + keys::kLivePrefix);
        return;
    }
  }

  // The controller is up to date before the job is submitted, unless its first
  // listing is the later news.
  void ReadRecordBefore(LaterNews news, RecordSource source) {
    if (news != LaterNews::kFirstListing) LoadCache();
    if (source != RecordSource::kSubmission)
      state_.SubmitJob(MakeSmallJob(kJob));
    ReadRecord(source);
  }

  void Learn(LaterNews news) {
    switch (news) {
      case LaterNews::kFirstListing: LoadCacheBeside(); return;
      case LaterNews::kWatch: Answer("watch"); return;
      case LaterNews::kManyEnds: LearnManyEnds(); return;
      case LaterNews::kListingAfter410: ReloadCache(); return;
      case LaterNews::kFailoverListing:
        ApplyFailoverListing();
        AnswerLastListing();
        return;
    }
  }
  void LearnManyEnds() {
    for (size_t i = 0; i <= kFinalStateCacheJobs; ++i) {
      const std::string id = "job-1" + std::to_string(100000 + i);
      state_.SubmitJob(MakeSmallJob(id));
      state_.EndJob(id, FinalState::kDone);
    }
    Answer("watch");
    ASSERT_FALSE(cache_.FindFinalState(kJob));
  }
  void ReloadCache() {
    context_.now += kStepS;
    SendActions();
    ManualStateService::Request* watch = state_.Find("watch");
    ASSERT_NE(watch, nullptr);
    StateResult too_old = state_.TakeAnswer(watch);
    too_old.items.clear();
    too_old.too_old = true;
    context_.Deliver(too_old);
    LoadCacheBeside();
  }
  // Loads the cache while the listing that carries the record may be under way.
  void LoadCacheBeside() {
    cache_.Tick();
    AnswerLastListing();
    Answer("get " + keys::kLeader);
    ASSERT_TRUE(cache_.loaded());
  }
  void AnswerLastListing() {
    ASSERT_NO_FATAL_FAILURE(AnswerLatest("list " + keys::kLivePrefix));
  }
  // Answers the latest request of this name, which is not carried out yet.
  void AnswerLatest(const std::string& name) {
    SendActions();
    ManualStateService::Request* latest = nullptr;
    for (ManualStateService::Request& request : state_.requests())
      if (request.name == name) latest = &request;
    ASSERT_NE(latest, nullptr) << name;
    ASSERT_FALSE(latest->result) << name;
    const StateResult result = state_.TakeAnswer(latest);
    context_.Deliver(result);
    SendActions();
  }

  // Refuses the read of the final key, as the state service does above its
  // request rate.
  void RefuseFinalKey() {
    SendActions();
    while (ManualStateService::Request* request =
               state_.Find("get " + keys::ForFinalState(kJob))) {
      StateResult refused;
      refused.id = state_.TakeAnswer(request).id;
      refused.outcome = Outcome::kRefused;
      context_.Deliver(refused);
      SendActions();
    }
  }
  // Answers the final key if the controller reads it.
  void AnswerFinalKey() {
    SendActions();
    while (state_.Find("get " + keys::ForFinalState(kJob)))
      Answer("get " + keys::ForFinalState(kJob));
  }

  void ExpectToldCancelled() {
    EXPECT_EQ(answer_.status, 200);
    EXPECT_NE(answer_.body.find("cancelled"), std::string::npos)
        << answer_.body;
  }

  Context context_{1};
  ClusterSettings settings_;
  ManualStateService state_;
  JobCache cache_{&context_};
  StateLimitTracker limits_{settings_};
  JobApi api_{&context_, &cache_, &limits_, &settings_};
  ClientResponse answer_{0, 0, "", 0};
  std::string record_request_;
};

class JobRecordsTest : public JobRecords,
                       public ::testing::WithParamInterface<
                           std::tuple<RecordSource, LaterNews>> {};
// The same, with a listing as the later news.
class JobListingTest : public JobRecordsTest {};

// Guards against a cancelled job that a late record brings back (review/4).
TEST_P(JobRecordsTest, ALateRecordOfACancelledJobBringsNothingBack) {
  const auto [source, news] = GetParam();
  ASSERT_NO_FATAL_FAILURE(ReadRecordBefore(news, source));
  state_.EndJob(kJob, FinalState::kCancelled);
  ASSERT_NO_FATAL_FAILURE(Learn(news));
  ASSERT_FALSE(cache_.FindLiveJob(kJob));
  int added = 0;
  cache_.on_job_added = [&added](const std::string&) { ++added; };
  ASSERT_NO_FATAL_FAILURE(Answer(record_request_));
  EXPECT_FALSE(cache_.FindLiveJob(kJob));
  EXPECT_EQ(added, 0);
  AnswerFinalKey();
  if (source != RecordSource::kFailoverListing) ExpectToldCancelled();
}

// Guards against an ended job that stays live because the one read of its final
// key is refused (review/2).
TEST_P(JobListingTest, AJobThatAListingLacksHasEnded) {
  const auto [source, news] = GetParam();
  ASSERT_NO_FATAL_FAILURE(ReadRecordBefore(news, source));
  ASSERT_NO_FATAL_FAILURE(Answer(record_request_));
  ASSERT_TRUE(cache_.FindLiveJob(kJob));
  state_.EndJob(kJob, FinalState::kCancelled);
  int ended = 0;
  cache_.on_job_ended = [&ended](const auto&...) { ++ended; };
  ASSERT_NO_FATAL_FAILURE(Learn(news));
  RefuseFinalKey();
  EXPECT_FALSE(cache_.FindLiveJob(kJob));
  EXPECT_EQ(ended, 1);
  api_.Poll(kUserRequest + 1, kJob);
  Answer("get " + keys::ForLiveJob(kJob));
  AnswerFinalKey();
  ExpectToldCancelled();
}

// Guards against a job that a watch adds although a listing, carried out later
// and answered earlier, lacks it.
TEST_F(JobRecords, AWatchOlderThanAListingBringsNothingBack) {
  LoadCache();
  state_.SubmitJob(MakeSmallJob(kJob));
  ASSERT_NO_FATAL_FAILURE(CarryOut("watch"));
  state_.EndJob(kJob, FinalState::kCancelled);
  ApplyFailoverListing();
  ASSERT_NO_FATAL_FAILURE(AnswerLastListing());
  ASSERT_NO_FATAL_FAILURE(Answer("watch"));
  EXPECT_FALSE(cache_.FindLiveJob(kJob));
  context_.now += kStepS;
  cache_.Tick();
  ASSERT_NO_FATAL_FAILURE(Answer("watch"));
  EXPECT_EQ(cache_.FindFinalState(kJob), FinalState::kCancelled);
}

class JobRecordsOfSource : public JobRecords,
                           public ::testing::WithParamInterface<RecordSource> {
};

// Guards against a job that a late record brings back after it was cancelled at
// this controller, whose watch has shown neither its submission nor its end.
TEST_P(JobRecordsOfSource, BringNothingBackAfterACancellationHere) {
  const std::string live_key = keys::ForLiveJob(kJob);
  ASSERT_NO_FATAL_FAILURE(ReadRecordBefore(LaterNews::kWatch, GetParam()));
  api_.Cancel(kUserRequest + 1, kJob);
  ASSERT_NO_FATAL_FAILURE(AnswerLatest("get " + live_key));
  ASSERT_NO_FATAL_FAILURE(AnswerLatest("transact " + live_key));
  ExpectToldCancelled();
  int added = 0;
  cache_.on_job_added = [&added](const std::string&) { ++added; };
  ASSERT_NO_FATAL_FAILURE(Answer(record_request_));
  AnswerFinalKey();
  EXPECT_FALSE(cache_.FindLiveJob(kJob));
  EXPECT_EQ(added, 0);
  ExpectToldCancelled();
}

// Guards against a live job that ends because a listing, carried out before its
// submission and answered after it, lacks it.
TEST_F(JobRecords, AListingOlderThanASubmissionEndsNothing) {
  LoadCache();
  ApplyFailoverListing();
  ASSERT_NO_FATAL_FAILURE(CarryOut("list " + keys::kLivePrefix));
  api_.Submit(kUserRequest, MakeSmallJob(kJob).spec);
  ASSERT_NO_FATAL_FAILURE(Answer("transact " + keys::ForLiveJob(kJob)));
  EXPECT_EQ(answer_.status, 201);
  int ended = 0;
  cache_.on_job_ended = [&ended](const auto&...) { ++ended; };
  ASSERT_NO_FATAL_FAILURE(Answer("list " + keys::kLivePrefix));
  EXPECT_TRUE(cache_.FindLiveJob(kJob));
  EXPECT_EQ(ended, 0);
}

// Answers that show the end of a job, after other news of it.
class JobEndTest
    : public JobRecords,
      public ::testing::WithParamInterface<std::tuple<EndSource, LaterNews>> {
 protected:
  void LearnOfLiveJob(LaterNews news) {
    if (news != LaterNews::kFirstListing) LoadCache();
    state_.SubmitJob(MakeSmallJob(kJob));
    api_.Poll(kUserRequest, kJob);
    ASSERT_NO_FATAL_FAILURE(Answer("get " + keys::ForLiveJob(kJob)));
    ASSERT_TRUE(cache_.FindLiveJob(kJob));
  }
  // Has the end carried out or read, and not answered yet.
  void ReadEnd(EndSource source) {
    if (source != EndSource::kCancellation)
      state_.EndJob(kJob, FinalState::kCancelled);
    if (source == EndSource::kQuorumRead)
      SendQuorumRead();
    else
      api_.Cancel(kUserRequest + 1, kJob);
    CarryOut(end_request_);
  }
  void SendQuorumRead() {
    api_.Poll(kUserRequest + 1, kJob);
    context_.now += kStepS;
    api_.Tick();
  }

  const std::string end_request_ = "transact " + keys::ForLiveJob(kJob);
};

// Guards against a job that is live again, or told as such, when the answer
// with its end arrives after other news of it.
TEST_P(JobEndTest, AnEndedJobStaysEnded) {
  const auto [source, news] = GetParam();
  ASSERT_NO_FATAL_FAILURE(LearnOfLiveJob(news));
  ASSERT_NO_FATAL_FAILURE(ReadEnd(source));
  ASSERT_NO_FATAL_FAILURE(Learn(news));
  int added = 0;
  cache_.on_job_added = [&added](const std::string&) { ++added; };
  ASSERT_NO_FATAL_FAILURE(Answer(end_request_));
  AnswerFinalKey();
  ExpectToldCancelled();
  EXPECT_FALSE(cache_.FindLiveJob(kJob));
  EXPECT_EQ(cache_.FindFinalState(kJob), FinalState::kCancelled);
  EXPECT_EQ(added, 0);
}

// Guards against a live job that is taken for an ended one.
TEST_P(JobRecordsTest, ALateRecordOfALiveJobIsKept) {
  const auto [source, news] = GetParam();
  ASSERT_NO_FATAL_FAILURE(ReadRecordBefore(news, source));
  ASSERT_NO_FATAL_FAILURE(Learn(news));
  ASSERT_NO_FATAL_FAILURE(Answer(record_request_));
  EXPECT_TRUE(cache_.FindLiveJob(kJob));
  if (source == RecordSource::kFailoverListing ||
      source == RecordSource::kCancellation)
    return;
  EXPECT_EQ(answer_.status, source == RecordSource::kSubmission ? 201 : 200);
  EXPECT_NE(answer_.body.find("queued"), std::string::npos) << answer_.body;
}

// A poll of a job that leaves the cache by a listing, at a controller whose
// watch is too old.
class PollOfAnEndedJob : public JobRecords {
 protected:
  void PollLiveJob() {
    state_.SubmitJob(MakeSmallJob(kJob));
    LoadCache();
    api_.Poll(kUserRequest, kJob);
  }
  void SendQuorumRead() {
    context_.now += kStepS;
    api_.Tick();
  }
  void EndJobAndList() {
    state_.EndJob(kJob, FinalState::kCancelled);
    ReloadCache();
    RefuseFinalKey();
  }
};

// Guards against "queued" as the answer to a poll that waited for its read when
// the job left the cache.
TEST_F(PollOfAnEndedJob, IsToldTheEndBeforeItsRead) {
  ASSERT_NO_FATAL_FAILURE(PollLiveJob());
  ASSERT_NO_FATAL_FAILURE(EndJobAndList());
  SendQuorumRead();
  AnswerFinalKey();
  ExpectToldCancelled();
}

// Guards against "queued" as the answer to a poll whose read was carried out
// before the end and answered after the job left the cache.
TEST_F(PollOfAnEndedJob, IsToldTheEndAfterALateRead) {
  ASSERT_NO_FATAL_FAILURE(PollLiveJob());
  SendQuorumRead();
  ASSERT_NO_FATAL_FAILURE(CarryOut("transact " + keys::ForLiveJob(kJob)));
  ASSERT_NO_FATAL_FAILURE(EndJobAndList());
  ASSERT_NO_FATAL_FAILURE(Answer("transact " + keys::ForLiveJob(kJob)));
  AnswerFinalKey();
  ExpectToldCancelled();
}

const char* NameOf(RecordSource source) {
  static const char* const kNames[] = {"Poll", "Cancellation",
                                       "RepeatedSubmission", "Submission",
                                       "FailoverListing"};
  return kNames[static_cast<int>(source)];
}
const char* NameOf(EndSource source) {
  static const char* const kNames[] = {"Cancellation", "LateCancellation",
                                       "QuorumRead"};
  return kNames[static_cast<int>(source)];
}
const char* NameOf(LaterNews news) {
  static const char* const kNames[] = {"FirstListing", "Watch", "ManyEnds",
                                       "ListingAfter410", "FailoverListing"};
  return kNames[static_cast<int>(news)];
}
std::string SourceName(const ::testing::TestParamInfo<RecordSource>& test) {
  return NameOf(test.param);
}
template <typename Case>
std::string CaseName(const ::testing::TestParamInfo<Case>& test) {
  return std::string(NameOf(std::get<0>(test.param))) + "BeforeThe" +
         NameOf(std::get<1>(test.param));
}

constexpr RecordSource kSources[] = {
    RecordSource::kPoll, RecordSource::kCancellation,
    RecordSource::kRepeatedSubmission, RecordSource::kSubmission,
    RecordSource::kFailoverListing};

INSTANTIATE_TEST_SUITE_P(
    EachOrder, JobRecordsTest,
    ::testing::Combine(::testing::ValuesIn(kSources),
                       ::testing::Values(LaterNews::kFirstListing,
                                         LaterNews::kWatch,
                                         LaterNews::kManyEnds,
                                         LaterNews::kListingAfter410,
                                         LaterNews::kFailoverListing)),
    CaseName<JobRecordsTest::ParamType>);
INSTANTIATE_TEST_SUITE_P(
    EachOrder, JobListingTest,
    ::testing::Combine(::testing::ValuesIn(kSources),
                       ::testing::Values(LaterNews::kFirstListing,
                                         LaterNews::kListingAfter410,
                                         LaterNews::kFailoverListing)),
    CaseName<JobRecordsTest::ParamType>);

INSTANTIATE_TEST_SUITE_P(EachSource, JobRecordsOfSource,
                         ::testing::ValuesIn(kSources), SourceName);
INSTANTIATE_TEST_SUITE_P(
    EachOrder, JobEndTest,
    ::testing::Combine(
        ::testing::Values(EndSource::kCancellation,
                          EndSource::kLateCancellation, EndSource::kQuorumRead),
        ::testing::Values(LaterNews::kFirstListing, LaterNews::kWatch,
                          LaterNews::kManyEnds, LaterNews::kListingAfter410,
                          LaterNews::kFailoverListing)),
    CaseName<JobEndTest::ParamType>);

}  // namespace
}  // namespace sorrelwood::test
