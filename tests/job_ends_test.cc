// Tests that a job which has ended stays ended, in whatever order answers with
// its end and other news of it arrive.
#include <gtest/gtest.h>

#include <string>
#include <tuple>

#include "job_records_fixture.h"

namespace sorrelwood::test {
namespace {

// The answer of the state service that shows the end of a job.
enum class EndSource {
  kCancellation,      // which was committed
  kLateCancellation,  // of a job that has ended
  kQuorumRead,        // of a poll
};

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
    Refuse("get " + keys::ForFinalState(kJob));
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

const char* NameOf(EndSource source) {
  static const char* const kNames[] = {"Cancellation", "LateCancellation",
                                       "QuorumRead"};
  return kNames[static_cast<int>(source)];
}

INSTANTIATE_TEST_SUITE_P(
    EachOrder, JobEndTest,
    ::testing::Combine(::testing::Values(EndSource::kCancellation,
                                         EndSource::kLateCancellation,
                                         EndSource::kQuorumRead),
                       ::testing::ValuesIn(kAllLaterNews)),
    CaseName<JobEndTest::ParamType>);

}  // namespace
}  // namespace sorrelwood::test
