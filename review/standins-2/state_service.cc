#include "state_service.h"

#include <algorithm>

namespace review {
namespace {

constexpr size_t kKeptChanges = 10000;
constexpr double kBodyLimit = 64 * 1024;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

uint64_t Number(const httplib::Request& request, const char* name) {
  return request.has_param(name) ? std::stoull(request.get_param_value(name))
                                 : 0;
}

}  // namespace

StateService::StateService(int controllers, double rps, double write_rps,
                           double value_kb, int txn_ops)
    : rps_(rps),
      write_rps_(write_rps),
      value_kb_(value_kb),
      txn_ops_(txn_ops),
      tokens_(rps),
      write_tokens_(write_rps) {
  for (int i = 0; i < controllers; ++i) {
    ports_.push_back(std::make_unique<Port>());
    RegisterRoutes(i);
  }
}

void StateService::Start() {
  for (auto& port : ports_) port->server.Start();
  std::thread([this] { ExpireLoop(); }).detach();
}

void StateService::Stop() {
  for (auto& port : ports_) port->server.Stop();
}

std::string StateService::address(int controller) const {
  return ports_[static_cast<size_t>(controller)]->server.address();
}

void StateService::SetAccess(int controller, const Access& access) {
  std::lock_guard lock(mutex_);
  ports_[static_cast<size_t>(controller)]->access = access;
  changed_.notify_all();
}

void StateService::SetWatchDelay(int controller, double delay_s) {
  std::lock_guard lock(mutex_);
  ports_[static_cast<size_t>(controller)]->watch_delay_s = delay_s;
}

void StateService::AddSlow(int controller, const Slow& slow) {
  std::lock_guard lock(mutex_);
  ports_[static_cast<size_t>(controller)]->slow.push_back(slow);
}

bool StateService::IsSlowDone(int controller, const std::string& target) {
  std::lock_guard lock(mutex_);
  return ports_[static_cast<size_t>(controller)]->slow_done.count(target) > 0;
}

json StateService::Value(const std::string& key) {
  std::lock_guard lock(mutex_);
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? json() : entry->second.data;
}

std::vector<std::string> StateService::Keys(const std::string& prefix) {
  std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_)
    if (StartsWith(key, prefix)) keys.push_back(key);
  return keys;
}

std::string StateService::Leader() {
  const json value = Value("sw/w/leader");
  return value.is_object() ? value.value("node", "") : "";
}

httplib::Server::Handler StateService::Guarded(int controller,
                                               Handler handler) {
  Port* port = ports_[static_cast<size_t>(controller)].get();
  return [this, port, handler = std::move(handler)](
             const httplib::Request& request, httplib::Response& response) {
    double delay_s = 0, slow_share = 0, slow_s = 0;
    {
      std::unique_lock lock(mutex_);
      if (port->access.unreachable) {
        // The request is lost. The answer comes after the client has given up.
        lock.unlock();
        SleepFor(7);
        return SendJson(response, 503, json::object());
      }
      if (port->access.refused)
        return SendJson(response, 503, {{"error", "trouble"}});
      if (!TakeTokens(&tokens_, &filled_at_, rps_, 1))
        return SendJson(response, 429, {{"error", "too many requests"}});
      delay_s = port->access.delay_s;
      slow_share = port->access.slow_share;
      slow_s = port->access.slow_s;
    }
    Slow slow;
    {
      std::lock_guard lock(mutex_);
      const auto match = std::find_if(
          port->slow.begin(), port->slow.end(), [&](const Slow& candidate) {
            return StartsWith(request.target, candidate.target);
          });
      if (match != port->slow.end()) {
        slow = *match;
        port->slow.erase(match);
        Record("state: slow for " + request.target + ": carried out after " +
               std::to_string(slow.before_s) + " s, answered " +
               std::to_string(slow.after_s) + " s later");
      }
    }
    if (slow_share > 0 && RandomBetween(0, 1) < slow_share) {
      slow.before_s += RandomBetween(0, slow_s);
      slow.after_s += RandomBetween(0, slow_s);
    }
    SleepFor(slow.before_s);
    handler(request, response);
    if (!slow.target.empty()) {
      Record("state: carried out " + request.target + " -> " +
             std::to_string(response.status));
      std::lock_guard lock(mutex_);
      port->slow_done.insert(slow.target);
    }
    SleepFor(delay_s + slow.after_s);
    bool lost = false;
    {
      std::lock_guard lock(mutex_);
      lost = port->access.unreachable;
    }
    // An answer that was under way when the link was cut gets lost as well.
    if (lost) SleepFor(7);
  };
}

