// A leader that ends and is back at once, with real processes on loopback: what
// it makes of a job that is cancelled while it reads its records.
#include <gtest/gtest.h>

#include <future>
#include <string>

#include "loopback/loopback_cluster.h"

namespace sorrelwood::test {
namespace {

using HoldPoint = RequestRules::HoldPoint;

constexpr double kCancelDeadlineS = 12;
constexpr double kRunS = 300;
// The controllers give a request to the state service up after 2 s, and a poll
// before that.
constexpr double kMaxHoldS = 1.5;
constexpr double kWatchDelayS = 0.15;
constexpr double kPollIntervalS = 0.01;
// An attempt counts only if the machine was fast enough for it.
constexpr int kAttempts = 4;

constexpr char kJobListing[] = "/keys?under=sw/w/live/";
// The last listing of a leader that reads its records.
constexpr char kLastRecordListing[] = "/keys?under=sw/rent/";

const ControllerOptions kControllers = {
    .operator_settings = "fleet { hold_s: 120 drain_s: 5 base_share: 0 }",
    .cancel_deadline_s = kCancelDeadlineS};

class RestartTest : public ::testing::Test {
 protected:
  void SetUp() override {
    leader_ = cluster_.WaitForLeader(20);
    ASSERT_GE(leader_, 0);
  }

  void StartJob(const std::string& job) {
    ASSERT_TRUE(cluster_.clients().Submit({job, "hot", 3, kRunS}));
    ASSERT_TRUE(WaitFor(30, [&] {
      return cluster_.history().CountPresent(job) == 3;
    })) << job;
  }

  // Ends the leader, starts it again at once, and holds its first listing of
  // the jobs. The other controllers learn late that there is no leader.
  void RestartLeader() {
    cluster_.state().SetWatchDelay(kWatchDelayS);
    rules().HoldNext(kJobListing, HoldPoint::kBeforeExecution);
    record_listings_ = rules().CountExecuted(kLastRecordListing);
    cluster_.controllers().Kill(leader_);
    cluster_.controllers().Start(leader_);
  }

  // Polls the job at the restarted leader until there is an answer.
  std::string PollUntilAnswered(const std::string& job) {
    std::string status;
    WaitFor(
        5,
        [&] {
          status = cluster_.clients().StatusAt(leader_, job);
          return !status.empty();
        },
        kPollIntervalS);
    return status;
  }

  // Cancels the job at another controller. Returns when that was confirmed.
  double Cancel(const std::string& job) {
    const int other = (leader_ + 1) % static_cast<int>(kControllers.count);
    const bool confirmed = WaitFor(
        5, [&] { return cluster_.clients().CancelAt(other, job); },
        kPollIntervalS);
    EXPECT_TRUE(confirmed);
    return Now();
  }

  bool WaitUntilRecordsAreRead() {
    const bool read = WaitFor(
        kMaxHoldS,
        [&] {
          return rules().CountExecuted(kLastRecordListing) > record_listings_;
        },
        kPollIntervalS);
    // The answer of the last listing is on its way.
    Sleep(0.05);
    return read;
  }

  void ExpectGone(const std::string& job, double cancelled_s) {
    Sleep(cancelled_s + kCancelDeadlineS - Now());
    EXPECT_EQ(cluster_.history().CountPresent(job), 0);
    for (int i = 0; i < kControllers.count; ++i)
      EXPECT_EQ(cluster_.clients().StatusAt(i, job), "cancelled") << i;
  }

  RequestRules& rules() { return cluster_.state().rules(); }
  static std::string ReadOf(const std::string& job) {
    return "/keys/sw/w/live/" + job;
  }
  static std::string JobName(int number) {
    return "job-20000" + std::to_string(number);
  }

  LoopbackCluster cluster_{kControllers, 4};
  int leader_ = -1;
  size_t record_listings_ = 0;
};

// Guards against a cancelled job that a late answer to a poll's read brings
// back at a leader that has restarted (review/4).
TEST_F(RestartTest, ALateReadBringsNoCancelledJobBack) {
  bool in_time = false;
  for (int attempt = 1; attempt <= kAttempts && !in_time; ++attempt) {
    const std::string job = JobName(attempt);
    ASSERT_NO_FATAL_FAILURE(StartJob(job));
    rules().HoldNext(ReadOf(job), HoldPoint::kBeforeAnswer);
    RestartLeader();
    auto answer =
        std::async(std::launch::async, [&] { return PollUntilAnswered(job); });
    ASSERT_TRUE(WaitFor(
        5, [&] { return rules().IsHeld(ReadOf(job)); }, kPollIntervalS));
    const double read_s = Now();
    const double cancelled_s = Cancel(job);
    rules().Release(kJobListing);
    in_time = WaitUntilRecordsAreRead() && Now() < read_s + kMaxHoldS;
    rules().Release(ReadOf(job));
    EXPECT_EQ(answer.get(), "cancelled");
    cluster_.state().SetWatchDelay(0);
    ExpectGone(job, cancelled_s);
    ASSERT_GE(cluster_.WaitForLeader(20), 0);
    leader_ = cluster_.controllers().FindLeader();
  }
  EXPECT_TRUE(in_time);
}

// Guards against a cancelled job that a leader which has restarted keeps as
// live, because the one read of its final key is refused.
TEST_F(RestartTest, AJobThatTheListingLacksIsNotKept) {
  const std::string job = JobName(0);
  ASSERT_NO_FATAL_FAILURE(StartJob(job));
  rules().Refuse("/keys/sw/w/final/" + job);
  RestartLeader();
  const std::string status = PollUntilAnswered(job);
  EXPECT_TRUE(status == "queued" || status == "running") << status;
  const double cancelled_s = Cancel(job);
  rules().Release(kJobListing);
  EXPECT_TRUE(WaitUntilRecordsAreRead());
  cluster_.state().SetWatchDelay(0);
  Sleep(cancelled_s + kCancelDeadlineS - Now());
  EXPECT_EQ(cluster_.history().CountPresent(job), 0);
}

}  // namespace
}  // namespace sorrelwood::test
