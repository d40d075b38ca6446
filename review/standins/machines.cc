#include "machines.h"

#include <algorithm>

namespace review {
namespace {

constexpr size_t kMaxLineBytes = 64 * 1024;
constexpr size_t kMaxBodyBytes = 64 * 1024;

std::string JobOf(const std::string& part) {
  return part.substr(0, part.rfind('/'));
}

void Send(httplib::Response& response, int status, const json& body) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

std::string PoolName(const std::string& type, const std::string& room,
                     bool loaners) {
  return type + "/" + room + (loaners ? "/spot" : "/ordinary");
}

}  // namespace

void Jobs::Add(const json& spec, double run_s) {
  std::lock_guard lock(mutex_);
  jobs_[spec.at("uid")] = {spec, run_s};
}

bool Jobs::Find(const std::string& id, Job* job) const {
  std::lock_guard lock(mutex_);
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) return false;
  *job = entry->second;
  return true;
}

void Jobs::MarkDone(const std::string& part) {
  std::lock_guard lock(mutex_);
  done_.insert(part);
}

bool Jobs::IsDone(const std::string& part) const {
  std::lock_guard lock(mutex_);
  return done_.count(part) > 0;
}

size_t Jobs::CountDone(const std::string& id) const {
  std::lock_guard lock(mutex_);
  size_t count = 0;
  for (auto it = done_.lower_bound(id + "/");
       it != done_.end() && JobOf(*it) == id; ++it)
    ++count;
  return count;
}

size_t History::Start(const std::string& part, const std::string& machine) {
  std::lock_guard lock(mutex_);
  stays_.push_back({part, machine, Now(), -1});
  Record::Line("run: %s starts on %s", part.c_str(), machine.c_str());
  return stays_.size() - 1;
}

void History::End(size_t stay) {
  std::lock_guard lock(mutex_);
  stays_[stay].to = Now();
  Record::Line("run: %s is off %s", stays_[stay].part.c_str(),
               stays_[stay].machine.c_str());
}

std::vector<Stay> History::stays() const {
  std::lock_guard lock(mutex_);
  return stays_;
}

// --- Worker ------------------------------------------------------------------

Worker::Worker(std::string name, MachineType type, std::string room,
               bool loaners, const WorkerSettings* settings, Jobs* jobs,
               History* history)
    : name_(std::move(name)),
      type_(std::move(type)),
      room_(std::move(room)),
      loaners_(loaners),
      settings_(settings),
      jobs_(jobs),
      history_(history) {
  lease_from_ = Now();
  for (const auto& [node, address] : settings_->controllers)
    ring_.push_back(node);
  if (Random(0, 1) < 0.5) std::reverse(ring_.begin(), ring_.end());
  node_ = ring_[static_cast<size_t>(
      Random(0, static_cast<double>(ring_.size()) - 0.001))];
  server_.new_task_queue = [] { return new httplib::ThreadPool(3); };
  server_.Get("/inspect",
              [this](const httplib::Request&, httplib::Response& r) {
                std::lock_guard lock(mutex_);
                Send(r, 200, MakeReport());
              });
  server_.Post("/commands", [this](const httplib::Request& q,
                                   httplib::Response& r) {
    const json body = json::parse(q.body, nullptr, false);
    if (body.is_object() && body.contains("baton")) {
      const uint64_t baton = body.at("baton");
      const bool lost = settings_->is_lost && settings_->is_lost(baton);
      Record::Line("direct command with baton %lu to %s%s", baton,
                   name_.c_str(), lost ? ": lost in the cut" : "");
      if (lost) {
        SleepFor(2);  // its sender has given up before
        return Send(r, 503, json::object());
      }
    }
    std::lock_guard lock(mutex_);
    if (!body.is_object() || !body.contains("baton") || !body.contains("shift"))
      return Send(r, 400, json::object());
    const uint64_t baton = body.at("baton");
    if (baton < baton_ || body.at("shift").get<uint64_t>() != shift_)
      return Send(r, 409, MakeReport());
    if (baton > baton_) {
      baton_ = baton;
      if (Now() - baton_change_at_ > settings_->lease_s / 2) {
        baton_change_at_ = Now();
        changed_ = true;
      }
    }
    Execute(body.value("orders", json::array()));
    Send(r, 200, MakeReport());
  });
  port_ = server_.bind_to_any_port("127.0.0.1");
  endpoint_ = settings_->make_endpoint ? settings_->make_endpoint(port_)
                                       : Address(port_);
  server_thread_ = std::thread([this] { server_.listen_after_bind(); });
  tasks_thread_ = std::thread([this] { RunTasks(); });
  reports_thread_ = std::thread([this] { RunReports(); });
}

