#include "loopback/loopback_cluster.h"

#include <chrono>
#include <cstdio>
#include <iterator>
#include <thread>

namespace sorrelwood::test {
namespace {

constexpr double kLeaderPollIntervalS = 0.2;
constexpr double kStatusPollIntervalS = 0.3;

}  // namespace

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

LoopbackCluster::LoopbackCluster(const ControllerOptions& options, int machines)
    : cloud_(machines, &progress_, &history_),
      controllers_(options, state_.port(), cloud_.port()),
      clients_(&controllers_, &progress_) {
  WorkerSettings workers;
  workers.controllers = controllers_.addresses();
  workers.heartbeat_interval_s = options.heartbeat_interval_s;
  workers.lease_s = options.worker_lease_s;
  workers.zone_cut = &zone_cut_;
  cloud_.SetWorkerSettings(workers);
}

int LoopbackCluster::WaitForLeader(double timeout_s, int except) {
  for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
       Sleep(kLeaderPollIntervalS)) {
    const int leader = controllers_.FindLeader();
    if (leader >= 0 && leader != except) return leader;
  }
  return -1;
}

bool LoopbackCluster::WaitUntilAllDone(const std::set<std::string>& jobs,
                                       double timeout_s) {
  std::set<std::string> unfinished = jobs;
  for (const double deadline_s = Now() + timeout_s; Now() < deadline_s;
       Sleep(kStatusPollIntervalS)) {
    for (auto it = unfinished.begin(); it != unfinished.end();)
      it =
          clients_.Status(*it) == "done" ? unfinished.erase(it) : std::next(it);
    if (unfinished.empty()) return true;
  }
  for (const std::string& id : unfinished)
    std::printf("not done: %s is %s\n", id.c_str(),
                clients_.Status(id).c_str());
  return false;
}

}  // namespace sorrelwood::test
