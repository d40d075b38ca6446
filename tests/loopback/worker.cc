#include "loopback/worker.h"

#include <chrono>

#include "http/endpoint.h"
#include "protocol/field_names.h"

namespace sorrelwood::test {
namespace {

using nlohmann::json;

constexpr double kFetchS = 0.2;
constexpr double kStepS = 0.05;
constexpr double kLeastReportS = 0.2;
constexpr int kAnswerTimeoutS = 4;
constexpr size_t kThreads = 2;

}  // namespace

void TaskBook::AddJob(const std::string& job, const JobTimes& times) {
  std::lock_guard lock(mutex_);
  jobs_[job] = times;
}

JobTimes TaskBook::Times(const std::string& job) const {
  std::lock_guard lock(mutex_);
  const auto times = jobs_.find(job);
  return times == jobs_.end() ? JobTimes() : times->second;
}

double TaskBook::Saved(const std::string& task) const {
  std::lock_guard lock(mutex_);
  const auto saved = saved_s_.find(task);
  return saved == saved_s_.end() ? 0 : saved->second;
}

void TaskBook::Save(const std::string& task, double ran_s) {
  std::lock_guard lock(mutex_);
  saved_s_[task] += ran_s;
}

StandInWorker::StandInWorker(std::string name, std::string type,
                             std::string zone, bool spot,
                             const WorkerSettings& settings, TaskBook* book,
                             History* history)
    : name_(std::move(name)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      spot_(spot),
      settings_(settings),
      book_(book),
      history_(history),
      lease_from_s_(Now()),
      controller_(settings_.controllers.begin()->first) {
  server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_.Get(
      "/inspect", [this](const httplib::Request&, httplib::Response& response) {
        std::lock_guard lock(mutex_);
        response.set_content(MakeHeartbeat().dump(), "application/json");
      });
  server_.Post("/commands", [this](const httplib::Request& request,
                                   httplib::Response& response) {
    const json body = json::parse(request.body);
    std::lock_guard lock(mutex_);
    const uint64_t token = body.at("baton");
    const bool accepted =
        token >= token_ && body.at("shift").get<uint64_t>() == session_;
    if (accepted) {
      changed_ = changed_ || token > token_;
      token_ = token;
      Execute(body.value("orders", json::array()));
    }
    response.status = accepted ? 200 : 409;
    response.set_content(MakeHeartbeat().dump(), "application/json");
  });
  port_ = server_.bind_to_any_port("127.0.0.1");
  serving_ = std::thread([this] { server_.listen_after_bind(); });
  reporting_ = std::thread([this] { Loop(); });
}

StandInWorker::~StandInWorker() {
  ending_ = true;
  server_.stop();
  serving_.join();
  reporting_.join();
  std::lock_guard lock(mutex_);
  LoseAll();
}

std::string StandInWorker::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void StandInWorker::Loop() {
  double last_report_s = 0;
  while (!ending_) {
    std::this_thread::sleep_for(std::chrono::duration<double>(kStepS));
    bool due = false;
    {
      std::lock_guard lock(mutex_);
      if (Now() - lease_from_s_ > settings_.lease_s) {
        LoseAll();
        ++session_;
        sequence_ = 0;
        lease_from_s_ = Now();
      }
      Advance();
      due = Now() >= next_report_s_ ||
            (changed_ && Now() - last_report_s > kLeastReportS);
    }
    if (!due || ending_) continue;
    last_report_s = Now();
    SendHeartbeat();
  }
}

void StandInWorker::Advance() {
  for (auto& [id, task] : tasks_) {
    if (task.status == "ended" || Now() < task.until_s) continue;
    if (task.status == "fetching") {
      task.status = "running";
      task.running_s = Now();
      const JobTimes times = book_->Times(id.substr(0, id.find('/')));
      task.until_s = Now() + std::max(0.1, times.run_s - book_->Saved(id));
      history_->Add(name_, id, /*begins=*/true);
      changed_ = true;
    } else if (task.status == "running") {
      End(&task, "done");
    } else {
      book_->Save(id, Now() - task.running_s);
      task.saved = true;
      End(&task, "halted");
    }
  }
}

void StandInWorker::End(Task* task, const std::string& cause) {
  if (task->status == "running" || task->status == "flushing")
    history_->Add(name_, task->id, /*begins=*/false);
  task->status = "ended";
  task->cause = cause;
  changed_ = true;
}

void StandInWorker::LoseAll() {
  for (auto& [id, task] : tasks_)
    if (task.status != "ended") End(&task, "lost");
  tasks_.clear();
}

json StandInWorker::MakeHeartbeat() {
  json parts = json::array();
  for (const auto& [id, task] : tasks_) {
    json part = {{"part", id}, {"try", task.attempt}, {"status", task.status}};
    if (task.status == "ended") part["cause"] = task.cause;
    if (task.saved) part["saved"] = true;
    parts.push_back(std::move(part));
  }
  return {{"perch", name_},       {"endpoint", address()},
          {"build", type_},       {"room", zone_},
          {"loaners", spot_},     {"shift", session_},
          {"tick", ++sequence_},  {"baton", token_},
          {"warning_s", nullptr}, {"parts", parts}};
}

void StandInWorker::NextController(const std::string& named) {
  const auto& all = settings_.controllers;
  if (!named.empty() && named != controller_ && all.count(named)) {
    controller_ = named;
    return;
  }
  auto next = std::next(all.find(controller_));
  controller_ = next == all.end() ? all.begin()->first : next->first;
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
}

void StandInWorker::SendHeartbeat() {
  std::string body;
  uint64_t incarnation = 0;
  {
    std::lock_guard lock(mutex_);
    changed_ = false;
    body = MakeHeartbeat().dump();
    incarnation = session_;
    next_report_s_ = Now() + settings_.heartbeat_interval_s;
  }
  const double sent_s = Now();
  Endpoint endpoint;
  ParseEndpoint(settings_.controllers.at(controller_), &endpoint);
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_read_timeout(kAnswerTimeoutS);
  client.set_connection_timeout(1);
  const auto result =
      client.Post(protocol::path::kHeartbeat, body, "application/json");
  if (!result || Now() - sent_s > kAnswerTimeoutS || result->status != 200) {
    const json answer =
        result ? json::parse(result->body, nullptr, false) : json::object();
    NextController(answer.is_object() ? answer.value("steward", "") : "");
    return;
  }
  const json answer = json::parse(result->body);
  std::lock_guard lock(mutex_);
  const uint64_t token = answer.value("baton", uint64_t{0});
  if (token < token_ || incarnation != session_) return;  // dropped
  changed_ = changed_ || token > token_;
  token_ = token;
  lease_from_s_ = std::max(lease_from_s_, sent_s);
  Execute(answer.value("orders", json::array()));
}

void StandInWorker::Execute(const json& orders) {
  for (const json& order : orders) {
    const std::string verb = order.at("verb");
    const std::string id = order.at("part");
    const uint64_t attempt = order.at("try");
    const auto task = tasks_.find(id);
    const bool same = task != tasks_.end() && task->second.attempt == attempt;
    if (verb == "launch" && !same)
      Start(id, attempt);
    else if (verb == "halt" && same)
      Stop(&task->second, order.value("leeway_s", 0.0));
    else if (verb == "clear" && same && task->second.status == "ended")
      tasks_.erase(task);
  }
}

void StandInWorker::Start(const std::string& id, uint64_t attempt) {
  const auto other = tasks_.find(id);
  if (other != tasks_.end() && other->second.status != "ended") return;
  Task task;
  task.id = id;
  task.attempt = attempt;
  task.until_s = Now() + kFetchS;
  tasks_[id] = task;
  changed_ = true;
}

void StandInWorker::Stop(Task* task, double grace_s) {
  if (task->status == "ended") return;
  const JobTimes times = book_->Times(task->id.substr(0, task->id.find('/')));
  if (task->status == "running" && times.saves && grace_s >= times.save_s) {
    task->status = "flushing";
    task->until_s = Now() + times.save_s;
    changed_ = true;
  } else if (task->status != "flushing" || grace_s == 0) {
    End(task, "halted");
  }
}

}  // namespace sorrelwood::test
