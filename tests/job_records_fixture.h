// The job cache and the job API of one controller beside a state service whose
// answers arrive in the order that a test chooses.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>

#include "base/constants/user_requests.h"
#include "core/api/job_api.h"
#include "core/coordination/job_cache.h"
#include "core/coordination/state_limits.h"
#include "make_job.h"
#include "manual_state_service.h"

namespace sorrelwood::test {

inline constexpr char kJob[] = "job-000001";
inline constexpr uint64_t kUserRequest = 1;
// Longer than the intervals between watches and between quorum reads (s).
inline constexpr double kStepS = 0.5;

// The answer of the state service that carries the record or the version of a
// live job.
enum class RecordSource {
  kPoll,
  kCancellation,
  kRepeatedSubmission,
  kSubmission,
  kFailoverListing,
};

// What the controller learns between the time at which the record is read and
// the time at which it arrives.
enum class LaterNews {
  kFirstListing,      // of a controller that has just started
  kWatch,             // with the end of the job
  kWatchAfterOutage,  // the same, after a watch was refused
  kManyEnds,          // the same, and so many ends that the first is forgotten
  kListingAfter410,   // since the watch is too old
  kFailoverListing,   // before the watch shows the end of the job
};

inline const char* NameOf(RecordSource source) {
  static const char* const kNames[] = {"Poll", "Cancellation",
                                       "RepeatedSubmission", "Submission",
                                       "FailoverListing"};
  return kNames[static_cast<int>(source)];
}
inline const char* NameOf(LaterNews news) {
  static const char* const kNames[] = {"FirstListing",     "Watch",
                                       "WatchAfterOutage", "ManyEnds",
                                       "ListingAfter410",  "FailoverListing"};
  return kNames[static_cast<int>(news)];
}
// The name of a test case for a pair of orders.
template <typename Case>
std::string CaseName(const ::testing::TestParamInfo<Case>& test) {
  return std::string(NameOf(std::get<0>(test.param))) + "BeforeThe" +
         NameOf(std::get<1>(test.param));
}

inline constexpr LaterNews kAllLaterNews[] = {
    LaterNews::kFirstListing,     LaterNews::kWatch,
    LaterNews::kWatchAfterOutage, LaterNews::kManyEnds,
    LaterNews::kListingAfter410,  LaterNews::kFailoverListing};

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
      case LaterNews::kWatchAfterOutage: LearnAfterOutage(); return;
      case LaterNews::kManyEnds: LearnManyEnds(); return;
      case LaterNews::kListingAfter410: ReloadCache(); return;
      case LaterNews::kFailoverListing:
        ApplyFailoverListing();
        AnswerLastListing();
        return;
    }
  }
  void LearnAfterOutage() {
    Refuse("watch");
    context_.now += kStepS;
    cache_.Tick();
    Answer("watch");
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

  // Refuses all requests of this name, as the state service does in an outage
  // and above its request rate.
  void Refuse(const std::string& name) {
    SendActions();
    while (ManualStateService::Request* request = state_.Find(name)) {
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

}  // namespace sorrelwood::test