Worker::~Worker() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    DropAll();
  }
  server_.stop();
  server_thread_.join();
  tasks_thread_.join();
  reports_thread_.join();
}

// Ends the lease in time, whatever a report waits for.
void Worker::RunTasks() {
  while (!stopping_) {
    SleepFor(0.01);
    std::lock_guard lock(mutex_);
    if (Now() - lease_from_ > settings_->lease_s) {
      if (!tasks_.empty())
        Record::Line("%s: its lease has ended, it kills its tasks",
                     name_.c_str());
      DropAll();
      ++shift_;
      tick_ = 0;
      lease_from_ = Now();
      changed_ = true;
    }
    Advance();
  }
}

void Worker::RunReports() {
  while (!stopping_) {
    SleepFor(0.01);
    bool due = false;
    {
      std::lock_guard lock(mutex_);
      due = Now() >= next_report_at_ ||
            (changed_ && may_report_change_ && Now() - last_report_at_ >= 0.5);
    }
    if (due && !stopping_) Report();
  }
}

void Worker::Advance() {
  for (auto& [key, task] : tasks_) {
    if (task.status == "ended" || Now() < task.changes_at) continue;
    const std::string& part = key.first;
    if (task.status == "fetching") {
      images_.insert(task.bundle);
      task.status = "running";
      changed_ = true;
      task.stay = history_->Start(part, name_);
      task.has_stay = true;
      Jobs::Job job;
      jobs_->Find(JobOf(part), &job);
      task.changes_at = Now() + (jobs_->IsDone(part) ? 0 : job.run_s);
    } else if (task.status == "running") {
      jobs_->MarkDone(part);
      End(&task, "done");
    } else {  // saving
      task.saved = true;
      End(&task, "halted");
    }
  }
}

void Worker::End(Task* task, const std::string& cause) {
  if (task->has_stay) history_->End(task->stay);
  task->has_stay = false;
  task->status = "ended";
  task->cause = cause;
  task->cores = task->cards = task->memory_gb = 0;
  changed_ = true;
}

void Worker::DropAll() {
  for (auto& [key, task] : tasks_)
    if (task.has_stay) history_->End(task.stay);
  tasks_.clear();
}

std::pair<std::string, double> Worker::next_report() {
  std::lock_guard lock(mutex_);
  return {node_, next_report_at_};
}

std::string Worker::answered_by() {
  std::lock_guard lock(mutex_);
  return answered_by_;
}

json Worker::MakeReport() {
  json parts = json::array();
  for (const auto& [key, task] : tasks_) {
    json part = {
        {"part", key.first}, {"try", task.attempt}, {"status", task.status}};
    if (task.status == "ended") part["cause"] = task.cause;
    if (task.saved) part["saved"] = true;
    parts.push_back(std::move(part));
  }
  return {{"perch", name_},       {"endpoint", endpoint()},
          {"build", type_.name},  {"room", room_},
          {"loaners", loaners_},  {"shift", shift_},
          {"tick", ++tick_},      {"baton", baton_},
          {"warning_s", nullptr}, {"parts", std::move(parts)}};
}

void Worker::TryNext(const std::string& steward) {
  client_.reset();
  const auto& all = settings_->controllers;
  if (!steward.empty() && steward != node_ && all.count(steward)) {
    std::lock_guard lock(mutex_);
    node_ = steward;
    next_report_at_ = Now() + Random(0, 0.5);
    may_report_change_ = false;
    return;
  }
  std::lock_guard lock(mutex_);
  auto next = std::next(std::find(ring_.begin(), ring_.end(), node_));
  node_ = next == ring_.end() ? ring_.front() : *next;
  next_report_at_ = Now() + 1;
  may_report_change_ = false;  // not before that second has passed
}

