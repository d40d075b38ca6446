#include "loopback/fake_state_service.h"

#include <algorithm>
#include <chrono>

#include "loopback/execution_history.h"

namespace sorrelwood::test {
namespace {

using nlohmann::json;

// At least one for each connection that controllers keep open.
constexpr size_t kServerThreads = 96;
constexpr size_t kMaxRequestsPerConnection = 1000000;
constexpr int kKeepAliveTimeoutS = 60;
constexpr int kTooManyRequests = 429;

void SendJson(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

uint64_t GetNumber(const httplib::Request& request, const char* name) {
  return request.has_param(name) ? std::stoull(request.get_param_value(name))
                                 : 0;
}

}  // namespace

FakeStateService::FakeStateService() {
  server_.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server_.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server_.set_keep_alive_timeout(kKeepAliveTimeoutS);
  server_.set_tcp_nodelay(true);
  RegisterRoutes();
  port_ = server_.bind_to_any_port("127.0.0.1");
  server_thread_ = std::thread([this] { server_.listen_after_bind(); });
}

FakeStateService::~FakeStateService() {
  server_.stop();
  server_thread_.join();
}

void FakeStateService::RegisterRoutes() {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server_.set_pre_routing_handler([this](const Request& q, Response& r) {
    if (rules_.BeforeExecution(q.target))
      return httplib::Server::HandlerResponse::Unhandled;
    SendJson(r, kTooManyRequests, json::object());
    return httplib::Server::HandlerResponse::Handled;
  });
  server_.set_post_routing_handler([this](const Request& q, Response& r) {
    if (r.status != kTooManyRequests) rules_.BeforeAnswer(q.target);
  });
  server_.Get("/keys", [this](const Request& q, Response& r) { List(q, r); });
  server_.Get(R"(/keys/(.+))",
              [this](const Request& q, Response& r) { Get(q, r); });
  server_.Get("/follow",
              [this](const Request& q, Response& r) { Watch(q, r); });
  server_.Post("/multi",
               [this](const Request& q, Response& r) { Transact(q, r); });
  server_.Post("/leases", [this](const Request& q, Response& r) {
    std::lock_guard lock(mutex_);
    const double ttl_s = json::parse(q.body).at("ttl_ms").get<double>() / 1000;
    leases_[next_lease_] = {ttl_s, Now() + ttl_s};
    SendJson(r, 200, {{"hold", next_lease_++}});
  });
  server_.Post(R"(/leases/(\d+)/renew)", [this](const Request& q, Response& r) {
    std::lock_guard lock(mutex_);
    ExpireLeases();
    const auto lease = leases_.find(std::stoull(q.matches[1]));
    if (lease == leases_.end()) return SendJson(r, 404, json::object());
    lease->second.expires_s = Now() + lease->second.ttl_s;
    SendJson(r, 200, json::object());
  });
}

void FakeStateService::ExpireLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (Now() < it->second.expires_s) {
      ++it;
      continue;
    }
    const uint64_t expired = it->first;
    it = leases_.erase(it);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.lease == expired) keys.push_back(key);
    if (keys.empty()) continue;
    ++revision_;
    for (const std::string& key : keys) Apply({{"remove", key}});
    changed_.notify_all();
  }
}

void FakeStateService::Get(const httplib::Request& request,
                           httplib::Response& response) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const std::string key = request.matches[1];
  const auto entry = entries_.find(key);
  if (entry == entries_.end())
    return SendJson(response, 404, {{"epoch", revision_}});
  SendJson(response, 200,
           {{"k", key},
            {"data", entry->second.data},
            {"stamp", entry->second.version}});
}

void FakeStateService::List(const httplib::Request& request,
                            httplib::Response& response) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const std::string prefix = request.get_param_value("under");
  const std::string after = request.get_param_value("after");
  const size_t max_items = std::max<uint64_t>(1, GetNumber(request, "most"));
  json pairs = json::array();
  bool more = false;
  auto it = after.empty() ? entries_.lower_bound(prefix)
                          : entries_.upper_bound(after);
  for (; it != entries_.end() && StartsWith(it->first, prefix); ++it) {
    if (pairs.size() >= max_items) {
      more = true;
      break;
    }
    pairs.push_back({{"k", it->first},
                     {"data", it->second.data},
                     {"stamp", it->second.version}});
  }
  SendJson(response, 200,
           {{"pairs", pairs}, {"has_next", more}, {"epoch", revision_}});
}

void FakeStateService::Apply(const json& operation) {
  if (operation.contains("remove")) {
    const std::string key = operation.at("remove");
    if (entries_.erase(key) > 0) changes_.push_back({revision_, key, nullptr});
    return;
  }
  const std::string key = operation.at("set");
  entries_[key] = {operation.at("data"), revision_,
                   operation.value("hold", uint64_t{0})};
  changes_.push_back({revision_, key, operation.at("data")});
}

void FakeStateService::Transact(const httplib::Request& request,
                                httplib::Response& response) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const json body = json::parse(request.body);
  const json operations = body.value("then", json::array());
  for (const json& operation : operations) {
    const uint64_t lease = operation.value("hold", uint64_t{0});
    if (lease != 0 && !leases_.count(lease))
      return SendJson(response, 400, {{"error", "no such lease"}});
  }
  json failed = json::array();
  for (const json& guard : body.value("guards", json::array())) {
    const auto entry = entries_.find(guard.at("k").get<std::string>());
    const uint64_t version =
        entry == entries_.end() ? 0 : entry->second.version;
    if (version != guard.at("stamp").get<uint64_t>())
      failed.push_back(guard.at("k"));
  }
  if (!failed.empty())
    return SendJson(response, 409, {{"failed", failed}, {"epoch", revision_}});
  if (!operations.empty()) ++revision_;
  for (const json& operation : operations) Apply(operation);
  changed_.notify_all();
  SendJson(response, 200, {{"epoch", revision_}});
}

json FakeStateService::ChangesAfter(const std::string& prefix,
                                    uint64_t after) const {
  json changes = json::array();
  for (const Change& change : changes_) {
    if (change.revision <= after || !StartsWith(change.key, prefix)) continue;
    json item = {{"stamp", change.revision}};
    item[change.data.is_null() ? "remove" : "set"] = change.key;
    if (!change.data.is_null()) item["data"] = change.data;
    changes.push_back(std::move(item));
  }
  return changes;
}

void FakeStateService::Watch(const httplib::Request& request,
                             httplib::Response& response) {
  const std::string prefix = request.get_param_value("under");
  const uint64_t after = GetNumber(request, "after");
  const double deadline_s =
      Now() + static_cast<double>(GetNumber(request, "wait_ms")) / 1000;
  constexpr auto kPollInterval = std::chrono::milliseconds(50);
  std::unique_lock lock(mutex_);
  json changes = ChangesAfter(prefix, after);
  while (changes.empty() && Now() < deadline_s) {
    changed_.wait_for(lock, kPollInterval);
    ExpireLeases();
    changes = ChangesAfter(prefix, after);
  }
  SendJson(response, 200, {{"epoch", revision_}, {"news", changes}});
  lock.unlock();
  if (!changes.empty())
    std::this_thread::sleep_for(
        std::chrono::duration<double>(watch_delay_s_.load()));
}

}  // namespace sorrelwood::test
