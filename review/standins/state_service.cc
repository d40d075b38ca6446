#include "state_service.h"

namespace review {
namespace {

constexpr size_t kKeptChanges = 10000;
constexpr size_t kMaxListBytes = 512 * 1024;
constexpr size_t kMaxTransactionBytes = 64 * 1024;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

uint64_t Number(const httplib::Request& request, const char* name) {
  if (!request.has_param(name)) return 0;
  return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

}  // namespace

StateService::StateService(const StateLimits& limits)
    : limits_(limits), requests_(limits.rps), writes_(limits.write_rps) {
  server_.new_task_queue = [] { return new httplib::ThreadPool(128); };
  server_.set_keep_alive_max_count(100000000);
  server_.set_keep_alive_timeout(300);
  server_.set_tcp_nodelay(true);
  Route();
  port_ = server_.bind_to_any_port("127.0.0.1");
  std::thread([this] { server_.listen_after_bind(); }).detach();
  std::thread([this] {
    for (;;) {
      SleepFor(0.02);
      std::lock_guard lock(mutex_);
      ExpireLeases();
    }
  }).detach();
}

uint64_t StateService::epoch() const {
  std::lock_guard lock(mutex_);
  return epoch_;
}

json StateService::Value(const std::string& key) const {
  std::lock_guard lock(mutex_);
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? json() : entry->second.data;
}

std::map<int, long> StateService::answers() const {
  std::lock_guard lock(mutex_);
  return answers_;
}

void StateService::Send(httplib::Response& response, int status,
                        const json& body) {
  ++answers_[status];
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

// The mutex must be held.
bool StateService::Admit(httplib::Response& response) {
  if (requests_.Take(1)) return true;
  Send(response, 429, {{"error", "too many requests"}});
  return false;
}

void StateService::Route() {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server_.Get("/keys", [this](const Request& q, Response& r) {
    SleepFor(limits_.latency_s);
    std::lock_guard lock(mutex_);
    if (Admit(r)) List(q, r);
  });
  server_.Get(R"(/keys/(.+))", [this](const Request& q, Response& r) {
    SleepFor(limits_.latency_s);
    std::lock_guard lock(mutex_);
    const bool admitted = Admit(r);
    if (admitted) Get(q, r);
    const std::string key = q.matches[1];
    if (StartsWith(key, "sw/w/final/")) {
      ++(admitted ? finals_read_ : finals_refused_);
      return;
    }
    Record::Line(
        "state: %s is read, answer %d; final states read so far: %ld, refused "
        "with 429: %ld",
        key.c_str(), r.status, finals_read_, finals_refused_);
  });
  server_.Get("/follow",
              [this](const Request& q, Response& r) { Follow(q, r); });
  server_.Post("/multi", [this](const Request& q, Response& r) {
    SleepFor(limits_.latency_s);
    std::lock_guard lock(mutex_);
    if (Admit(r)) Multi(q, r);
  });
  server_.Post("/leases", [this](const Request& q, Response& r) {
    SleepFor(limits_.latency_s);
    std::lock_guard lock(mutex_);
    if (!Admit(r)) return;
    const double ttl_s = json::parse(q.body).at("ttl_ms").get<double>() / 1000;
    leases_[next_lease_] = {ttl_s, Now() + ttl_s};
    Send(r, 200, {{"hold", next_lease_++}});
  });
  server_.Post(R"(/leases/(\d+)/renew)", [this](const Request& q, Response& r) {
    SleepFor(limits_.latency_s);
    std::lock_guard lock(mutex_);
    if (!Admit(r)) return;
    ExpireLeases();
    const auto lease = leases_.find(std::stoull(q.matches[1]));
    if (lease == leases_.end()) return Send(r, 404, json::object());
    lease->second.ends_at = Now() + lease->second.ttl_s;
    Send(r, 200, json::object());
  });
  server_.Delete(R"(/leases/(\d+))", [this](const Request& q, Response& r) {
    std::lock_guard lock(mutex_);
    if (!Admit(r)) return;
    const auto lease = leases_.find(std::stoull(q.matches[1]));
    if (lease == leases_.end()) return Send(r, 404, json::object());
    lease->second.ends_at = 0;
    ExpireLeases();
    Send(r, 200, json::object());
  });
}

void StateService::ExpireLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (Now() < it->second.ends_at) {
      ++it;
      continue;
    }
    const uint64_t ended = it->first;
    it = leases_.erase(it);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_)
      if (entry.hold == ended) keys.push_back(key);
    for (const std::string& key : keys) {
      ++epoch_;
      Apply({{"remove", key}});
    }
    if (!keys.empty()) changed_.notify_all();
  }
}

