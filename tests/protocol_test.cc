// The published protocol's JSON: what is read, and what is refused how.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "protocol/client_codec.h"
#include "protocol/cloud_codec.h"
#include "protocol/state_service_codec.h"
#include "protocol/stored_records_codec.h"
#include "protocol/worker_codec.h"

namespace sorrelwood {
namespace {

const char kSubmission[] =
    R"({"uid":"job-000412","roster":"train","crew":"vision","shape":"sweep",
        "urgency":"high","parts":16.0,"cores":8.0,"cards":1.0,"memory_gb":64.0,
        "bundle":"img-07","size_gb":6.2,"builds":["g8"],"room":null,
        "one_zone":true,"scatter":false,"loaners":true,"expected_s":240.0,
        "bookmark_s":30.0,"stash_s":4.0,"due_s":900.0,"unknown":{"a":1}})";

std::string With(const std::string& field, const std::string& value) {
  std::string text = kSubmission;
  const size_t at = text.find("\"" + field + "\":");
  const size_t from = at + field.size() + 3;
  size_t depth = 0, to = from;
  for (; to < text.size(); ++to) {
    if (text[to] == '[' || text[to] == '{') ++depth;
    if (text[to] == ']' || (text[to] == '}' && depth > 0)) --depth;
    if (depth == 0 && (text[to] == ',' || text[to] == '}') &&
        text[to - 1] != ']')
      break;
    if (depth == 0 && text[to] == ']') {
      ++to;
      break;
    }
  }
  return text.substr(0, from) + value + text.substr(to);
}

TEST(Submission, IsRead) {
  const auto spec = protocol::ParseSubmission(kSubmission);
  ASSERT_TRUE(spec) << spec.error().Message();
  EXPECT_EQ(spec->id, "job-000412");
  EXPECT_EQ(spec->team, "vision");
  EXPECT_EQ(spec->priority, Priority::kHigh);
  EXPECT_EQ(spec->tasks, 16u);
  EXPECT_EQ(spec->types, std::vector<std::string>{"g8"});
  EXPECT_TRUE(spec->one_zone);
  EXPECT_TRUE(spec->spot);
  EXPECT_EQ(spec->zone, "");
  EXPECT_DOUBLE_EQ(*spec->deadline_s, 900);
}

TEST(Submission, IsRefusedWithTheFieldThatIsWrong) {
  const std::pair<const char*, const char*> bad[] = {
      {"uid", "\"no-such-form\""},
      {"uid", "7"},
      {"parts", "0"},
      {"parts", "100001"},
      {"parts", "1.5"},
      {"parts", "-1"},
      {"cores", "\"8\""},
      {"cores", "-2"},
      {"urgency", "\"asap\""},
      {"shape", "\"ring\""},
      {"builds", "[1]"},
      {"builds", "[]"},
      {"one_zone", "1"},
      {"memory_gb", "null"},
      {"crew", "\"\""},
      {"due_s", "\"soon\""}};
  for (const auto& [field, value] : bad) {
    const auto spec = protocol::ParseSubmission(With(field, value));
    ASSERT_FALSE(spec) << field << " " << value;
    const std::string message = spec.error().Message();
    EXPECT_NE(message.find(field), std::string::npos) << message;
    EXPECT_EQ(spec.error().field, field);
  }
}

TEST(Submission, OnlyWhatMayBeNullMayBeLeftOut) {
  const std::set<std::string> may = {"builds", "room", "due_s"};
  for (const char* field :
       {"uid",     "roster",     "crew",       "shape",     "urgency",
        "parts",   "cores",      "cards",      "memory_gb", "bundle",
        "size_gb", "builds",     "room",       "one_zone",  "scatter",
        "loaners", "expected_s", "bookmark_s", "stash_s",   "due_s"}) {
    std::string body = kSubmission;  // the same field under another name
    body.replace(body.find("\"" + std::string(field) + "\":") + 1,
                 std::string(field).size(), "other");
    EXPECT_EQ(protocol::ParseSubmission(body).has_value(), may.count(field) > 0)
        << field;
    EXPECT_EQ(protocol::ParseSubmission(With(field, "null")).has_value(),
              may.count(field) > 0)
        << field;
  }
}

TEST(Submission, MalformedBodiesAreRefused) {
  for (const char* body :
       {"", "{", "[]", "7", "null", "{}", "\xff\xfe", "{\"uid\":\"job-1\"}"}) {
    const auto spec = protocol::ParseSubmission(body);
    ASSERT_FALSE(spec) << body;
    EXPECT_FALSE(spec.error().Message().empty());
  }
}

