#include "loopback/fake_cloud.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace sorrelwood::test {
namespace {

using nlohmann::json;

constexpr size_t kServerThreads = 24;

void SendJson(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

}  // namespace

FakeCloud::FakeCloud(int capacity, TaskProgress* progress,
                     ExecutionHistory* history)
    : capacity_(capacity), progress_(progress), history_(history) {
  server_.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  RegisterRoutes();
  port_ = server_.bind_to_any_port("127.0.0.1");
  server_thread_ = std::thread([this] { server_.listen_after_bind(); });
}

FakeCloud::~FakeCloud() {
  server_.stop();
  server_thread_.join();
}

size_t FakeCloud::machine_count() const {
  std::lock_guard lock(mutex_);
  return workers_.size();
}

void FakeCloud::RegisterRoutes() {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server_.Get("/catalog", [](const Request&, Response& r) {
    SendJson(r, 200,
             {{"builds",
               {{{"name", "small"},
                 {"cores", 4},
                 {"cards", 0},
                 {"memory_gb", 16},
                 {"cache_gb", 50},
                 {"pull_gb_per_s", 1.0},
                 {"price", 0.2},
                 {"spot_price", 0.08},
                 {"ready_s", 2},
                 {"rooms", {"a", "b"}}}}}});
  });
  server_.Post("/hosts",
               [this](const Request& q, Response& r) { Provision(q, r); });
  server_.Post("/hosts/release",
               [this](const Request& q, Response& r) { Release(q, r); });
  server_.Get("/hosts", [this](const Request& q, Response& r) { List(q, r); });
}

void FakeCloud::Provision(const httplib::Request& request,
                          httplib::Response& response) {
  const json body = json::parse(request.body);
  std::lock_guard lock(mutex_);
  std::vector<std::string>& names = provisioned_[body.at("hire")];
  const int free_slots = capacity_ - static_cast<int>(workers_.size());
  if (names.empty() && free_slots <= 0)
    return SendJson(response, 503, {{"error", "no capacity"}});
  const int count =
      names.empty() ? std::min(free_slots, body.at("number").get<int>()) : 0;
  for (int i = 0; i < count; ++i) {
    char name[16];
    std::snprintf(name, sizeof(name), "n-%06d", next_machine_++);
    names.emplace_back(name);
    zones_[name] = body.at("room");
    workers_[name] = std::make_unique<FakeWorker>(
        name, body.at("build"), body.at("room"), body.at("loaners"),
        worker_settings_, progress_, history_);
  }
  SendJson(response, 200, {{"perches", names}});
}

void FakeCloud::Release(const httplib::Request& request,
                        httplib::Response& response) {
  std::vector<std::unique_ptr<FakeWorker>> released;
  {
    std::lock_guard lock(mutex_);
    const json names = json::parse(request.body).at("perches");
    for (const std::string name : names) {
      const auto worker = workers_.find(name);
      if (worker == workers_.end()) continue;
      released.push_back(std::move(worker->second));
      workers_.erase(worker);
    }
  }
  // Waits for the workers' threads, so that they have ended before the answer.
  released.clear();
  SendJson(response, 200, json::object());
}

void FakeCloud::List(const httplib::Request& request,
                     httplib::Response& response) {
  std::lock_guard lock(mutex_);
  const std::string after = request.get_param_value("after");
  json machines = json::array();
  for (const auto& [name, worker] : workers_) {
    if (name <= after) continue;
    machines.push_back({{"uid", name},
                        {"endpoint", worker->address()},
                        {"build", "small"},
                        {"room", zones_[name]},
                        {"loaners", false},
                        {"status", "running"},
                        {"held_s", 10.0}});
  }
  SendJson(response, 200, {{"perches", machines}, {"has_next", false}});
}

}  // namespace sorrelwood::test