void StateService::RegisterRoutes(int controller) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  httplib::Server& routes =
      ports_[static_cast<size_t>(controller)]->server.routes();
  routes.Get("/keys", Guarded(controller, [this](const Request& q,
                                                 Response& r) { List(q, r); }));
  routes.Get(R"(/keys/(.+))",
             Guarded(controller,
                     [this](const Request& q, Response& r) { GetKey(q, r); }));
  routes.Get("/follow", Guarded(controller, [this, controller](const Request& q,
                                                               Response& r) {
               Follow(controller, q, r);
             }));
  routes.Post(
      "/multi",
      Guarded(controller, [this, controller](const Request& q, Response& r) {
        double share = 0;
        {
          std::lock_guard lock(mutex_);
          share = ports_[static_cast<size_t>(controller)]->access.late_share;
        }
        if (RandomBetween(0, 1) < share) {
          std::thread([this, q] {
            SleepFor(RandomBetween(2, 12));
            Response ignored;
            Multi(q, ignored);
          }).detach();
          SleepFor(6);
          return SendJson(r, 503, json::object());
        }
        Multi(q, r);
      }));
  routes.Post("/leases",
              Guarded(controller, [this](const Request& q, Response& r) {
                std::lock_guard lock(mutex_);
                const double ttl_s =
                    json::parse(q.body).at("ttl_ms").get<double>() / 1000;
                leases_[next_lease_] = {ttl_s, Now() + ttl_s};
                SendJson(r, 200, {{"hold", next_lease_++}});
              }));
  routes.Post(R"(/leases/(\d+)/renew)",
              Guarded(controller, [this](const Request& q, Response& r) {
                std::lock_guard lock(mutex_);
                ExpireLeases();
                const auto lease = leases_.find(std::stoull(q.matches[1]));
                if (lease == leases_.end())
                  return SendJson(r, 404, {{"epoch", epoch_}});
                lease->second.ends_at = Now() + lease->second.ttl_s;
                SendJson(r, 200, json::object());
              }));
}

bool StateService::TakeTokens(double* tokens, double* filled_at, double rate,
                              double amount) {
  const double now = Now();
  *tokens = std::min(rate, *tokens + (now - *filled_at) * rate);
  *filled_at = now;
  if (*tokens < amount) return false;
  *tokens -= amount;
  return true;
}

void StateService::ExpireLoop() {
  for (;;) {
    SleepFor(0.02);
    std::lock_guard lock(mutex_);
    ExpireLeases();
  }
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
    if (keys.empty()) continue;
    ++epoch_;
    for (const std::string& key : keys) {
      Record("state: lease ended, " + key + " removed");
      Apply({{"remove", key}});
    }
    changed_.notify_all();
  }
}

void StateService::Apply(const json& operation) {
  Change change;
  change.stamp = epoch_;
  if (operation.contains("remove")) {
    change.key = operation.at("remove");
    change.removed = true;
    if (entries_.erase(change.key) == 0) return;
  } else {
    change.key = operation.at("set");
    change.data = operation.at("data");
    entries_[change.key] = {change.data, epoch_,
                            operation.value("hold", uint64_t{0})};
  }
  changes_.push_back(std::move(change));
  if (changes_.size() > kKeptChanges) {
    oldest_dropped_ = changes_.front().stamp;
    changes_.pop_front();
  }
}

void StateService::GetKey(const httplib::Request& request,
                          httplib::Response& response) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const std::string key = request.matches[1];
  const auto entry = entries_.find(key);
  if (entry == entries_.end())
    return SendJson(response, 404, {{"epoch", epoch_}});
  json body = {
      {"k", key}, {"data", entry->second.data}, {"stamp", entry->second.stamp}};
  if (entry->second.hold != 0) body["hold"] = entry->second.hold;
  SendJson(response, 200, body);
}

