// Clients that submit and poll jobs through real controllers.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "loopback/controllers.h"
#include "loopback/fake_worker.h"

namespace sorrelwood::test {

// A job to submit. Its tasks can save their progress.
struct JobRequest {
  std::string id, team;
  int tasks = 1;
  double run_s = 1;       // of each task
  double cpus = 1;        // of each task
  std::string zone = {};  // the only allowed zone; empty: any
  double memory_gb = 1;   // of each task
};

// Sends each request to the next controller in turn.
class Clients {
 public:
  Clients(const Controllers* controllers, TaskProgress* progress)
      : controllers_(controllers), progress_(progress) {}

  // Repeats the submission until it is accepted. Returns false after 60
  // attempts, half a second apart.
  bool Submit(const JobRequest& request);
  // Repeats the cancellation until it is confirmed. Returns false after 60
  // attempts, half a second apart.
  bool Cancel(const std::string& id);
  // Returns the job's status from the next controller, empty without an answer.
  std::string Status(const std::string& id);
  // The same from the controller of this index.
  std::string StatusAt(int controller, const std::string& id) const;
  // Sends the cancellation to this controller, once. Returns whether it was
  // confirmed.
  bool CancelAt(int controller, const std::string& id) const;

 private:
  using Response = std::pair<int, nlohmann::json>;

  // Sends the request to the next controller.
  Response SendRequest(const std::string& path, const nlohmann::json* body);
  // Returns status and body of the response; 0 without a response. A null
  // `body` sends GET.
  Response SendRequestTo(size_t controller, const std::string& path,
                         const nlohmann::json* body) const;

  const Controllers* controllers_;
  TaskProgress* progress_;
  size_t next_ = 0;
};

}  // namespace sorrelwood::test
