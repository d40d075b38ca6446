#include "fleet.h"

#include <algorithm>
#include <cstdio>

namespace review {
namespace {

std::string JobOf(const std::string& part) {
  return part.substr(0, part.rfind('/'));
}

constexpr double kAnswerTimeoutS = 4;
constexpr double kNextNodeS = 1;
constexpr double kMinReportGapS = 0.5;

}  // namespace

// --- Jobs --------------------------------------------------------------------

void Jobs::Add(const std::string& uid, const JobPlan& plan) {
  std::lock_guard lock(mutex_);
  jobs_[uid] = plan;
}

std::optional<JobPlan> Jobs::Find(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto job = jobs_.find(uid);
  if (job == jobs_.end()) return std::nullopt;
  return job->second;
}

bool Jobs::HasResult(const std::string& part) const {
  std::lock_guard lock(mutex_);
  return results_.count(part) > 0;
}

void Jobs::SetResult(const std::string& part) {
  std::lock_guard lock(mutex_);
  results_.insert(part);
}

size_t Jobs::CountResults(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  return static_cast<size_t>(
      std::count_if(results_.begin(), results_.end(),
                    [&](const auto& part) { return JobOf(part) == uid; }));
}

// --- History -----------------------------------------------------------------

size_t History::Begin(const std::string& part, const std::string& machine,
                      uint64_t attempt) {
  std::lock_guard lock(mutex_);
  stays_.push_back({part, machine, attempt, Now(), -1});
  return stays_.size() - 1;
}

void History::End(size_t stay) {
  std::lock_guard lock(mutex_);
  stays_[stay].to = Now();
}

void History::Add(const Launch& launch) {
  std::lock_guard lock(mutex_);
  launches_.push_back(launch);
}

std::vector<Stay> History::stays() const {
  std::lock_guard lock(mutex_);
  return stays_;
}

std::vector<Launch> History::launches() const {
  std::lock_guard lock(mutex_);
  return launches_;
}

double History::OnMachinesSince(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  double since = -1;
  for (const Stay& stay : stays_)
    if (JobOf(stay.part) == uid && stay.to < 0 &&
        (since < 0 || stay.from < since))
      since = stay.from;
  return since;
}

bool History::EverStarted(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  return std::any_of(stays_.begin(), stays_.end(),
                     [&](const Stay& stay) { return JobOf(stay.part) == uid; });
}

std::string History::FindRanTwice() const {
  std::lock_guard lock(mutex_);
  std::map<std::string, std::vector<const Stay*>> by_part;
  for (const Stay& stay : stays_) by_part[stay.part].push_back(&stay);
  std::string found;
  for (const auto& [part, stays] : by_part)
    for (size_t i = 0; i < stays.size(); ++i)
      for (size_t j = i + 1; j < stays.size(); ++j)
        if (stays[i]->machine != stays[j]->machine &&
            (stays[i]->to < 0 || stays[j]->from < stays[i]->to))
          found += part + " on " + stays[i]->machine + " and " +
                   stays[j]->machine + "; ";
  return found;
}

// --- Worker ------------------------------------------------------------------

Worker::Worker(std::string name, MachineType type, std::string zone, bool spot,
               const WorkerSettings& settings, Jobs* jobs, History* history)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      type_(std::move(type)),
      spot_(spot),
      settings_(settings),
      jobs_(jobs),
      history_(history) {
  server_.routes().Get(
      "/inspect", [this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(mutex_);
        SendJson(response, 200, MakeReport());
      });
  server_.routes().Post("/commands", [this](const httplib::Request& request,
                                            httplib::Response& response) {
    if (commands_cut_ || gone_ || deaf_ || hung_) {
      SleepFor(5);
      return SendJson(response, 503, json::object());
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("baton") || !body.contains("shift"))
      return SendJson(response, 400, json::object());
    std::lock_guard lock(mutex_);
    const uint64_t baton = body.at("baton");
    const bool accepted =
        baton >= baton_ && body.at("shift").get<uint64_t>() == shift_;
    if (accepted) {
      if (baton > baton_) changed_ = true;
      baton_ = baton;
      Execute(body.value("orders", json::array()), Now(), "commands", baton);
    }
    SendJson(response, accepted ? 200 : 409, MakeReport());
  });
}

Worker::~Worker() { Gone(); }

void Worker::Start() {
  lease_from_ = Now();
  server_.Start();
  controller_ = static_cast<size_t>(
      RandomBetween(0, static_cast<double>(settings_.controllers.size())));
  controller_ = std::min(controller_, settings_.controllers.size() - 1);
  live_ = std::thread([this] { Live(); });
  reports_ = std::thread([this] { Reports(); });
}

void Worker::Gone(bool silent) {
  if (gone_.exchange(true)) return;
  {
    std::lock_guard lock(mutex_);
    KillAll("machine gone");
  }
  if (!silent) server_.Stop();
  if (live_.joinable()) live_.detach();
  if (reports_.joinable()) reports_.detach();
}

void Worker::SetCutFrom(const std::string& controller, bool cut) {
  std::lock_guard lock(mutex_);
  if (cut)
    cut_from_.insert(controller);
  else
    cut_from_.erase(controller);
}

double Worker::FreeCores() {
  std::lock_guard lock(mutex_);
  double free = type_.cores;
  for (const auto& [key, task] : tasks_)
    if (task.status != "ended") free -= task.cores;
  return free;
}

std::string Worker::controller() {
  std::lock_guard lock(mutex_);
  return settings_.controllers[controller_].first;
}

uint64_t Worker::baton() {
  std::lock_guard lock(mutex_);
  return baton_;
}

void Worker::Live() {
  while (!gone_) {
    SleepFor(0.02);
    if (hung_) continue;
    std::lock_guard lock(mutex_);
    if (gone_) return;
    if (Now() - lease_from_ > settings_.lease_s) {
      Record("worker " + name_ + ": lease over, session " +
             std::to_string(shift_ + 1) + " begins");
      KillAll("lease over");
      tasks_.clear();
      ++shift_;
      lease_from_ = Now();
      changed_ = true;
    }
    Advance();
  }
}

void Worker::Advance() {
  for (auto& [key, task] : tasks_) {
    if (task.status == "ended" || Now() < task.changes_at) continue;
    const auto plan = jobs_->Find(JobOf(task.part));
    if (task.status == "fetching") {
      images_.insert(plan->submission.value("bundle", ""));
      task.status = "running";
      task.on_machine = true;
      task.stay = history_->Begin(task.part, name_, task.attempt);
      changed_ = true;
      if (jobs_->HasResult(task.part))
        EndTask(&task, "done");
      else if (plan->mistaken)
        task.changes_at = Now() + settings_.error_s;
      else if (plan->submission.value("shape", "") == "daemon")
        task.changes_at = 1e9;
      else
        task.changes_at = Now() + plan->run_s;
    } else if (task.status == "running") {
      EndTask(&task, plan->mistaken ? "error" : "done");
    } else {  // flushing
      task.saved = true;
      EndTask(&task, "halted");
    }
  }
}

void Worker::EndTask(Task* task, const std::string& cause) {
  if (task->on_machine) history_->End(task->stay);
  task->on_machine = false;
  task->status = "ended";
  task->cause = cause;
  changed_ = true;
  if (cause == "done") jobs_->SetResult(task->part);
  Record("worker " + name_ + ": " + task->part + " try " +
         std::to_string(task->attempt) + " ended: " + cause);
}

void Worker::KillAll(const std::string& why) {
  for (auto& [key, task] : tasks_) {
    if (task.status == "ended") continue;
    EndTask(&task, "killed, " + why);
  }
}

json Worker::MakeReport() {
  json parts = json::array();
  for (const auto& [key, task] : tasks_) {
    json part = {
        {"part", task.part}, {"try", task.attempt}, {"status", task.status}};
    if (task.status == "ended") part["cause"] = task.cause;
    if (task.saved) part["saved"] = true;
    parts.push_back(std::move(part));
  }
  return {{"perch", name_},  {"endpoint", address()}, {"build", type_.name},
          {"room", zone_},   {"loaners", spot_},      {"shift", shift_},
          {"tick", ++tick_}, {"baton", baton_},       {"warning_s", nullptr},
          {"parts", parts}};
}

void Worker::Reports() {
  double due = 0;
  while (!gone_) {
    SleepFor(0.02);
    if (hung_) continue;
    {
      std::lock_guard lock(mutex_);
      const double now = Now();
      const bool is_due =
          now >= due || (changed_ && now >= last_report_sent_ + kMinReportGapS);
      if (!is_due || now < last_report_sent_ + 0.1) continue;
      due = now + settings_.report_s * RandomBetween(0.75, 1.25);
    }
    SendReport();
  }
}

void Worker::NextController(const std::string& steward) {
  {
    std::lock_guard lock(mutex_);
    for (size_t i = 0; i < settings_.controllers.size(); ++i) {
      if (settings_.controllers[i].first != steward || i == controller_)
        continue;
      controller_ = i;
      changed_ = true;
      return;
    }
  }
  SleepFor(kNextNodeS);
  std::lock_guard lock(mutex_);
  controller_ = (controller_ + 1) % settings_.controllers.size();
  changed_ = true;
}

void Worker::SendReport() {
  json report;
  std::string name, address;
  uint64_t shift = 0;
  bool cut = false;
  const double sent = Now();
  {
    std::lock_guard lock(mutex_);
    changed_ = false;
    report = MakeReport();
    shift = shift_;
    std::tie(name, address) = settings_.controllers[controller_];
    cut = cut_from_.count(name) > 0;
  }
  last_report_sent_ = sent;
  if (cut) {
    SleepFor(kAnswerTimeoutS);
    return NextController("");
  }
  if (address != client_address_ || !client_) {
    client_ = std::make_unique<Client>(address, kAnswerTimeoutS);
    client_address_ = address;
  }
  if (RandomBetween(0, 1) < late_copies_) {
    const std::string to =
        settings_
            .controllers[static_cast<size_t>(RandomBetween(
                0, static_cast<double>(settings_.controllers.size()) - 0.01))]
            .second;
    std::thread([report, to] {
      SleepFor(RandomBetween(2, 20));
      Client(to, 4).Post("/agent/beat", report);
    }).detach();
  }
  const Client::Answer answer = client_->Post("/agent/beat", report);
  if (gone_) return;
  while (hung_ && !gone_) SleepFor(0.02);
  {
    std::lock_guard lock(mutex_);
    cut = cut_from_.count(name) > 0 || deaf_;
  }
  if (answer.status != 200 || cut || Now() - sent > kAnswerTimeoutS ||
      !answer.body.is_object()) {
    if (answer.status != 421) client_.reset();
    return NextController(answer.status == 421 && answer.body.is_object()
                              ? answer.body.value("steward", "")
                              : "");
  }
  std::lock_guard lock(mutex_);
  const uint64_t baton = answer.body.value("baton", uint64_t{0});
  if (baton < baton_ || !answer.body.contains("baton") || shift != shift_) {
    Record("worker " + name_ + ": drops an answer of " + name + " with token " +
           std::to_string(baton));
    return;
  }
  if (baton > baton_) {
    changed_ = true;
    Record("worker " + name_ + ": token " + std::to_string(baton) + " from " +
           name);
  }
  baton_ = baton;
  lease_from_ = std::max(lease_from_, sent);
  Execute(answer.body.value("orders", json::array()), sent, name, baton);
}

void Worker::Execute(const json& orders, double report_sent,
                     const std::string& controller, uint64_t baton) {
  for (const json& order : orders) {
    const std::string verb = order.at("verb");
    const std::string part = order.at("part");
    const uint64_t attempt = order.at("try");
    const auto task = tasks_.find({part, attempt});
    if (verb == "launch") {
      if (task != tasks_.end()) continue;
      Record("worker " + name_ + ": launch " + part + " try " +
             std::to_string(attempt) + " from " + controller +
             ", answer to the report of " + std::to_string(report_sent));
      history_->Add(
          {part, name_, attempt, baton, Now(), report_sent, controller});
      LaunchTask(part, attempt);
    } else if (verb == "halt" && task != tasks_.end()) {
      Record("worker " + name_ + ": halt " + part);
      HaltTask(&task->second, order.value("leeway_s", 0.0));
    } else if (verb == "clear" && task != tasks_.end() &&
               task->second.status == "ended") {
      tasks_.erase(task);
    }
  }
}

void Worker::LaunchTask(const std::string& part, uint64_t attempt) {
  Task task;
  task.part = part;
  task.attempt = attempt;
  changed_ = true;
  const auto plan = jobs_->Find(JobOf(part));
  const auto refuse = [&](const char* cause) {
    task.status = "ended";
    task.cause = cause;
    Record("worker " + name_ + ": start of " + part + " refused: " + cause);
    tasks_[{part, attempt}] = task;
  };
  if (!plan) return refuse("no_such");
  task.cores = plan->submission.value("cores", 0.0);
  task.memory_gb = plan->submission.value("memory_gb", 0.0);
  double cores = task.cores, memory_gb = task.memory_gb;
  for (const auto& [key, other] : tasks_) {
    if (other.status == "ended") continue;
    if (other.part == part) return refuse("in_use");
    cores += other.cores;
    memory_gb += other.memory_gb;
  }
  if (cores > type_.cores + 1e-6 || memory_gb > type_.memory_gb + 1e-6)
    return refuse("full");
  const bool has_image =
      images_.count(plan->submission.value("bundle", "")) > 0;
  task.changes_at = Now() + (has_image ? 0 : settings_.image_s);
  tasks_[{part, attempt}] = task;
}

void Worker::HaltTask(Task* task, double leeway_s) {
  if (task->status == "ended") return;
  const auto plan = jobs_->Find(JobOf(task->part));
  const double stash_s = plan->submission.value("stash_s", 0.0);
  const bool saves = plan->submission.value("bookmark_s", 0.0) > 0;
  if (task->status == "running" && saves && leeway_s >= stash_s) {
    task->status = "flushing";
    task->changes_at = Now() + stash_s;
    changed_ = true;
  } else if (task->status != "flushing" || leeway_s == 0) {
    EndTask(task, "halted");
  }
}

// --- Cloud -------------------------------------------------------------------

Cloud::Cloud(std::vector<MachineType> types, std::vector<Capacity> capacity,
             const WorkerSettings& settings, double boot_s, double list_lag_s,
             Jobs* jobs, History* history)
    : types_(std::move(types)),
      capacity_(std::move(capacity)),
      settings_(settings),
      boot_s_(boot_s),
      list_lag_s_(list_lag_s),
      jobs_(jobs),
      history_(history) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server_.routes().Get("/catalog", [this](const Request&, Response& response) {
    json builds = json::array();
    for (const MachineType& type : types_)
      builds.push_back({{"name", type.name},
                        {"cores", type.cores},
                        {"cards", 0.0},
                        {"memory_gb", type.memory_gb},
                        {"cache_gb", 40.0},
                        {"pull_gb_per_s", 0.2},
                        {"price", type.price},
                        {"spot_price", type.spot_price},
                        {"ready_s", type.ready_s},
                        {"rooms", type.zones}});
    SendJson(response, 200, {{"builds", builds}});
  });
  server_.routes().Post("/hosts",
                        [this](const Request& q, Response& r) { Hire(q, r); });
  server_.routes().Post(
      "/hosts/release",
      [this](const Request& q, Response& r) { Release(q, r); });
  server_.routes().Get("/hosts",
                       [this](const Request& q, Response& r) { List(q, r); });
}

