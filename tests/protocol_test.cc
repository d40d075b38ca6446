// Tests the JSON of the published protocol: the encoded bytes, the parsed
// fields, and the errors for invalid messages.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/constants/user_requests.h"
#include "core/coordination/keys.h"
#include "protocol/client_codec.h"
#include "protocol/cloud_codec.h"
#include "protocol/identifiers.h"
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

// Returns kSubmission with a different value of one field.
std::string MakeSubmissionWith(const std::string& field,
                               const std::string& value) {
  std::string text = kSubmission;
  const size_t field_begin = text.find("\"" + field + "\":");
  const size_t value_begin = field_begin + field.size() + 3;
  size_t depth = 0, value_end = value_begin;
  for (; value_end < text.size(); ++value_end) {
    if (text[value_end] == '[' || text[value_end] == '{') ++depth;
    if (text[value_end] == ']' || (text[value_end] == '}' && depth > 0))
      --depth;
    if (depth == 0 && (text[value_end] == ',' || text[value_end] == '}') &&
        text[value_end - 1] != ']')
      break;
    if (depth == 0 && text[value_end] == ']') {
      ++value_end;
      break;
    }
  }
  return text.substr(0, value_begin) + value + text.substr(value_end);
}

TEST(ClientCodec, ReadsEveryFieldOfASubmission) {
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

TEST(ClientCodec, ErrorsNameTheField) {
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
    const auto spec =
        protocol::ParseSubmission(MakeSubmissionWith(field, value));
    ASSERT_FALSE(spec) << field << " " << value;
    const std::string message = spec.error().Message();
    EXPECT_NE(message.find(field), std::string::npos) << message;
    EXPECT_EQ(spec.error().field, field);
  }
}

TEST(ClientCodec, OnlyNullableFieldsMayBeAbsent) {
  const std::set<std::string> nullable = {"builds", "room", "due_s"};
  for (const char* field :
       {"uid",     "roster",     "crew",       "shape",     "urgency",
        "parts",   "cores",      "cards",      "memory_gb", "bundle",
        "size_gb", "builds",     "room",       "one_zone",  "scatter",
        "loaners", "expected_s", "bookmark_s", "stash_s",   "due_s"}) {
    std::string body = kSubmission;  // the field renamed
    body.replace(body.find("\"" + std::string(field) + "\":") + 1,
                 std::string(field).size(), "other");
    EXPECT_EQ(protocol::ParseSubmission(body).has_value(),
              nullable.count(field) > 0)
        << field;
    EXPECT_EQ(protocol::ParseSubmission(MakeSubmissionWith(field, "null"))
                  .has_value(),
              nullable.count(field) > 0)
        << field;
  }
}

TEST(ClientCodec, RefusesMalformedBodies) {
  for (const char* body :
       {"", "{", "[]", "7", "null", "{}", "\xff\xfe", "{\"uid\":\"job-1\"}"}) {
    const auto spec = protocol::ParseSubmission(body);
    ASSERT_FALSE(spec) << body;
    EXPECT_FALSE(spec.error().Message().empty());
  }
}

TEST(ClientCodec, ErrorMessagesAreExact) {
  const std::tuple<std::string, std::string, std::string> cases[] = {
      {"shape", "\"ring\"", "shape must be sweep or daemon"},
      {"urgency", "\"asap\"", "urgency must be prod, high, standard or low"},
      {"parts", "0", "parts must be from 1 to 100000"},
      {"uid", "\"7\"", "uid is not a job id"},
      {"crew", "null", "crew is missing"},
      {"builds", "[]", "builds must be null or name a machine type"}};
  for (const auto& [field, value, message] : cases) {
    const auto spec =
        protocol::ParseSubmission(MakeSubmissionWith(field, value));
    ASSERT_FALSE(spec) << message;
    EXPECT_EQ(spec.error().Message(), message);
  }
  EXPECT_EQ(protocol::ParseSubmission("{").error().Message(),
            "the body is not JSON");
  EXPECT_EQ(protocol::ParseSubmission("[]").error().Message(),
            "the body is not a JSON object");
}

TEST(ClientCodec, WritesStatusAndError) {
  EXPECT_EQ(protocol::EncodeJobStatus("job-1", protocol::JobStatus::kDone),
            R"({"status":"done","uid":"job-1"})");
  EXPECT_EQ(protocol::EncodeJobStatus("job-1", protocol::JobStatus::kCancelled),
            R"({"status":"cancelled","uid":"job-1"})");
  EXPECT_EQ(protocol::EncodeJobStatus("job-1", protocol::JobStatus::kQueued),
            R"({"status":"queued","uid":"job-1"})");
  EXPECT_EQ(protocol::EncodeJobStatus(protocol::JobStatus::kRunning,
                                      {"job-1", 3, 13}),
            R"({"done":3,"running":13,"status":"running","uid":"job-1"})");
  EXPECT_EQ(protocol::EncodeError("no such job"), R"({"error":"no such job"})");
}

