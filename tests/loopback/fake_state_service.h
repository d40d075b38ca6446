// A fake in-memory state service, over HTTP in the published protocol: keys
// with versions, transactions, leases and watches.
#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loopback/request_rules.h"

namespace sorrelwood::test {

class FakeStateService {
 public:
  FakeStateService();
  ~FakeStateService();
  int port() const { return port_; }

  // Which requests are held or refused.
  RequestRules& rules() { return rules_; }
  // Answers watches that have changes later by this time (s).
  void SetWatchDelay(double delay_s) { watch_delay_s_ = delay_s; }

 private:
  struct Entry {
    nlohmann::json data;
    uint64_t version = 0, lease = 0;
  };
  struct Lease {
    double ttl_s = 0, expires_s = 0;
  };
  struct Change {
    uint64_t revision = 0;
    std::string key;
    nlohmann::json data;  // null if the key was removed
  };

  void RegisterRoutes();
  void Get(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);
  void Transact(const httplib::Request& request, httplib::Response& response);
  void Watch(const httplib::Request& request, httplib::Response& response);
  void Apply(const nlohmann::json& operation);
  // Removes leases that were not renewed in time, and their keys.
  void ExpireLeases();
  nlohmann::json ChangesAfter(const std::string& prefix, uint64_t after) const;

  RequestRules rules_;
  std::atomic<double> watch_delay_s_{0};
  httplib::Server server_;
  int port_ = 0;
  std::thread server_thread_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  uint64_t revision_ = 1, next_lease_ = 1;
};

}  // namespace sorrelwood::test
