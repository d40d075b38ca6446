// Real controllers beside a fake state service, a fake cloud and fake workers
// on loopback. SORRELWOOD_LOOPBACK_MACHINES=300 asks for a large fleet (CI:
// 24).
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

// At which the rebalancer rests, by default.
constexpr double kBalancedImbalance = 0.08;

int Machines() {
  const char* asked = std::getenv("SORRELWOOD_LOOPBACK_MACHINES");
  return asked ? std::atoi(asked) : 24;
}

// In a large fleet tasks run long enough to be moved.
double RunFactor() { return Machines() >= 100 ? 4 : 1; }

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Submit jobs and poll them through any controller.
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
    for (int tries = 0; tries < 60; ++tries) {
      const auto status = Ask("/submissions", &job).first;
      if (status == 200 || status == 201) return true;
      Sleep(0.5);
    }
    return false;
  }
  // The status that some controller tells; empty: none answers.
  std::string Status(const std::string& id) {
    const auto [status, body] = Ask("/submissions/" + id, nullptr);
    return status == 200 ? body.value("status", "") : "";
  }

 private:
  std::pair<int, json> Ask(const std::string& path, const json* body) {
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
      : cloud_(Machines(), &progress_, &history_),
        controllers_(3, state_.port(), cloud_.port(), kOperatorSettings),
        clients_(&controllers_, &progress_) {
    WorkerSettings workers;
    workers.controllers = controllers_.addresses();
    cloud_.SetWorkerSettings(workers);
  }

  int WaitForLeader(double most_s) {
    for (const double until = Now() + most_s; Now() < until; Sleep(0.2)) {
      const int leader = controllers_.Leader();
      if (leader >= 0) return leader;
    }
    return -1;
  }
  // Whether all jobs are told done within the time.
  bool AllDoneWithin(const std::set<std::string>& jobs, double most_s) {
    std::set<std::string> left = jobs;
    for (const double until = Now() + most_s; Now() < until; Sleep(0.3)) {
      for (auto it = left.begin(); it != left.end();)
        it = clients_.Status(*it) == "done" ? left.erase(it) : std::next(it);
      if (left.empty()) return true;
    }
    for (const std::string& id : left)
      std::printf("not done: %s is %s\n", id.c_str(),
                  clients_.Status(id).c_str());
    return false;
  }
  // Whether, within that time, leaders measure ten times in a row, a second
  // apart, that the fleet is balanced.
  bool BecomesBalancedWithin(double most_s) {
    constexpr int kTimes = 10;
    int in_a_row = 0;
    double worst = 0;
    for (const double until = Now() + most_s; Now() < until; Sleep(1)) {
      const int leader = controllers_.Leader();
      if (leader < 0) continue;
      const double imbalance = controllers_.Metric(leader, "spread_imbalance");
      worst = std::max(worst, imbalance);
      in_a_row =
          imbalance >= 0 && imbalance <= kBalancedImbalance ? in_a_row + 1 : 0;
      if (in_a_row >= kTimes) {
        std::printf("worst imbalance on the way: %.3f\n", worst);
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

// Guards against a task on two machines, a job that is lost, and a fleet that
// stays unbalanced, when the leader is killed during a burst of one team and
// the next is paused for longer than its lease.
TEST_F(LoopbackTest, BurstIsBalancedAndDoneThroughTwoFailovers) {
  const int leader = WaitForLeader(20);
  ASSERT_GE(leader, 0);
  std::set<std::string> jobs;
  const auto submit = [&](const std::string& team, int tasks, double run_s) {
    const std::string id = "job-" + std::to_string(100000 + jobs.size());
    ASSERT_TRUE(clients_.Submit(id, team, tasks, run_s * RunFactor()));
    jobs.insert(id);
  };
  const int each = std::max(1, Machines() / 3);  // tasks of a quiet job
  submit("calm", each, 30);
  submit("hot", each, 30);
  Sleep(4);
  for (int i = 0; i < 10; ++i) submit("hot", each, 12 + i);  // tenfold
  controllers_.Kill(leader);
  const int second = WaitForLeader(20);
  ASSERT_GE(second, 0);
  ASSERT_NE(second, leader);
  controllers_.Start(leader);
  submit("calm", each, 10);
  controllers_.Pause(second);
  Sleep(8);  // longer than its lease: another leads meanwhile
  const int third = WaitForLeader(20);
  controllers_.Resume(second);
  EXPECT_NE(third, second);
  EXPECT_TRUE(BecomesBalancedWithin(60 * RunFactor()));
  EXPECT_TRUE(AllDoneWithin(jobs, 120 * RunFactor()));
  EXPECT_EQ(history_.ConcurrentExecutions(), std::vector<std::string>());
  EXPECT_GE(history_.StartCount(), static_cast<size_t>(13 * each));
  const int last = WaitForLeader(20);
  std::printf("moves finished by the last leader: %.0f\n",
              controllers_.Metric(last, "moves_finished"));
  std::printf("%zu machines at the end, %zu starts\n", cloud_.machines(),
              history_.StartCount());
}

}  // namespace
}  // namespace sorrelwood::test