TEST(StoredRecordsCodec, LiveJobRoundTrips) {
  const auto spec = protocol::ParseSubmission(kSubmission);
  ASSERT_TRUE(spec);
  const auto job =
      protocol::ParseLiveJob(protocol::EncodeLiveJob({*spec, 1234.5}));
  ASSERT_TRUE(job);
  EXPECT_EQ(job->spec.id, spec->id);
  EXPECT_EQ(job->spec.image, "img-07");
  EXPECT_EQ(job->spec.priority, Priority::kHigh);
  EXPECT_DOUBLE_EQ(job->spec.checkpoint_interval_s, 30);
  EXPECT_DOUBLE_EQ(job->submitted_wall_s, 1234.5);
}

TEST(WorkerCodec, ReadsAHeartbeat) {
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

TEST(WorkerCodec, RefusesMalformedHeartbeats) {
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

// Guards against a report and a watch that are refused as a whole because of a
// job with the longest id that a submission may have.
TEST(WorkerCodec, ReadsTasksOfTheLongestName) {
  const std::string id = "job-" + std::string(kMaxIdBytes - 4, 'x');
  EXPECT_TRUE(protocol::IsValidJobId(id));
  EXPECT_FALSE(protocol::IsValidJobId(id + "x"));
  const auto heartbeat = protocol::ParseHeartbeat(
      R"({"perch":"n-1","build":"b","room":"a","shift":1,"tick":1,"parts":[)"
      R"({"part":")" +
      id + R"(/99999","try":18446744073709551615,"status":"running"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().Message();
  ASSERT_EQ(heartbeat->tasks.size(), 1u);
  EXPECT_EQ(heartbeat->tasks[0].job, id);
  EXPECT_EQ(heartbeat->tasks[0].task, 99999u);
}

TEST(StateServiceCodec, ReadsChangesOfTheLongestKeys) {
  const std::string key =
      keys::ForFinalState("job-" + std::string(kMaxIdBytes - 4, 'x'));
  const auto answer =
      protocol::ParseWatchAnswer(R"({"epoch":5,"news":[{"set":")" + key +
                                 R"(","data":{},"stamp":4},{"remove":")" +
                                 std::string(200, 'k') + R"(","stamp":5}]})");
  ASSERT_TRUE(answer) << answer.error().Message();
  ASSERT_EQ(answer->changes.size(), 2u);
  EXPECT_EQ(answer->changes[0].key, key);
}

