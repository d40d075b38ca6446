// A partition between the fake workers of one zone with one controller, and all
// other workers and controllers. Decides which heartbeats and pushed commands
// pass.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace sorrelwood::test {

// Thread-safe.
class ZoneCut {
 public:
  // `token`: the fencing token of the controller that is cut off.
  void Begin(const std::string& zone, const std::string& controller,
             uint64_t token);
  void End();
  // Ends the cut for the next heartbeat, and its response, that a worker of the
  // zone with tasks sends to `controller`.
  void PassOneHeartbeat(const std::string& controller);
  // The worker whose heartbeat has passed. Empty: none yet.
  std::string PassedWorker() const;

  // For workers: whether a heartbeat reaches the controller and its response
  // the worker.
  bool HeartbeatPasses(const std::string& worker, const std::string& zone,
                       const std::string& controller, bool has_tasks);
  // For workers: whether pushed commands with the token reach a worker of the
  // zone.
  bool PushPasses(const std::string& zone, uint64_t token) const;

 private:
  mutable std::mutex mutex_;
  bool active_ = false;
  std::string zone_, controller_;
  uint64_t token_ = 0;
  std::string passing_controller_, passed_worker_;
};

}  // namespace sorrelwood::test