void StateService::Get(const httplib::Request& request,
                       httplib::Response& response) {
  ExpireLeases();
  const auto entry = entries_.find(request.matches[1]);
  if (entry == entries_.end()) return Send(response, 404, {{"epoch", epoch_}});
  json body = {{"k", entry->first},
               {"data", entry->second.data},
               {"stamp", entry->second.stamp}};
  if (entry->second.hold != 0) body["hold"] = entry->second.hold;
  Send(response, 200, body);
}

void StateService::List(const httplib::Request& request,
                        httplib::Response& response) {
  ExpireLeases();
  const std::string under = request.get_param_value("under");
  const std::string after = request.get_param_value("after");
  uint64_t most = Number(request, "most");
  if (most == 0 || most > 1000) most = 1000;
  json pairs = json::array();
  size_t bytes = 0;
  bool more = false;
  auto it =
      after.empty() ? entries_.lower_bound(under) : entries_.upper_bound(after);
  for (; it != entries_.end() && StartsWith(it->first, under); ++it) {
    json pair = {{"k", it->first},
                 {"data", it->second.data},
                 {"stamp", it->second.stamp}};
    bytes += pair.dump().size() + 1;
    if (pairs.size() >= most || bytes > kMaxListBytes - 100) {
      more = true;
      break;
    }
    pairs.push_back(std::move(pair));
  }
  Send(response, 200,
       {{"pairs", pairs}, {"has_next", more}, {"epoch", epoch_}});
}

void StateService::Apply(const json& change) {
  if (change.contains("remove")) {
    const std::string key = change.at("remove");
    if (entries_.erase(key) > 0) changes_.push_back({epoch_, key, true, {}});
  } else {
    const std::string key = change.at("set");
    entries_[key] = {change.at("data"), epoch_,
                     change.value("hold", uint64_t{0})};
    changes_.push_back({epoch_, key, false, change.at("data")});
  }
  while (changes_.size() > kKeptChanges) {
    oldest_kept_ = changes_.front().stamp;
    changes_.pop_front();
  }
}

void StateService::Multi(const httplib::Request& request,
                         httplib::Response& response) {
  ExpireLeases();
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || request.body.size() > kMaxTransactionBytes)
    return Send(response, 400, {{"error", "malformed"}});
  const json then = body.value("then", json::array());
  const json guards = body.value("guards", json::array());
  const auto ops = static_cast<size_t>(limits_.txn_ops);
  if (then.size() > ops || guards.size() > 4 * ops)
    return Send(response, 400, {{"error", "too many"}});
  for (const json& change : then) {
    if (change.contains("set") &&
        static_cast<double>(change.at("data").dump().size()) >
            limits_.value_kb * 1024)
      return Send(response, 400, {{"error", "value too large"}});
    const uint64_t hold = change.value("hold", uint64_t{0});
    if (hold != 0 && !leases_.count(hold))
      return Send(response, 400, {{"error", "no such lease"}});
  }
  if (!then.empty() && !writes_.Take(static_cast<double>(then.size())))
    return Send(response, 429, {{"error", "too many changes"}});
  json failed = json::array();
  for (const json& guard : guards) {
    const auto entry = entries_.find(guard.at("k").get<std::string>());
    const uint64_t stamp = entry == entries_.end() ? 0 : entry->second.stamp;
    if (stamp != guard.at("stamp").get<uint64_t>())
      failed.push_back(guard.at("k"));
  }
  if (!failed.empty())
    return Send(response, 409, {{"failed", failed}, {"epoch", epoch_}});
  if (!then.empty()) {
    ++epoch_;  // every change of a transaction shares one revision
    for (const json& change : then) Apply(change);
    changed_.notify_all();
  }
  Send(response, 200, {{"epoch", epoch_}});
}

void StateService::Follow(const httplib::Request& request,
                          httplib::Response& response) {
  const std::string under = request.get_param_value("under");
  const uint64_t after = Number(request, "after");
  const double ends_at =
      Now() + static_cast<double>(Number(request, "wait_ms")) / 1000;
  SleepFor(limits_.latency_s);
  std::unique_lock lock(mutex_);
  if (!Admit(response)) return;
  json news = json::array();
  for (;;) {
    if (after < oldest_kept_) {
      ++gone_;
      return Send(response, 410, {{"error", "too old"}});
    }
    auto it = changes_.rbegin();
    while (it != changes_.rend() && it->stamp > after) ++it;
    for (auto forward = it.base(); forward != changes_.end(); ++forward) {
      if (!StartsWith(forward->key, under)) continue;
      json item = {{"stamp", forward->stamp}};
      item[forward->removed ? "remove" : "set"] = forward->key;
      if (!forward->removed) item["data"] = forward->data;
      news.push_back(std::move(item));
    }
    const double left_s = ends_at - Now();
    if (!news.empty() || left_s <= 0) break;
    changed_.wait_for(lock, std::chrono::duration<double>(left_s));
  }
  Send(response, 200, {{"epoch", epoch_}, {"news", news}});
}

}  // namespace review
