// Time, the record of a run, free ports and settings that all parts share.
#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;

// Seconds since the start of the program (steady clock).
double Now();
void SleepFor(double seconds);
void SleepUntil(double time);
// Polls `condition` until it holds (true) or the time is over (false).
bool WaitFor(double seconds, const std::function<bool()>& condition);

// Opens DIR/record.txt.
void OpenRecord(const std::string& folder);
// Writes one line with the time to the record. Thread-safe.
void Record(const std::string& line);

// A loopback port that was free a moment ago.
int FreePort();
double RandomBetween(double low, double high);

// True unless the environment variable TROUBLE is 0.
bool WithTrouble();

// An HTTP server on its own thread, on 127.0.0.1 and a port that the system
// chooses. Each connection has a thread of its own, as many as needed.
class Server {
 public:
  Server();
  ~Server();
  httplib::Server& routes() { return server_; }
  // Must be called once, after the routes are registered.
  void Start();
  void Stop();
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

void SendJson(httplib::Response& response, int status, const json& body);

// A client connection that stays open.
class Client {
 public:
  Client(const std::string& address, double timeout_s);
  struct Answer {
    int status = 0;  // 0: none
    json body;
  };
  Answer Get(const std::string& path);
  Answer Post(const std::string& path, const json& body);
  // A POST with an empty body.
  Answer Post(const std::string& path);

 private:
  Answer Convert(httplib::Result result);
  httplib::Client client_;
};

}  // namespace review