void StateService::List(const httplib::Request& request,
                        httplib::Response& response) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const std::string prefix = request.get_param_value("under");
  const std::string after =
      request.has_param("after") ? request.get_param_value("after") : "";
  const size_t most =
      std::min<uint64_t>(1000, std::max<uint64_t>(1, Number(request, "most")));
  json pairs = json::array();
  bool more = false;
  size_t bytes = 0;
  auto it = after.empty() ? entries_.lower_bound(prefix)
                          : entries_.upper_bound(std::max(after, prefix));
  for (; it != entries_.end() && StartsWith(it->first, prefix); ++it) {
    json pair = {{"k", it->first},
                 {"data", it->second.data},
                 {"stamp", it->second.stamp}};
    bytes += pair.dump().size();
    if (pairs.size() >= most || (bytes > 500 * 1024 && !pairs.empty())) {
      more = true;
      break;
    }
    pairs.push_back(std::move(pair));
  }
  SendJson(response, 200,
           {{"pairs", pairs}, {"has_next", more}, {"epoch", epoch_}});
}

void StateService::Multi(const httplib::Request& request,
                         httplib::Response& response) {
  std::lock_guard lock(mutex_);
  ExpireLeases();
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || request.body.size() > kBodyLimit)
    return SendJson(response, 400, {{"error", "malformed"}});
  const json operations = body.value("then", json::array());
  const json guards = body.value("guards", json::array());
  if (operations.size() > static_cast<size_t>(txn_ops_) ||
      guards.size() > static_cast<size_t>(4 * txn_ops_))
    return SendJson(response, 400, {{"error", "too many"}});
  for (const json& operation : operations) {
    const uint64_t hold = operation.value("hold", uint64_t{0});
    if (hold != 0 && !leases_.count(hold))
      return SendJson(response, 400, {{"error", "no such lease"}});
    if (operation.contains("data") &&
        static_cast<double>(operation.at("data").dump().size()) >
            value_kb_ * 1024)
      return SendJson(response, 400, {{"error", "value too large"}});
  }
  if (!TakeTokens(&write_tokens_, &write_filled_at_, write_rps_,
                  static_cast<double>(operations.size())))
    return SendJson(response, 429, {{"error", "too many changes"}});
  json failed = json::array();
  for (const json& guard : guards) {
    const auto entry = entries_.find(guard.at("k").get<std::string>());
    const uint64_t stamp = entry == entries_.end() ? 0 : entry->second.stamp;
    if (stamp != guard.at("stamp").get<uint64_t>())
      failed.push_back(guard.at("k"));
  }
  if (!failed.empty())
    return SendJson(response, 409, {{"failed", failed}, {"epoch", epoch_}});
  if (!operations.empty()) ++epoch_;
  for (const json& operation : operations) Apply(operation);
  if (!operations.empty()) changed_.notify_all();
  SendJson(response, 200, {{"epoch", epoch_}});
}

json StateService::ChangesAfter(const std::string& prefix,
                                uint64_t after) const {
  json news = json::array();
  for (const Change& change : changes_) {
    if (change.stamp <= after || !StartsWith(change.key, prefix)) continue;
    json item = {{"stamp", change.stamp}};
    item[change.removed ? "remove" : "set"] = change.key;
    if (!change.removed) item["data"] = change.data;
    news.push_back(std::move(item));
  }
  return news;
}

void StateService::Follow(int controller, const httplib::Request& request,
                          httplib::Response& response) {
  Port* port = ports_[static_cast<size_t>(controller)].get();
  const std::string prefix = request.get_param_value("under");
  const uint64_t after = Number(request, "after");
  const double ends_at =
      Now() + static_cast<double>(Number(request, "wait_ms")) / 1000;
  std::unique_lock lock(mutex_);
  if (after < oldest_dropped_)
    return SendJson(response, 410, {{"epoch", epoch_}});
  json news = ChangesAfter(prefix, after);
  // A watch of a controller that is refused waits as in an outage.
  while (((news.empty()) && Now() < ends_at) || port->access.refused) {
    changed_.wait_for(lock, std::chrono::milliseconds(50));
    news = ChangesAfter(prefix, after);
  }
  const double delay_s = port->watch_delay_s;
  SendJson(response, 200, {{"epoch", epoch_}, {"news", news}});
  lock.unlock();
  SleepFor(delay_s);
}

}  // namespace review
