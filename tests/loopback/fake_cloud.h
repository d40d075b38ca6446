// A fake cloud that provisions fake workers, over HTTP in the published
// protocol. The fakes write the protocol's names as literals instead of using
// the program's constants (except for the heartbeat path), so that a wrong name
// in the program fails the test.
#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback/fake_worker.h"

namespace sorrelwood::test {

class FakeCloud {
 public:
  // Provisions at most `capacity` machines at once, of four CPUs each.
  FakeCloud(int capacity, TaskProgress* progress, ExecutionHistory* history);
  ~FakeCloud();
  int port() const { return port_; }
  // Must be called before the first machine is provisioned.
  void SetWorkerSettings(const WorkerSettings& settings) {
    worker_settings_ = settings;
  }
  size_t machine_count() const;

 private:
  void RegisterRoutes();
  void Provision(const httplib::Request& request, httplib::Response& response);
  void Release(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);

  const int capacity_;
  TaskProgress* progress_;
  ExecutionHistory* history_;
  WorkerSettings worker_settings_;
  httplib::Server server_;
  int port_ = 0;
  std::thread server_thread_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::string>>
      provisioned_;  // by request id
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
  std::map<std::string, std::string> zones_;
  int next_machine_ = 1;
};

}  // namespace sorrelwood::test
