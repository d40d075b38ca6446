// A stand-in for the cloud: rents stand-in workers, over HTTP as the published
// protocol has it.
#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback/worker.h"

namespace sorrelwood::test {

class CloudService {
 public:
  // At most `capacity` machines at once, of four cores each.
  CloudService(int capacity, TaskBook* book, History* history);
  ~CloudService();
  int port() const { return port_; }
  // Must be called before the first machine is rented.
  void SetWorkerSettings(const WorkerSettings& settings) {
    worker_settings_ = settings;
  }
  size_t machines() const;

 private:
  void Route();
  void Rent(const httplib::Request& request, httplib::Response& response);
  void Release(const httplib::Request& request, httplib::Response& response);
  void List(const httplib::Request& request, httplib::Response& response);

  const int capacity_;
  TaskBook* book_;
  History* history_;
  WorkerSettings worker_settings_;
  httplib::Server server_;
  int port_ = 0;
  std::thread serving_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> rented_;  // by request name
  std::map<std::string, std::unique_ptr<StandInWorker>> workers_;
  std::map<std::string, std::string> zones_;
  int next_machine_ = 1;
};

}  // namespace sorrelwood::test
