// Stand-in for the state service, after PROTOCOL "Controller nodes -> state
// service".
#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <set>

#include "common.h"

namespace review {

struct StateLimits {
  double rps = 500, write_rps = 300, value_kb = 16;
  int txn_ops = 16;
  double latency_s = 0.002;
};

class StateService {
 public:
  explicit StateService(const StateLimits& limits);
  int port() const { return port_; }
  uint64_t epoch() const;
  // The value of a key; null if there is none.
  json Value(const std::string& key) const;
  // Requests by answer status.
  std::map<int, long> answers() const;
  long gone() const { return gone_; }

 private:
  struct Entry {
    json data;
    uint64_t stamp = 0, hold = 0;
  };
  struct Change {
    uint64_t stamp = 0;
    std::string key;
    bool removed = false;
    json data;
  };
  struct Lease {
    double ttl_s = 0, ends_at = 0;
  };

  void Route();
  bool Admit(httplib::Response& response);
  void Send(httplib::Response& response, int status, const json& body);
  void Apply(const json& change);
  void ExpireLeases();
  void Get(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);
  void Multi(const httplib::Request& request, httplib::Response& response);
  void Follow(const httplib::Request& request, httplib::Response& response);

  const StateLimits limits_;
  httplib::Server server_;
  int port_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::deque<Change> changes_;
  uint64_t oldest_kept_ = 0;  // changes after this epoch are kept
  std::map<uint64_t, Lease> leases_;
  uint64_t epoch_ = 0, next_lease_ = 1;
  RateLimit requests_, writes_;
  std::map<int, long> answers_;
  long finals_read_ = 0, finals_refused_ = 0;
  std::atomic<long> gone_{0};
};

}  // namespace review
