// Tests in which order the leader writes to the state service.
#include "core/coordination/state_writer.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <variant>

#include "base/constants/state_service.h"
#include "base/constants/user_requests.h"
#include "core/coordination/keys.h"
#include "protocol/state_service_codec.h"
#include "scripted_leader.h"

namespace sorrelwood {
namespace {

// A writer with what it depends on. The node does not lead.
struct WriterOfOneNode {
  Context context{1};
  JobCache job_cache{&context};
  LeaderElection election{&context, &job_cache, "node-0", 14, 39};
  ClusterSettings settings;
  StateLimitTracker limits{settings};
  StateWriter writer{&context, &election, &limits};
};

// Records that must be written before a launch do not queue behind progress.
TEST(StateWriter, UrgentRecordsGoFirst) {
  WriterOfOneNode node;
  Context& context = node.context;
  StateWriter& writer = node.writer;
  for (int i = 0; i < 100; ++i)
    writer.Put(keys::ForCompletions("job-" + std::to_string(i), 0), "{}");
  writer.Put(keys::ForMachine("n-1"), "{}",
             {nullptr, nullptr, /*urgent=*/true});
  context.now = 10;
  writer.Tick();
  ASSERT_FALSE(context.actions.empty());
  const auto* sent = std::get_if<StateTransaction>(&context.actions.front());
  ASSERT_NE(sent, nullptr);
  EXPECT_EQ(sent->mutations.front().key, keys::ForMachine("n-1"));
}

// Job ends are written at a minimum rate even if many arrays write progress.
TEST(StateWriter, ProgressDoesNotBlockJobEnds) {
  WriterOfOneNode node;
  Context& context = node.context;
  StateWriter& writer = node.writer;
  int ends = 0, progress = 0;
  for (int tick = 0; tick < 250; ++tick) {
    context.now = 100 + 0.04 * tick;
    for (int i = 0; i < 100; ++i)
      writer.Put(keys::ForCompletions("job-" + std::to_string(i), 0), "{}");
    writer.Tick();
    for (; writer.MayCommitJobEnd(); ++ends)
      writer.CommitJobEnd({}, {{true, "a", "", 0}, {true, "b", "", 0}},
                          [](const StateResult&) {});
    for (const Action& action : std::exchange(context.actions, {})) {
      const auto* sent = std::get_if<StateTransaction>(&action);
      if (!sent) continue;
      if (sent->mutations.front().key != "a")
        progress += static_cast<int>(sent->mutations.size());
      StateResult result;
      result.id = sent->id;
      result.outcome = Outcome::kOk;
      context.Deliver(result);
    }
  }
  const double rate = node.settings.state_mutations_per_s * kLeaderWriteShare;
  EXPECT_GT(2 * ends, 10 * rate * 0.4);
  EXPECT_GT(progress, 10 * rate * 0.4);
  EXPECT_LT(2 * ends + progress, 12 * rate);
}

constexpr size_t kMaxTransactionBytesOfService = size_t{64} * 1024;  // protocol

std::string LongestKey(int index) {
  std::string id = "job-" + std::to_string(100000 + index);
  id.resize(kMaxIdBytes, 'x');
  return keys::ForCompletionsPart(id, 6, 98304);
}

// Guards against a transaction that the state service refuses for its size,
// whatever its other limits allow.
TEST(StateWriter, TransactionsStayWithinTheProtocolsSize) {
  for (const double value_kib : {1.0, 16.0, 32.0, 64.0}) {
    for (const int max_mutations : {16, 500}) {
      Context context{1};
      JobCache job_cache{&context};
      LeaderElection election{&context, &job_cache, "node-0", 14, 39};
      ClusterSettings settings;
      settings.state_max_value_kib = value_kib;
      settings.state_max_mutations_per_transaction = max_mutations;
      settings.state_mutations_per_s = 2000;
      StateLimitTracker limits{settings};
      StateWriter writer{&context, &election, &limits};
      const std::string text(limits.max_value_bytes() - 2, 'v');
      for (int i = 0; i < max_mutations; ++i)
        writer.Put(LongestKey(i), "\"" + text + "\"");
      context.now = 10;
      writer.Tick();
      ASSERT_FALSE(context.actions.empty());
      const auto& sent = std::get<StateTransaction>(context.actions.front());
      EXPECT_GE(sent.mutations.size(), 1u);
      EXPECT_LE(protocol::EncodeTransaction(sent).size(),
                kMaxTransactionBytesOfService)
          << value_kib << " KiB, " << max_mutations << " mutations";
    }
  }
}

TEST(StateLimits, PreconditionsFitIntoATransaction) {
  ClusterSettings settings;
  settings.state_max_mutations_per_transaction = 500;
  StateTransaction transaction;
  const size_t count = StateLimitTracker(settings).max_preconditions();
  EXPECT_GE(count, 64u);
  for (size_t i = 0; i < count; ++i)
    transaction.preconditions.push_back(
        {std::string(200, 'k'), std::numeric_limits<uint64_t>::max()});
  EXPECT_LE(protocol::EncodeTransaction(transaction).size(),
            kMaxTransactionBytesOfService);
}

}  // namespace
}  // namespace sorrelwood