TEST(Submission, SurvivesItsRecord) {
  const auto spec = protocol::ParseSubmission(kSubmission);
  ASSERT_TRUE(spec);
  const auto job =
      protocol::ParseLiveJob(protocol::EncodeLiveJob({*spec, 1234.5}));
  ASSERT_TRUE(job);
  EXPECT_EQ(job->spec.id, spec->id);
  EXPECT_EQ(job->spec.image, "img-07");
  EXPECT_EQ(job->spec.priority, Priority::kHigh);
  EXPECT_DOUBLE_EQ(job->spec.checkpoint_s, 30);
  EXPECT_DOUBLE_EQ(job->submitted_wall_s, 1234.5);
}

TEST(Report, IsRead) {
  const auto heartbeat = protocol::ParseHeartbeat(
      R"({"perch":"n-000231","endpoint":"10.1.0.232:9000","build":"g8",
          "room":"a","loaners":true,"shift":1,"tick":88,"baton":41,
          "warning_s":null,
          "parts":[{"part":"job-000412/3","try":2,"status":"running"},
                   {"part":"job-000398/0","try":1,"status":"ended",
                    "cause":"done"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().Message();
  EXPECT_EQ(heartbeat->machine, "n-000231");
  EXPECT_EQ(heartbeat->fencing_token, 41u);
  EXPECT_FALSE(heartbeat->preemption_notice_s);
  ASSERT_EQ(heartbeat->tasks.size(), 2u);
  EXPECT_EQ(heartbeat->tasks[0].task, 3u);
  EXPECT_EQ(heartbeat->tasks[1].reason, ExitReason::kDone);
}

TEST(Report, MalformedOnesAreRefused) {
  for (const char* body :
       {"", "[]", "{}", R"({"perch":"n-1","build":"x","room":"a","shift":1})",
        R"({"perch":"n-1","build":"x","room":"a","shift":1,"tick":2,
            "parts":[{"part":"job-1","try":1,"status":"running"}]})",
        R"({"perch":"n-1","build":"x","room":"a","shift":1,"tick":2,
            "parts":[3]})"}) {
    const auto heartbeat = protocol::ParseHeartbeat(body);
    ASSERT_FALSE(heartbeat) << body;
    EXPECT_FALSE(heartbeat.error().Message().empty());
  }
}

TEST(Answers, NameTheTokenAndTheOrders) {
  HeartbeatResponse answer;
  answer.fencing_token = 41;
  answer.commands = {{CommandKind::kStart, "job-1", 4, 2, 0},
                     {CommandKind::kStop, "job-2", 1, 1, 10},
                     {CommandKind::kForget, "job-3", 0, 1, 0}};
  const std::string text = protocol::EncodeHeartbeatResponse(answer);
  for (const char* part : {"\"baton\":41", "\"launch\"", "\"job-1/4\"",
                           "\"halt\"", "\"leeway_s\":10", "\"clear\""})
    EXPECT_NE(text.find(part), std::string::npos) << text;
  answer.status = 421;
  answer.redirect = "perch-2";
  EXPECT_EQ(protocol::EncodeHeartbeatResponse(answer),
            R"({"steward":"perch-2"})");
}

TEST(StateService, AnswersThatMakeNoSenseAreRefused) {
  EXPECT_FALSE(protocol::ParseTransactionAnswer("{}"));
  EXPECT_FALSE(protocol::ParseTransactionAnswer("[1]"));
  EXPECT_FALSE(protocol::ParseItemPage(R"({"epoch":3,"pairs":7})"));
  EXPECT_FALSE(protocol::ParseWatchAnswer(R"({"epoch":3,"news":[{}]})"));
  EXPECT_FALSE(protocol::ParseLease("null"));
  const auto watched = protocol::ParseWatchAnswer(
      R"({"epoch":433,"news":[{"set":"c/9","data":{},"stamp":433},
                              {"remove":"c/d","stamp":432}]})");
  ASSERT_TRUE(watched);
  ASSERT_EQ(watched->changes.size(), 2u);
  EXPECT_TRUE(watched->changes[1].removed);
}

TEST(Cloud, MalformedAnswersAreRefused) {
  EXPECT_FALSE(protocol::ParseCatalog("{\"builds\":[]}"));
  EXPECT_FALSE(protocol::ParseCatalog("{\"builds\":[{\"name\":\"x\"}]}"));
  EXPECT_FALSE(protocol::ParseMachineNames("{\"perches\":[1]}"));
  EXPECT_FALSE(protocol::ParseMachinePage("{\"perches\":{}}"));
}

}  // namespace
}  // namespace sorrelwood