void Cloud::Start() {
  server_.Start();
  std::thread([this] { BootLoop(); }).detach();
}

const MachineType& Cloud::Type(const std::string& name) const {
  return *std::find_if(types_.begin(), types_.end(),
                       [&](const auto& type) { return type.name == name; });
}

void Cloud::Hire(const httplib::Request& request, httplib::Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return SendJson(response, 400, json::object());
  std::lock_guard lock(mutex_);
  const std::string name = body.at("hire");
  if (answered_.count(name)) return SendJson(response, 200, answered_[name]);
  const std::string type = body.at("build"), zone = body.at("room");
  const bool spot = body.at("loaners");
  int left = 0;
  for (const Capacity& capacity : capacity_)
    if (capacity.type == type && capacity.zone == zone)
      left = spot ? capacity.spot : capacity.ordinary;
  for (const auto& [host_name, host] : hosts_)
    if (host.gone_at < 0 && host.type == type && host.zone == zone &&
        host.spot == spot)
      --left;
  const int count = std::min(left, body.at("number").get<int>());
  Record("cloud: " + request.body + " -> " +
         (count <= 0 ? "no capacity" : std::to_string(count)));
  if (count <= 0) return SendJson(response, 503, {{"error", "no capacity"}});
  json names = json::array();
  for (int i = 0; i < count; ++i) {
    char host_name[16];
    std::snprintf(host_name, sizeof(host_name), "n-%06d", next_host_++);
    hosts_[host_name] = {
        host_name, type,  zone,
        spot,      Now(), Now() + boot_s_ * RandomBetween(0.9, 1.1),
        -1,        -1,    nullptr};
    names.push_back(host_name);
  }
  answered_[name] = {{"perches", names}};
  SendJson(response, 200, answered_[name]);
}