TEST(WorkerCodec, ResponseHasTokenAndCommandsOrARedirect) {
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

TEST(WorkerCodec, WritesPushedCommands) {
  PushedCommands pushed;
  pushed.fencing_token = 41;
  pushed.incarnation = 2;
  pushed.commands = {{CommandKind::kStart, "job-1", 4, 2, 0},
                     {CommandKind::kStop, "job-2", 1, 1, 10},
                     {CommandKind::kForget, "job-3", 0, 1, 0}};
  EXPECT_EQ(protocol::EncodePushedCommands(pushed),
            R"({"baton":41,"orders":[)"
            R"({"part":"job-1/4","try":2,"verb":"launch"},)"
            R"({"leeway_s":10.0,"part":"job-2/1","try":1,"verb":"halt"},)"
            R"({"part":"job-3/0","try":1,"verb":"clear"}],"shift":2})");
}

TEST(StateServiceCodec, RefusesMalformedAnswersAndReadsChanges) {
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

TEST(StateServiceCodec, WritesRequests) {
  StateTransaction transaction;
  transaction.preconditions = {{"a/b", 0}};
  EXPECT_EQ(protocol::EncodeTransaction(transaction),
            R"({"guards":[{"k":"a/b","stamp":0}]})");
  transaction.mutations = {{false, "a/b", R"({"x":1})", 7},
                           {false, "e", "2", 0},
                           {true, "c/d", "", 0}};
  EXPECT_EQ(protocol::EncodeTransaction(transaction),
            R"({"guards":[{"k":"a/b","stamp":0}],"then":[)"
            R"({"data":{"x":1},"hold":7,"set":"a/b"},)"
            R"({"data":2,"set":"e"},{"remove":"c/d"}]})");
  EXPECT_EQ(protocol::EncodeLeaseRequest(5), R"({"ttl_ms":5000})");
  EXPECT_EQ(protocol::KeyTarget("a/b"), "/keys/a/b");
  EXPECT_EQ(protocol::ItemPageTarget("c/", "", 1000),
            "/keys?under=c/&most=1000");
  EXPECT_EQ(protocol::ItemPageTarget("c/", "c/7", 200),
            "/keys?under=c/&most=200&after=c/7");
  EXPECT_EQ(protocol::WatchTarget("c/", 431, 10),
            "/follow?under=c/&after=431&wait_ms=10000");
  EXPECT_EQ(protocol::RenewLeaseTarget(7), "/leases/7/renew");
}

TEST(StateServiceCodec, ReadsAnswers) {
  const auto transacted =
      protocol::ParseTransactionAnswer(R"({"failed":["a/b"],"epoch":431})");
  ASSERT_TRUE(transacted);
  EXPECT_EQ(transacted->revision, 431u);
  EXPECT_EQ(transacted->failed_keys, std::vector<std::string>{"a/b"});
  const auto item =
      protocol::ParseItem(R"({"k":"a/b","data":{"x":1},"stamp":412,"hold":7})");
  ASSERT_TRUE(item);
  EXPECT_EQ(item->key, "a/b");
  EXPECT_EQ(item->value, R"({"x":1})");
  EXPECT_EQ(item->version, 412u);
  const auto page = protocol::ParseItemPage(
      R"({"pairs":[{"k":"c/1","data":[2],"stamp":3}],"has_next":true,)"
      R"("epoch":431})");
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->has_more);
  EXPECT_EQ(page->revision, 431u);
  ASSERT_EQ(page->items.size(), 1u);
  EXPECT_EQ(page->items[0].value, "[2]");
  EXPECT_EQ(protocol::ParseLease(R"({"hold":7})"), 7u);
}

TEST(CloudCodec, WritesRequests) {
  ProvisioningRecord request;
  request.name = "r-17";
  request.type = "g8";
  request.zone = "a";
  request.spot = true;
  request.count = 12;
  EXPECT_EQ(
      protocol::EncodeProvisionRequest(request),
      R"({"build":"g8","hire":"r-17","loaners":true,"number":12,"room":"a"})");
  EXPECT_EQ(protocol::EncodeReleaseRequest({"n-1", "n-2"}),
            R"({"perches":["n-1","n-2"]})");
  EXPECT_EQ(protocol::MachinePageTarget("", 500), "/hosts?most=500");
  EXPECT_EQ(protocol::MachinePageTarget("n-000230", 500),
            "/hosts?most=500&after=n-000230");
}

TEST(CloudCodec, ReadsAnswers) {
  const auto types = protocol::ParseCatalog(
      R"({"builds":[{"name":"g8","cores":96,"cards":8,"memory_gb":768,)"
      R"("cache_gb":200,"pull_gb_per_s":1.0,"price":12.0,"ready_s":45,)"
      R"("rooms":["a","b"]}]})");
  ASSERT_TRUE(types) << types.error().Message();
  ASSERT_EQ(types->size(), 1u);
  EXPECT_DOUBLE_EQ((*types)[0].gpus, 8);
  // Without a spot price the regular price applies.
  EXPECT_DOUBLE_EQ((*types)[0].spot_price, 12);
  EXPECT_EQ((*types)[0].zones.size(), 2u);
  const auto names = protocol::ParseMachineNames(R"({"perches":["n-1"]})");
  ASSERT_TRUE(names);
  EXPECT_EQ(*names, std::vector<std::string>{"n-1"});
  const auto page = protocol::ParseMachinePage(
      R"({"perches":[{"uid":"n-1","endpoint":"10.1.0.232:9000","build":"g8",)"
      R"("room":"a","loaners":true,"status":"running","held_s":61.5}],)"
      R"("has_next":false})");
  ASSERT_TRUE(page);
  EXPECT_FALSE(page->has_more);
  ASSERT_EQ(page->machines.size(), 1u);
  EXPECT_EQ(page->machines[0].status, MachineStatus::kRunning);
  EXPECT_DOUBLE_EQ(page->machines[0].age_s, 61.5);
}

TEST(CloudCodec, RefusesMalformedAnswers) {
  EXPECT_FALSE(protocol::ParseCatalog("{\"builds\":[]}"));
  EXPECT_FALSE(protocol::ParseCatalog("{\"builds\":[{\"name\":\"x\"}]}"));
  EXPECT_FALSE(protocol::ParseMachineNames("{\"perches\":[1]}"));
  EXPECT_FALSE(protocol::ParseMachinePage("{\"perches\":{}}"));
}

}  // namespace
}  // namespace sorrelwood
