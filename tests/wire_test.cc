// The published protocol's JSON: what is read, and what is refused how.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "protocol/json.h"

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
  JobSpec spec;
  std::string error;
  ASSERT_TRUE(wire::ParseSubmission(kSubmission, &spec, &error)) << error;
  EXPECT_EQ(spec.id, "job-000412");
  EXPECT_EQ(spec.team, "vision");
  EXPECT_EQ(spec.priority, Priority::kHigh);
  EXPECT_EQ(spec.tasks, 16u);
  EXPECT_EQ(spec.types, std::vector<std::string>{"g8"});
  EXPECT_TRUE(spec.one_zone);
  EXPECT_TRUE(spec.spot);
  EXPECT_EQ(spec.zone, "");
  EXPECT_DOUBLE_EQ(*spec.deadline_s, 900);
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
    JobSpec spec;
    std::string error;
    EXPECT_FALSE(wire::ParseSubmission(With(field, value), &spec, &error))
        << field << " " << value;
    EXPECT_NE(error.find(field), std::string::npos) << error;
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
    JobSpec spec;
    std::string error;
    EXPECT_EQ(wire::ParseSubmission(body, &spec, &error), may.count(field) > 0)
        << field;
    EXPECT_EQ(wire::ParseSubmission(With(field, "null"), &spec, &error),
              may.count(field) > 0)
        << field;
  }
}

TEST(Submission, MalformedBodiesAreRefused) {
  for (const char* body :
       {"", "{", "[]", "7", "null", "{}", "\xff\xfe", "{\"uid\":\"job-1\"}"}) {
    JobSpec spec;
    std::string error;
    EXPECT_FALSE(wire::ParseSubmission(body, &spec, &error)) << body;
    EXPECT_FALSE(error.empty());
  }
}

TEST(Submission, SurvivesItsRecord) {
  LiveJob job, back;
  std::string error;
  ASSERT_TRUE(wire::ParseSubmission(kSubmission, &job.spec, &error));
  job.submitted_wall_s = 1234.5;
  ASSERT_TRUE(wire::ParseLiveJob(wire::EncodeLiveJob(job), &back));
  EXPECT_EQ(back.spec.id, job.spec.id);
  EXPECT_EQ(back.spec.image, "img-07");
  EXPECT_EQ(back.spec.priority, Priority::kHigh);
  EXPECT_DOUBLE_EQ(back.spec.checkpoint_s, 30);
  EXPECT_DOUBLE_EQ(back.submitted_wall_s, 1234.5);
}

TEST(Report, IsRead) {
  Heartbeat heartbeat;
  std::string error;
  ASSERT_TRUE(wire::ParseHeartbeat(
      R"({"perch":"n-000231","endpoint":"10.1.0.232:9000","build":"g8",
          "room":"a","loaners":true,"shift":1,"tick":88,"baton":41,
          "warning_s":null,
          "parts":[{"part":"job-000412/3","try":2,"status":"running"},
                   {"part":"job-000398/0","try":1,"status":"ended",
                    "cause":"done"}]})",
      &heartbeat, &error))
      << error;
  EXPECT_EQ(heartbeat.machine, "n-000231");
  EXPECT_EQ(heartbeat.fencing_token, 41u);
  EXPECT_FALSE(heartbeat.preemption_notice_s);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].task, 3u);
  EXPECT_EQ(heartbeat.tasks[1].reason, ExitReason::kDone);
}

TEST(Report, MalformedOnesAreRefused) {
  for (const char* body :
       {"", "[]", "{}", R"({"perch":"n-1","build":"x","room":"a","shift":1})",
        R"({"perch":"n-1","build":"x","room":"a","shift":1,"tick":2,
            "parts":[{"part":"job-1","try":1,"status":"running"}]})",
        R"({"perch":"n-1","build":"x","room":"a","shift":1,"tick":2,
            "parts":[3]})"}) {
    Heartbeat heartbeat;
    std::string error;
    EXPECT_FALSE(wire::ParseHeartbeat(body, &heartbeat, &error)) << body;
    EXPECT_FALSE(error.empty());
  }
}

TEST(Answers, NameTheTokenAndTheOrders) {
  HeartbeatResponse answer;
  answer.fencing_token = 41;
  answer.commands = {{CommandKind::kStart, "job-1", 4, 2, 0},
                     {CommandKind::kStop, "job-2", 1, 1, 10},
                     {CommandKind::kForget, "job-3", 0, 1, 0}};
  const std::string text = wire::EncodeHeartbeatResponse(answer);
  for (const char* part : {"\"baton\":41", "\"launch\"", "\"job-1/4\"",
                           "\"halt\"", "\"leeway_s\":10", "\"clear\""})
    EXPECT_NE(text.find(part), std::string::npos) << text;
  answer.status = 421;
  answer.redirect = "perch-2";
  EXPECT_EQ(wire::EncodeHeartbeatResponse(answer), R"({"steward":"perch-2"})");
}

TEST(StateService, AnswersThatMakeNoSenseAreRefused) {
  StateResult result;
  bool more = false;
  EXPECT_FALSE(wire::ParseRevision("{}", &result));
  EXPECT_FALSE(wire::ParseRevision("[1]", &result));
  EXPECT_FALSE(wire::ParseItems(R"({"epoch":3,"pairs":7})", &result, &more));
  EXPECT_FALSE(wire::ParseEvents(R"({"epoch":3,"news":[{}]})", &result));
  EXPECT_FALSE(wire::ParseLease("null", &result));
  EXPECT_TRUE(wire::ParseEvents(
      R"({"epoch":433,"news":[{"set":"c/9","data":{},"stamp":433},
                              {"remove":"c/d","stamp":432}]})",
      &result));
  ASSERT_EQ(result.items.size(), 2u);
  EXPECT_TRUE(result.items[1].removed);
}

TEST(Cloud, MalformedAnswersAreRefused) {
  std::vector<MachineType> types;
  std::vector<ListedMachine> list;
  std::vector<std::string> names;
  bool more = false;
  EXPECT_FALSE(wire::ParseCatalog("{\"builds\":[]}", &types));
  EXPECT_FALSE(wire::ParseCatalog("{\"builds\":[{\"name\":\"x\"}]}", &types));
  EXPECT_FALSE(wire::ParseMachineNames("{\"perches\":[1]}", &names));
  EXPECT_FALSE(wire::ParseMachineList("{\"perches\":{}}", &list, &more));
}

}  // namespace
}  // namespace sorrelwood
