// Tests what controllers tell each other about the progress of jobs.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/constants/peers.h"
#include "base/constants/user_requests.h"
#include "core/controller/peer_status_exchange.h"
#include "peer/peer_status_codec.h"

namespace sorrelwood {
namespace {

// The exchange of one node with what it depends on.
struct ExchangeOfOneNode {
  Context context{1};
  JobCache job_cache{&context};
  LeaderElection election{&context, &job_cache, "node-0", 14, 39};
  ClusterSettings settings;
  NodeHealth health{&context, &settings};
  PeerStatusExchange exchange{&context,  &settings, &job_cache,
                              &election, &health,   1};

  PeerStatus Broadcast(const std::vector<JobCounts>& counts) {
    context.actions.clear();
    exchange.Broadcast(counts);
    return std::get<SendPeerStatus>(context.actions.back()).status;
  }
};

std::vector<JobCounts> MakeCounts(uint32_t jobs) {
  std::map<std::string, JobCounts> by_id;
  for (uint32_t i = 0; i < jobs; ++i) {
    std::string id = "job-" + std::to_string(100000 + i);
    id.resize(kMaxIdBytes, 'x');
    by_id[id] = {id, i, 1};
  }
  std::vector<JobCounts> counts;
  counts.reserve(by_id.size());
  for (const auto& [id, job] : by_id) counts.push_back(job);
  return counts;
}

// Guards against a message that the other controllers do not read, and close
// the connection for: the counts of many thousand jobs in one message. They
// would also miss the sender's term and health.
TEST(PeerStatusExchange, CountsOfManyJobsAreSpreadOverMessages) {
  ExchangeOfOneNode node;
  std::vector<JobCounts> counts = MakeCounts(20000);
  std::map<std::string, uint32_t> received;
  for (int message = 0; message < 12; ++message) {
    // The first jobs change all the time, which must not starve the others.
    for (size_t i = 0; i < counts.size() / 2; ++i) ++counts[i].running;
    const PeerStatus status = node.Broadcast(counts);
    EXPECT_LE(EncodePeerStatus(status).size(), kMaxPeerMessageBytes);
    for (const JobCounts& job : status.jobs) received[job.id] = job.running;
  }
  EXPECT_EQ(received.size(), counts.size());
}

TEST(PeerStatusExchange, SendsChangesAndNowAndThenAll) {
  ExchangeOfOneNode node;
  std::vector<JobCounts> counts = MakeCounts(3);
  EXPECT_EQ(node.Broadcast(counts).jobs.size(), 3u);
  EXPECT_EQ(node.Broadcast(counts).jobs.size(), 0u);
  ++counts[1].done;
  const PeerStatus status = node.Broadcast(counts);
  ASSERT_EQ(status.jobs.size(), 1u);
  EXPECT_EQ(status.jobs[0].id, counts[1].id);
  size_t repeated = 0;
  for (uint64_t i = 0; i < kMessagesPerFullPeerStatus; ++i)
    repeated += node.Broadcast(counts).jobs.size();
  EXPECT_EQ(repeated, 3u);
}

// Guards against a job that is live because another controller counts its
// tasks.
TEST(PeerStatusExchange, CountsAddNoJob) {
  constexpr char kUnknownJob[] = "job-000001";
  constexpr char kEndedJob[] = "job-000002";
  ExchangeOfOneNode node;
  node.job_cache.ApplyFinalState(kEndedJob, FinalState::kCancelled);
  PeerStatus status;
  status.node = "node-1";
  status.leader = true;
  status.term = 1;
  status.jobs = {{kUnknownJob, 0, 1}, {kEndedJob, 0, 1}};
  node.exchange.OnPeerStatus(status);
  EXPECT_TRUE(node.job_cache.live_jobs().empty());
  EXPECT_EQ(node.job_cache.FindFinalState(kEndedJob), FinalState::kCancelled);
}

}  // namespace
}  // namespace sorrelwood
