// Runs real controller processes with a fake state service, a fake cloud and
// fake workers on loopback. SORRELWOOD_LOOPBACK_MACHINES sets the fleet's size:
// 24 by default and in CI, 300 for a large fleet.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <thread>

#include "http/endpoint.h"
#include "loopback/controllers.h"
#include "loopback/execution_history.h"
#include "loopback/fake_cloud.h"
#include "loopback/fake_state_service.h"
#include "loopback/fake_worker.h"

namespace sorrelwood::test {
namespace {

using nlohmann::json;

// Imbalance at which the rebalancer stops moving tasks by default.
constexpr double kBalancedImbalance = 0.08;

int MachineCount() {
  const char* count = std::getenv("SORRELWOOD_LOOPBACK_MACHINES");
  return count ? std::atoi(count) : 24;
}

// In a large fleet tasks run for longer, so that there is time to move them.
double RunTimeFactor() { return MachineCount() >= 100 ? 4 : 1; }

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Submits jobs and polls them, through each controller in turn.
class Clients {
 public:
  Clients(const Controllers* controllers, TaskProgress* progress)
      : controllers_(controllers), progress_(progress) {}

  bool Submit(const std::string& id, const std::string& team, int tasks,
              double run_s) {
    progress_->AddJob(id, {run_s, 0.3, true});
    const json job = {
        {"uid", id},         {"roster", "burst"},   {"crew", team},
        {"shape", "sweep"},  {"urgency", "high"},   {"parts", tasks},
        {"cores", 1.0},      {"cards", 0.0},        {"memory_gb", 1.0},
        {"bundle", "img-1"}, {"size_gb", 0.1},      {"builds", nullptr},
        {"room", nullptr},   {"one_zone", false},   {"scatter", false},
        {"loaners", true},   {"expected_s", run_s}, {"bookmark_s", 5.0},
        {"stash_s", 0.3},    {"due_s", nullptr}};
    for (int attempt = 0; attempt < 60; ++attempt) {
      const auto status = SendRequest("/submissions", &job).first;
      if (status == 200 || status == 201) return true;
      Sleep(0.5);
    }
    return false;
  }
  // Returns the job's status from the next controller, empty without an answer.
  std::string Status(const std::string& id) {
    const auto [status, body] = SendRequest("/submissions/" + id, nullptr);
    return status == 200 ? body.value("status", "") : "";
  }

 private:
  std::pair<int, json> SendRequest(const std::string& path, const json* body) {
    auto it = controllers_->addresses().begin();
    std::advance(it, next_++ % controllers_->addresses().size());
    Endpoint endpoint;
    ParseEndpoint(it->second, &endpoint);
    httplib::Client client(endpoint.host, endpoint.port);
    client.set_connection_timeout(1);
    client.set_read_timeout(2);
    const auto result =
        body ? client.Post(path.c_str(), body->dump(), "application/json")
             : client.Get(path.c_str());
    if (!result) return {0, json::object()};
    json parsed = json::parse(result->body, nullptr, false);
    if (!parsed.is_object()) parsed = json::object();
    return {result->status, std::move(parsed)};
  }

  const Controllers* controllers_;
  TaskProgress* progress_;
  size_t next_ = 0;
};

class LoopbackTest : public ::testing::Test {
 protected:
  LoopbackTest()
      : cloud_(MachineCount(), &progress_, &history_),
        controllers_(3, state_.port(), cloud_.port(), kOperatorSettings),
        clients_(&controllers_, &progress_) {
    WorkerSettings workers;
    workers.controllers = controllers_.addresses();
    cloud_.SetWorkerSettings(workers);
  }

