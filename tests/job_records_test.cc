// Tests what a controller makes of records of jobs that the state service sent
// before a job ended and that arrive after later news.
#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "job_records_fixture.h"

namespace sorrelwood::test {
namespace {

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
  Refuse("get " + keys::ForFinalState(kJob));
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

std::string SourceName(const ::testing::TestParamInfo<RecordSource>& test) {
  return NameOf(test.param);
}

constexpr RecordSource kSources[] = {
    RecordSource::kPoll, RecordSource::kCancellation,
    RecordSource::kRepeatedSubmission, RecordSource::kSubmission,
    RecordSource::kFailoverListing};

INSTANTIATE_TEST_SUITE_P(EachOrder, JobRecordsTest,
                         ::testing::Combine(::testing::ValuesIn(kSources),
                                            ::testing::ValuesIn(kAllLaterNews)),
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
}  // namespace
}  // namespace sorrelwood::test
