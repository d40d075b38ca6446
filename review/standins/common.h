// Shared helpers of the review's stand-ins: clock, record of events, proxy.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

// Seconds since the start of the test.
double Now();
void SleepFor(double seconds);
double Random(double low, double high);
int FreePort();
std::string Address(int port);

// The file record.txt: what was sent, answered and run.
class Record {
 public:
  static void Open(const std::string& path);
  static void Line(const char* format, ...)
      __attribute__((format(printf, 1, 2)));
};

// A link of the network: a TCP proxy in front of one address. A cut resets the
// connections that are open.
class Proxy {
 public:
  enum class Mode {
    kPass,
    kSilent,  // cut: new connections hang, and are closed when the cut ends
    kReset,   // cut: new connections are reset
  };

  explicit Proxy(int target_port);
  int port() const { return port_; }
  void Set(Mode mode);

 private:
  void Accept();
  void Pump(int from, int to, uint64_t id);
  void Forget(uint64_t id);

  int target_port_;
  int listener_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  Mode mode_ = Mode::kPass;
  uint64_t next_id_ = 1;
  struct Pair {
    int client = -1, server = -1;
    int pumps = 0;
  };
  std::map<uint64_t, Pair> pairs_;
  std::vector<int> silent_;  // connections that hang
};

// Limits a rate, with a burst of one second's worth.
class RateLimit {
 public:
  explicit RateLimit(double per_s) : per_s_(per_s), tokens_(per_s) {}
  bool Take(double amount) {
    const double now = Now();
    tokens_ = std::min(per_s_, tokens_ + (now - at_) * per_s_);
    at_ = now;
    if (tokens_ < amount) return false;
    tokens_ -= amount;
    return true;
  }

 private:
  double per_s_, tokens_, at_ = 0;
};

}  // namespace review