void Cloud::Release(const httplib::Request& request,
                    httplib::Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return SendJson(response, 400, json::object());
  Record("cloud: release " + request.body);
  std::vector<std::shared_ptr<Worker>> workers;
  {
    std::lock_guard lock(mutex_);
    for (const std::string name : body.at("perches")) {
      const auto host = hosts_.find(name);
      if (host == hosts_.end() || host->second.gone_at >= 0) continue;
      host->second.gone_at = Now();
      if (host->second.worker) workers.push_back(host->second.worker);
    }
  }
  for (auto& worker : workers) worker->Gone();
  SendJson(response, 200, json::object());
}

void Cloud::List(const httplib::Request& request, httplib::Response& response) {
  std::lock_guard lock(mutex_);
  const std::string after =
      request.has_param("after") ? request.get_param_value("after") : "";
  const double as_of = Now() - list_lag_s_;
  json perches = json::array();
  for (const auto& [name, host] : hosts_) {
    if (name <= after || host.rented_at > as_of ||
        (host.gone_at >= 0 && host.gone_at <= as_of))
      continue;
    const bool up = host.up_at <= as_of && host.worker;
    json perch = {
        {"uid", name},
        {"endpoint", nullptr},
        {"build", host.type},
        {"room", host.zone},
        {"loaners", host.spot},
        {"status", host.died_at >= 0 && as_of > host.died_at + 30 ? "failed"
                   : up                                           ? "running"
                                                                  : "booting"},
        {"held_s", as_of - host.rented_at}};
    if (up) perch["endpoint"] = host.worker->address();
    perches.push_back(std::move(perch));
  }
  SendJson(response, 200, {{"perches", perches}, {"has_next", false}});
}

