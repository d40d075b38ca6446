// A state service in memory, as PROTOCOL describes it. Each controller has an
// address of its own, so that one of them alone can be refused, slowed down or
// cut off.
#pragma once

#include "util.h"

namespace review {

class StateService {
 public:
  // `rps`, `write_rps`: the limits of the settings.
  StateService(int controllers, double rps, double write_rps, double value_kb,
               int txn_ops);
  void Start();
  void Stop();
  std::string address(int controller) const;

  // What happens to the requests of one controller.
  struct Access {
    bool refused = false;      // 503 at once
    bool unreachable = false;  // requests get lost; no answer
    double delay_s = 0;        // answers come this much later
    double late_share = 0;     // of transactions: no answer, carried out late
    double slow_share = 0;     // of requests: carried out and answered slowly
    double slow_s = 0;         // up to this much before, and as much after
  };
  void SetAccess(int controller, const Access& access);
  // Puts the answers to watches of one controller off (s).
  void SetWatchDelay(int controller, double delay_s);
  // One slow request: the first one of the controller whose target begins with
  // `target` is carried out `before_s` after it came, and its answer is sent
  // `after_s` after that.
  struct Slow {
    std::string target;
    double before_s = 0, after_s = 0;
  };
  void AddSlow(int controller, const Slow& slow);
  // Whether such a request has been carried out.
  bool IsSlowDone(int controller, const std::string& target);

  // The value of a key, or null.
  json Value(const std::string& key);
  // The name of the leader in the key that the controllers use, or "".
  std::string Leader();
  std::vector<std::string> Keys(const std::string& prefix);

 private:
  struct Entry {
    json data;
    uint64_t stamp = 0, hold = 0;
  };
  struct Lease {
    double ttl_s = 0, ends_at = 0;
  };
  struct Change {
    uint64_t stamp = 0;
    std::string key;
    bool removed = false;
    json data;
  };
  struct Port {
    Server server;
    Access access;
    double watch_delay_s = 0;
    std::vector<Slow> slow;
    std::set<std::string> slow_done;
  };

  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;
  // Applies access rules and the request limit around `handler`.
  httplib::Server::Handler Guarded(int controller, Handler handler);
  void RegisterRoutes(int controller);
  void GetKey(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);
  void Multi(const httplib::Request& request, httplib::Response& response);
  void Follow(int controller, const httplib::Request& request,
              httplib::Response& response);
  void ExpireLoop();
  // All below: with the mutex held.
  void ExpireLeases();
  void Apply(const json& operation);
  json ChangesAfter(const std::string& prefix, uint64_t after) const;
  bool TakeTokens(double* tokens, double* filled_at, double rate,
                  double amount);

  const double rps_, write_rps_, value_kb_;
  const int txn_ops_;
  std::vector<std::unique_ptr<Port>> ports_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::deque<Change> changes_;  // the latest 10,000
  uint64_t oldest_dropped_ = 0;
  uint64_t epoch_ = 1, next_lease_ = 1;
  double tokens_, filled_at_ = 0, write_tokens_, write_filled_at_ = 0;
};

}  // namespace review
