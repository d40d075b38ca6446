#include "loopback/zone_cut.h"

namespace sorrelwood::test {

void ZoneCut::Begin(const std::string& zone, const std::string& controller,
                    uint64_t token) {
  std::lock_guard lock(mutex_);
  active_ = true;
  zone_ = zone;
  controller_ = controller;
  token_ = token;
}

void ZoneCut::End() {
  std::lock_guard lock(mutex_);
  active_ = false;
}

void ZoneCut::PassOneHeartbeat(const std::string& controller) {
  std::lock_guard lock(mutex_);
  passing_controller_ = controller;
  passed_worker_.clear();
}

std::string ZoneCut::PassedWorker() const {
  std::lock_guard lock(mutex_);
  return passed_worker_;
}

bool ZoneCut::HeartbeatPasses(const std::string& worker,
                              const std::string& zone,
                              const std::string& controller, bool has_tasks) {
  std::lock_guard lock(mutex_);
  if (!active_ || (zone == zone_) == (controller == controller_)) return true;
  if (zone != zone_ || !has_tasks || !passed_worker_.empty() ||
      controller != passing_controller_)
    return false;
  passed_worker_ = worker;
  return true;
}

bool ZoneCut::PushPasses(const std::string& zone, uint64_t token) const {
  std::lock_guard lock(mutex_);
  return !active_ || (zone == zone_) == (token == token_);
}

}  // namespace sorrelwood::test