void Cloud::Die(const std::string& name) {
  std::shared_ptr<Worker> worker;
  {
    std::lock_guard lock(mutex_);
    hosts_.at(name).died_at = Now();
    worker = hosts_.at(name).worker;
  }
  Record("cloud: " + name + " stops with all that is on it");
  worker->Gone(/*silent=*/true);
}

void Cloud::BootLoop() {
  for (;;) {
    SleepFor(0.02);
    std::lock_guard lock(mutex_);
    for (auto& [name, host] : hosts_) {
      if (host.worker || host.gone_at >= 0 || Now() < host.up_at) continue;
      host.worker =
          std::make_shared<Worker>(name, Type(host.type), host.zone, host.spot,
                                   settings_, jobs_, history_);
      Record("cloud: " + name + " is up in " + host.zone + " (" + host.type +
             (host.spot ? ", spot)" : ")"));
      host.worker->Start();
    }
  }
}

std::vector<std::shared_ptr<Worker>> Cloud::Workers() {
  std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<Worker>> workers;
  for (const auto& [name, host] : hosts_)
    if (host.worker && host.gone_at < 0) workers.push_back(host.worker);
  return workers;
}

std::shared_ptr<Worker> Cloud::Find(const std::string& name) {
  std::lock_guard lock(mutex_);
  const auto host = hosts_.find(name);
  return host == hosts_.end() ? nullptr : host->second.worker;
}

}  // namespace review