void Worker::Report() {
  std::string body;
  uint64_t shift = 0, baton = 0;
  {
    std::lock_guard lock(mutex_);
    changed_ = false;
    may_report_change_ = true;
    body = MakeReport().dump();
    shift = shift_;
    baton = baton_;
    last_report_at_ = Now();
    next_report_at_ = Now() + settings_->report_s * Random(0.75, 1.25);
  }
  const double sent_at = Now();
  if (!client_) {
    const std::string& address = settings_->controllers.at(node_);
    const size_t colon = address.find(':');
    client_ = std::make_unique<httplib::Client>(
        address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    client_->set_keep_alive(true);
    client_->set_tcp_nodelay(true);
    client_->set_connection_timeout(4);
    client_->set_read_timeout(4);
  }
  if (body.size() > kMaxBodyBytes) {
    Record::Line("%s report of %zu bytes is over 64 KiB, not sent",
                 name_.c_str(), body.size());
    return;
  }
  const auto result = client_->Post("/agent/beat", body, "application/json");
  if (!result || Now() - sent_at > 4) {
    Record::Line("report of %s (sent %.2f s) to %s: no answer", name_.c_str(),
                 sent_at, node_.c_str());
    return TryNext("");
  }
  const json answer = json::parse(result->body, nullptr, false);
  Record::Line("report of %s (sent %.2f s, baton %lu) to %s: %d, baton %ld",
               name_.c_str(), sent_at, baton, node_.c_str(), result->status,
               answer.is_object() ? answer.value("baton", -1L) : -1L);
  if (result->status == 421)
    return TryNext(answer.is_object() ? answer.value("steward", "") : "");
  if (result->status != 200 || !answer.is_object()) return TryNext("");
  if (result->body.size() > kMaxLineBytes) {
    Record::Line("%s answer with a line of %zu bytes, over 64 KiB",
                 name_.c_str(), result->body.size());
    return TryNext("");
  }
  std::lock_guard lock(mutex_);
  const uint64_t answered = answer.value("baton", uint64_t{0});
  if (answered < baton_ || shift != shift_) return;  // dropped
  if (answered > baton_) {
    baton_ = answered;
    if (Now() - baton_change_at_ > settings_->lease_s / 2) {
      baton_change_at_ = Now();
      changed_ = true;
    }
  }
  lease_from_ = std::max(lease_from_, sent_at);
  answered_by_ = node_;
  Execute(answer.value("orders", json::array()));
}

void Worker::Execute(const json& orders) {
  if (stopping_) return;
  for (const json& order : orders) {
    const std::string verb = order.at("verb");
    const TaskKey key{order.at("part"), order.at("try")};
    if (verb == "launch") {
      Launch(key.first, key.second);
    } else if (verb == "halt") {
      Halt(key, order.value("leeway_s", 0.0));
    } else if (verb == "clear") {
      const auto task = tasks_.find(key);
      if (task != tasks_.end() && task->second.status == "ended") {
        tasks_.erase(task);
        changed_ = true;
      }
    }
  }
}

void Worker::Launch(const std::string& part, uint64_t attempt) {
  const TaskKey key{part, attempt};
  if (tasks_.count(key)) return;
  Task task;
  task.attempt = attempt;
  changed_ = true;
  Jobs::Job job;
  const uint64_t index =
      std::strtoull(part.c_str() + part.rfind('/') + 1, nullptr, 10);
  if (!jobs_->Find(JobOf(part), &job) ||
      index >= job.spec.at("parts").get<uint64_t>()) {
    End(&task, "no_such");
    tasks_[key] = task;
    return;
  }
  for (const auto& [other_key, other] : tasks_)
    if (other_key.first == part && other.status != "ended") {
      End(&task, "in_use");
      tasks_[key] = task;
      return;
    }
  task.cores = job.spec.at("cores");
  task.cards = job.spec.at("cards");
  task.memory_gb = job.spec.at("memory_gb");
  double cores = task.cores, cards = task.cards, memory_gb = task.memory_gb;
  for (const auto& [other_key, other] : tasks_) {
    cores += other.cores;
    cards += other.cards;
    memory_gb += other.memory_gb;
  }
  if (cores > type_.cores + 1e-6 || cards > type_.cards + 1e-6 ||
      memory_gb > type_.memory_gb + 1e-6) {
    End(&task, "full");
    tasks_[key] = task;
    return;
  }
  task.bundle = job.spec.at("bundle");
  const double fetch_s =
      images_.count(task.bundle)
          ? 0
          : job.spec.at("size_gb").get<double>() / type_.pull_gb_per_s;
  task.changes_at = Now() + fetch_s;
  tasks_[key] = task;
}

void Worker::Halt(const TaskKey& key, double leeway_s) {
  const auto entry = tasks_.find(key);
  if (entry == tasks_.end() || entry->second.status == "ended") return;
  Task& task = entry->second;
  Jobs::Job job;
  jobs_->Find(JobOf(key.first), &job);
  const double stash_s = job.spec.at("stash_s");
  if (task.status == "flushing") {
    if (leeway_s == 0) End(&task, "halted");
  } else if (task.status == "running" &&
             job.spec.at("bookmark_s").get<double>() > 0 &&
             leeway_s >= stash_s) {
    task.status = "flushing";
    task.changes_at = Now() + stash_s;
    changed_ = true;
  } else {
    End(&task, "halted");
  }
}

// --- Cloud -------------------------------------------------------------------

Cloud::Cloud(std::vector<MachineType> types, double rps, double list_lag_s,
             const std::map<std::string, WorkerSettings>* settings, Jobs* jobs,
             History* history)
    : types_(std::move(types)),
      list_lag_s_(list_lag_s),
      settings_(settings),
      jobs_(jobs),
      history_(history),
      requests_(2 * rps) {
  server_.new_task_queue = [] { return new httplib::ThreadPool(32); };
  server_.set_keep_alive_max_count(100000000);
  server_.set_keep_alive_timeout(300);
  Route();
  port_ = server_.bind_to_any_port("127.0.0.1");
  std::thread([this] { server_.listen_after_bind(); }).detach();
  std::thread([this] { Boot(); }).detach();
}

void Cloud::SetCapacity(const std::string& type, const std::string& room,
                        bool loaners, int count) {
  std::lock_guard lock(mutex_);
  capacity_[PoolName(type, room, loaners)] = count;
}

size_t Cloud::CountUp() const {
  std::lock_guard lock(mutex_);
  size_t count = 0;
  for (const auto& [name, host] : hosts_) count += host.worker != nullptr;
  return count;
}

void Cloud::ForEachUp(
    const std::function<void(const std::string&, const std::string&, Worker*)>&
        look) {
  std::lock_guard lock(mutex_);
  for (auto& [name, host] : hosts_)
    if (host.worker) look(name, host.room, host.worker.get());
}

void Cloud::Boot() {
  for (;;) {
    SleepFor(0.05);
    std::lock_guard lock(mutex_);
    for (auto& [name, host] : hosts_) {
      if (host.worker || host.gone_at >= 0 || Now() < host.up_at) continue;
      for (const MachineType& type : types_)
        if (type.name == host.type)
          host.worker = std::make_unique<Worker>(
              name, type, host.room, host.loaners,
              settings_->count(host.room) ? &settings_->at(host.room)
                                          : &settings_->at(""),
              jobs_, history_);
      host.endpoint = host.worker->endpoint();
      Record::Line("machine %s (%s, room %s) is up", name.c_str(),
                   host.type.c_str(), host.room.c_str());
    }
  }
}

bool Cloud::Admit(httplib::Response& response) {
  if (requests_.Take(1)) return true;
  Send(response, 429, {{"error", "too many"}});
  return false;
}

void Cloud::Route() {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server_.Get("/catalog", [this](const Request&, Response& r) {
    std::lock_guard lock(mutex_);
    if (!Admit(r)) return;
    json builds = json::array();
    for (const MachineType& type : types_)
      builds.push_back({{"name", type.name},
                        {"cores", type.cores},
                        {"cards", type.cards},
                        {"memory_gb", type.memory_gb},
                        {"cache_gb", type.cache_gb},
                        {"pull_gb_per_s", type.pull_gb_per_s},
                        {"price", type.price},
                        {"spot_price", type.spot_price},
                        {"ready_s", type.ready_s},
                        {"rooms", type.rooms}});
    Send(r, 200, {{"builds", builds}});
  });
  server_.Post("/hosts", [this](const Request& q, Response& r) {
    const json body = json::parse(q.body, nullptr, false);
    std::lock_guard lock(mutex_);
    if (!Admit(r)) return;
    if (!body.is_object() || body.value("number", 0) < 1 ||
        body.value("number", 0) > 50)
      return Send(r, 400, json::object());
    const std::string hire = body.at("hire");
    const auto known = hires_.find(hire);
    if (known != hires_.end())
      return Send(r, 200, {{"perches", known->second}});
    const std::string type = body.at("build"), room = body.at("room");
    const bool loaners = body.at("loaners");
    int free = capacity_.count(PoolName(type, room, loaners))
                   ? capacity_[PoolName(type, room, loaners)]
                   : 0;
    for (const auto& [name, host] : hosts_)
      if (host.gone_at < 0 && host.type == type && host.room == room &&
          host.loaners == loaners)
        --free;
    if (free <= 0) return Send(r, 503, {{"error", "no capacity"}});
    std::vector<std::string> names;
    for (int i = 0; i < std::min(free, body.at("number").get<int>()); ++i) {
      char name[16];
      std::snprintf(name, sizeof(name), "n-%06d", next_host_++);
      names.push_back(name);
      Host& host = hosts_[name];
      host.type = type;
      host.room = room;
      host.loaners = loaners;
      host.rented_at = Now();
      double ready_s = 2;
      for (const MachineType& known_type : types_)
        if (known_type.name == type) ready_s = known_type.ready_s;
      host.up_at = Now() + ready_s * Random(0.6, 1.5);
    }
    hires_[hire] = names;
    Record::Line("cloud rents %zu %s in %s (%s)", names.size(), type.c_str(),
                 room.c_str(), hire.c_str());
    Send(r, 200, {{"perches", names}});
  });
  server_.Post("/hosts/release", [this](const Request& q, Response& r) {
    const json body = json::parse(q.body, nullptr, false);
    std::vector<std::unique_ptr<Worker>> gone;
    {
      std::lock_guard lock(mutex_);
      if (!Admit(r)) return;
      for (const auto& item : body.at("perches")) {
        const auto host = hosts_.find(item.get<std::string>());
        if (host == hosts_.end() || host->second.gone_at >= 0) continue;
        host->second.gone_at = Now();
        if (host->second.worker) gone.push_back(std::move(host->second.worker));
        Record::Line("machine %s is returned", host->first.c_str());
      }
    }
    gone.clear();  // all that is on them is gone before the answer
    Send(r, 200, json::object());
  });
  server_.Get("/hosts", [this](const Request& q, Response& r) {
    std::lock_guard lock(mutex_);
    if (!Admit(r)) return;
    const double as_of = Now() - list_lag_s_;
    const std::string after = q.get_param_value("after");
    json perches = json::array();
    for (const auto& [name, host] : hosts_) {
      if (name <= after || host.rented_at > as_of) continue;
      if (host.gone_at >= 0 && host.gone_at <= as_of) continue;
      perches.push_back(
          {{"uid", name},
           {"endpoint", host.endpoint},
           {"build", host.type},
           {"room", host.room},
           {"loaners", host.loaners},
           {"status", host.up_at <= as_of && !host.endpoint.empty()
                          ? "running"
                          : "booting"},
           {"held_s", as_of - host.rented_at}});
    }
    Send(r, 200, {{"perches", perches}, {"has_next", false}});
  });
}

}  // namespace review
