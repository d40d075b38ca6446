#include "loopback/fake_worker.h"

#include <chrono>

#include "http/endpoint.h"
#include "protocol/field_names.h"

namespace sorrelwood::test {
namespace {

using nlohmann::json;

constexpr double kImageFetchS = 0.2;
constexpr double kLoopIntervalS = 0.05;
constexpr double kMinHeartbeatIntervalS = 0.2;
constexpr int kResponseTimeoutS = 4;
constexpr auto kSwitchDelay = std::chrono::milliseconds(300);
constexpr double kMinRunS = 0.1;
constexpr size_t kServerThreads = 2;
// Limits of the protocol. A worker reads no longer line and sends no longer
// report.
constexpr size_t kMaxLineBytes = size_t{64} * 1024;
constexpr size_t kMaxReportBytes = size_t{64} * 1024;
// Longer than a controller waits for the answer to pushed commands.
constexpr auto kLostPushDelay = std::chrono::milliseconds(2000);

}  // namespace

void TaskProgress::AddJob(const std::string& job, const JobProfile& profile) {
  std::lock_guard lock(mutex_);
  jobs_[job] = profile;
}

JobProfile TaskProgress::Profile(const std::string& job) const {
  std::lock_guard lock(mutex_);
  const auto profile = jobs_.find(job);
  return profile == jobs_.end() ? JobProfile() : profile->second;
}

double TaskProgress::SavedRunTime(const std::string& task) const {
  std::lock_guard lock(mutex_);
  const auto saved = saved_s_.find(task);
  return saved == saved_s_.end() ? 0 : saved->second;
}

void TaskProgress::Save(const std::string& task, double ran_s) {
  std::lock_guard lock(mutex_);
  saved_s_[task] += ran_s;
}

FakeWorker::FakeWorker(std::string name, std::string type, std::string zone,
                       bool spot, const WorkerSettings& settings,
                       TaskProgress* progress, ExecutionHistory* history)
    : name_(std::move(name)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      spot_(spot),
      settings_(settings),
      progress_(progress),
      history_(history),
      lease_renewed_s_(Now()),
      controller_(settings_.controllers.begin()->first) {
  server_.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server_.Get(
      "/inspect", [this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(mutex_);
        response.set_content(MakeHeartbeat().dump(), "application/json");
      });
  server_.Post("/commands", [this](const httplib::Request& request,
                                   httplib::Response& response) {
    HandlePush(request, response);
  });
  port_ = server_.bind_to_any_port("127.0.0.1");
  server_thread_ = std::thread([this] { server_.listen_after_bind(); });
  heartbeat_loop_ = std::thread([this] { RunHeartbeatLoop(); });
}

FakeWorker::~FakeWorker() {
  stopping_ = true;
  server_.stop();
  server_thread_.join();
  heartbeat_loop_.join();
  std::lock_guard lock(mutex_);
  DropAllTasks();
}

std::string FakeWorker::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

bool FakeWorker::HeartbeatPasses() {
  if (!settings_.zone_cut) return true;
  std::lock_guard lock(mutex_);
  return settings_.zone_cut->HeartbeatPasses(name_, zone_, controller_,
                                             !tasks_.empty());
}

bool FakeWorker::PushPasses(uint64_t token) const {
  return !settings_.zone_cut || settings_.zone_cut->PushPasses(zone_, token);
}

void FakeWorker::HandlePush(const httplib::Request& request,
                            httplib::Response& response) {
  const json body = json::parse(request.body);
  const uint64_t token = body.at("baton");
  if (!PushPasses(token)) {
    std::this_thread::sleep_for(kLostPushDelay);
    response.status = 503;
    return;
  }
  if (!IsWithin(kMaxLineBytes, "a push", request.body)) return;
  std::lock_guard lock(mutex_);
  const bool accepted = token >= fencing_token_ &&
                        body.at("shift").get<uint64_t>() == incarnation_;
  if (accepted) {
    changed_ = changed_ || token > fencing_token_;
    fencing_token_ = token;
    ExecuteCommands(body.value("orders", json::array()));
  }
  const std::string report = MakeHeartbeat().dump();
  if (!IsWithin(kMaxReportBytes, "a report as the answer to a push", report))
    return;
  response.status = accepted ? 200 : 409;
  response.set_content(report, "application/json");
}

void FakeWorker::RunHeartbeatLoop() {
  double last_heartbeat_s = 0;
  while (!stopping_) {
    std::this_thread::sleep_for(std::chrono::duration<double>(kLoopIntervalS));
    bool due = false;
    {
      std::lock_guard lock(mutex_);
      if (Now() - lease_renewed_s_ > settings_.lease_s) {
        DropAllTasks();
        ++incarnation_;
        sequence_ = 0;
        lease_renewed_s_ = Now();
      }
      AdvanceTasks();
      due = Now() >= next_heartbeat_s_ ||
            (changed_ && Now() - last_heartbeat_s > kMinHeartbeatIntervalS);
    }
    if (!due || stopping_) continue;
    last_heartbeat_s = Now();
    SendHeartbeat();
  }
}

void FakeWorker::AdvanceTasks() {
  for (auto& [id, task] : tasks_) {
    if (task.status == "ended" || Now() < task.state_ends_s) continue;
    if (task.status == "fetching") {
      task.status = "running";
      task.run_start_s = Now();
      const JobProfile profile = progress_->Profile(id.substr(0, id.find('/')));
      task.state_ends_s =
          Now() +
          std::max(kMinRunS, profile.run_s - progress_->SavedRunTime(id));
      history_->Add(name_, id, /*starts=*/true);
      changed_ = true;
    } else if (task.status == "running") {
      EndTask(&task, "done");
    } else {
      progress_->Save(id, Now() - task.run_start_s);
      task.saved = true;
      EndTask(&task, "halted");
    }
  }
}

void FakeWorker::EndTask(Task* task, const std::string& cause) {
  if (task->status == "running" || task->status == "flushing")
    history_->Add(name_, task->id, /*starts=*/false);
  task->status = "ended";
  task->cause = cause;
  changed_ = true;
}

void FakeWorker::DropAllTasks() {
  for (auto& [id, task] : tasks_)
    if (task.status != "ended") EndTask(&task, "lost");
  tasks_.clear();
}

json FakeWorker::MakeHeartbeat() {
  json parts = json::array();
  for (const auto& [id, task] : tasks_) {
    json part = {{"part", id}, {"try", task.attempt}, {"status", task.status}};
    if (task.status == "ended") part["cause"] = task.cause;
    if (task.saved) part["saved"] = true;
    parts.push_back(std::move(part));
  }
  return {{"perch", name_},       {"endpoint", address()},
          {"build", type_},       {"room", zone_},
          {"loaners", spot_},     {"shift", incarnation_},
          {"tick", ++sequence_},  {"baton", fencing_token_},
          {"warning_s", nullptr}, {"parts", parts}};
}

void FakeWorker::SwitchController(const std::string& named_leader) {
  const auto& all = settings_.controllers;
  if (!named_leader.empty() && named_leader != controller_ &&
      all.count(named_leader)) {
    controller_ = named_leader;
    return;
  }
  auto next = std::next(all.find(controller_));
  controller_ = next == all.end() ? all.begin()->first : next->first;
  std::this_thread::sleep_for(kSwitchDelay);
}

bool FakeWorker::IsWithin(size_t max_bytes, const std::string& kind,
                          const std::string& message) const {
  if (message.size() <= max_bytes) return true;
  history_->AddOversizedMessage(name_, kind, message.size());
  return false;
}

void FakeWorker::SendHeartbeat() {
  if (!HeartbeatPasses()) {
    SwitchController("");
    return;
  }
  std::string body;
  uint64_t incarnation = 0;
  {
    std::lock_guard lock(mutex_);
    changed_ = false;
    body = MakeHeartbeat().dump();
    incarnation = incarnation_;
    next_heartbeat_s_ = Now() + settings_.heartbeat_interval_s;
  }
  if (!IsWithin(kMaxReportBytes, "a report", body)) return;
  const double sent_s = Now();
  Endpoint endpoint;
  ParseEndpoint(settings_.controllers.at(controller_), &endpoint);
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_read_timeout(kResponseTimeoutS);
  client.set_connection_timeout(1);
  const auto result =
      client.Post(protocol::path::kHeartbeat, body, "application/json");
  if (!result || Now() - sent_s > kResponseTimeoutS || result->status != 200) {
    const json response =
        result ? json::parse(result->body, nullptr, false) : json::object();
    SwitchController(response.is_object() ? response.value("steward", "") : "");
    return;
  }
  if (!IsWithin(kMaxLineBytes, "a response", result->body)) {
    SwitchController("");
    return;
  }
  const json response = json::parse(result->body);
  std::lock_guard lock(mutex_);
  const uint64_t token = response.value("baton", uint64_t{0});
  if (token < fencing_token_ || incarnation != incarnation_)
    return;  // the response is outdated
  changed_ = changed_ || token > fencing_token_;
  fencing_token_ = token;
  lease_renewed_s_ = std::max(lease_renewed_s_, sent_s);
  ExecuteCommands(response.value("orders", json::array()));
}

void FakeWorker::ExecuteCommands(const json& orders) {
  for (const json& order : orders) {
    const std::string verb = order.at("verb");
    const std::string id = order.at("part");
    const uint64_t attempt = order.at("try");
    const auto task = tasks_.find(id);
    const bool same_attempt =
        task != tasks_.end() && task->second.attempt == attempt;
    if (verb == "launch" && !same_attempt)
      StartTask(id, attempt);
    else if (verb == "halt" && same_attempt)
      StopTask(&task->second, order.value("leeway_s", 0.0));
    else if (verb == "clear" && same_attempt && task->second.status == "ended")
      tasks_.erase(task);
  }
}

void FakeWorker::StartTask(const std::string& id, uint64_t attempt) {
  const auto other = tasks_.find(id);
  if (other != tasks_.end() && other->second.status != "ended") return;
  Task task;
  task.id = id;
  task.attempt = attempt;
  task.state_ends_s = Now() + kImageFetchS;
  tasks_[id] = task;
  changed_ = true;
}

void FakeWorker::StopTask(Task* task, double grace_s) {
  if (task->status == "ended") return;
  const JobProfile profile =
      progress_->Profile(task->id.substr(0, task->id.find('/')));
  if (task->status == "running" && profile.saves && grace_s >= profile.save_s) {
    task->status = "flushing";
    task->state_ends_s = Now() + profile.save_s;
    changed_ = true;
  } else if (task->status != "flushing" || grace_s == 0) {
    EndTask(task, "halted");
  }
}

}  // namespace sorrelwood::test