  int WaitForLeader(double timeout_s) {
    for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
         Sleep(0.2)) {
      const int leader = controllers_.FindLeader();
      if (leader >= 0) return leader;
    }
    return -1;
  }
  // Returns whether all jobs are reported as done within the timeout.
  bool WaitUntilAllDone(const std::set<std::string>& jobs, double timeout_s) {
    std::set<std::string> unfinished = jobs;
    for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
         Sleep(0.3)) {
      for (auto it = unfinished.begin(); it != unfinished.end();)
        it = clients_.Status(*it) == "done" ? unfinished.erase(it)
                                            : std::next(it);
      if (unfinished.empty()) return true;
    }
    for (const std::string& id : unfinished)
      std::printf("not done: %s is %s\n", id.c_str(),
                  clients_.Status(id).c_str());
    return false;
  }
  // Returns whether, within the timeout, the leader's metric shows a balanced
  // fleet ten times in a row, one second apart.
  bool WaitUntilBalanced(double timeout_s) {
    constexpr int kConsecutiveSamples = 10;
    int consecutive = 0;
    double worst = 0;
    for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
         Sleep(1)) {
      const int leader = controllers_.FindLeader();
      if (leader < 0) continue;
      const double imbalance =
          controllers_.ReadMetric(leader, "spread_imbalance");
      worst = std::max(worst, imbalance);
      consecutive = imbalance >= 0 && imbalance <= kBalancedImbalance
                        ? consecutive + 1
                        : 0;
      if (consecutive >= kConsecutiveSamples) {
        std::printf("worst imbalance before balance: %.3f\n", worst);
        return true;
      }
    }
    return false;
  }

  static constexpr char kOperatorSettings[] =
      "fleet { hold_s: 20 drain_s: 5 } load_spread { placement: true moves: "
      "true "
      "lasting_s: 2 begin_imbalance: 0.09 }";
  TaskProgress progress_;
  ExecutionHistory history_;
  FakeStateService state_;
  FakeCloud cloud_;
  Controllers controllers_;
  Clients clients_;
};

// Guards against a task that runs on two machines, a lost job and a fleet that
// stays unbalanced: the leader is killed during one team's burst, and the next
// leader is paused for longer than its lease.
TEST_F(LoopbackTest, BurstIsBalancedAndDoneThroughTwoFailovers) {
  const int leader = WaitForLeader(20);
  ASSERT_GE(leader, 0);
  std::set<std::string> jobs;
  const auto submit = [&](const std::string& team, int tasks, double run_s) {
    const std::string id = "job-" + std::to_string(100000 + jobs.size());
    ASSERT_TRUE(clients_.Submit(id, team, tasks, run_s * RunTimeFactor()));
    jobs.insert(id);
  };
  const int tasks_per_job =
      std::max(1, MachineCount() / 3);  // at a team's usual load
  submit("calm", tasks_per_job, 30);
  submit("hot", tasks_per_job, 30);
  Sleep(4);
  for (int i = 0; i < 10; ++i)
    submit("hot", tasks_per_job, 12 + i);  // ten times the load
  controllers_.Kill(leader);
  const int second = WaitForLeader(20);
  ASSERT_GE(second, 0);
  ASSERT_NE(second, leader);
  controllers_.Start(leader);
  submit("calm", tasks_per_job, 10);
  controllers_.Pause(second);
  Sleep(8);  // longer than its lease, so that another takes over
  const int third = WaitForLeader(20);
  controllers_.Resume(second);
  EXPECT_NE(third, second);
  EXPECT_TRUE(WaitUntilBalanced(60 * RunTimeFactor()));
  EXPECT_TRUE(WaitUntilAllDone(jobs, 120 * RunTimeFactor()));
  EXPECT_EQ(history_.FindConcurrentExecutions(), std::vector<std::string>());
  EXPECT_GE(history_.CountStarts(), static_cast<size_t>(13 * tasks_per_job));
  const int last = WaitForLeader(20);
  std::printf("moves finished by the last leader: %.0f\n",
              controllers_.ReadMetric(last, "moves_finished"));
  std::printf("%zu machines at the end, %zu starts\n", cloud_.machine_count(),
              history_.CountStarts());
}

}  // namespace
}  // namespace sorrelwood::test
