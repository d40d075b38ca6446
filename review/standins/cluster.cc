#include "cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <fstream>

namespace review {

Cluster::Cluster(const ClusterOptions& options,
                 std::vector<std::string> command, const std::string& folder)
    : command_(std::move(command)) {
  state = std::make_unique<StateService>(options.state);
  for (const char* room : {"", "a"}) {
    workers[room].report_s = options.report_s;
    workers[room].lease_s = options.lease_s;
  }
  cloud =
      std::make_unique<Cloud>(options.types, options.cloud_rps,
                              options.list_lag_s, &workers, &jobs, &history);
  for (const MachineType& type : options.types)
    for (const std::string& room : type.rooms) {
      cloud->SetCapacity(type.name, room, false, options.ordinary);
      cloud->SetCapacity(type.name, room, true, options.cheap);
    }
  const json cluster = {
      {"count", options.controllers},
      {"teams", options.teams},
      {"objectives", options.objectives},
      {"workers",
       {{"report_s", options.report_s},
        {"lease_s", options.lease_s},
        {"cancel_s", options.cancel_s}}},
      {"state",
       {{"rps", options.state.rps},
        {"write_rps", options.state.write_rps},
        {"value_kb", options.state.value_kb},
        {"txn_ops", options.state.txn_ops}}},
      {"cloud",
       {{"rps", options.cloud_rps}, {"list_lag_s", options.list_lag_s}}},
      {"machine_limits",
       {{"cpu_share", 1.0},
        {"ram_mb", options.ram_mb},
        {"sockets", options.sockets}}},
      {"time_bound_ms", 5.0}};
  std::vector<json> files;
  std::vector<int> mesh_ports;
  for (int i = 0; i < options.controllers; ++i) {
    Process process;
    process.name = "perch-" + std::to_string(i);
    const int port = FreePort();
    process.address = Address(port);
    process.config = folder + "/" + process.name + ".json";
    process.log = folder + "/" + process.name + ".log";
    process.state = std::make_unique<Proxy>(state->port());
    process.cloud = std::make_unique<Proxy>(cloud->port());
    mesh_ports.push_back(FreePort());
    files.push_back({{"node_name", process.name},
                     {"site", options.lone_zone ? (i == 0 ? "a" : "b")
                                                : (i % 2 ? "b" : "a")},
                     {"serve_on", process.address},
                     {"mesh_addr", Address(mesh_ports.back())},
                     {"outside",
                      {{"cloud", Address(process.cloud->port())},
                       {"state", Address(process.state->port())}}},
                     {"cluster", cluster}});
    // Reports that cross the border of zone a go over a link of it.
    const auto cross = [&] { return Address(AddBorderLink(port)->port()); };
    workers[""].controllers[process.name] =
        options.lone_zone && i == 0 ? cross() : process.address;
    workers["a"].controllers[process.name] =
        options.lone_zone && i != 0 ? cross() : process.address;
    processes_.push_back(std::move(process));
  }
  // Direct commands to zone a cross its border. A worker of zone b is reached
  // at one address by the controllers of both zones; during a cut those with
  // the token of the leader in zone a are lost.
  if (options.lone_zone) {
    workers["a"].make_endpoint = [this](int port) {
      return Address(AddBorderLink(port)->port());
    };
    workers[""].is_lost = [this](uint64_t baton) {
      return zone_cut_ && baton == term_of_zone_a_;
    };
  }
  for (int i = 0; i < options.controllers; ++i) {
    json siblings = json::array();
    for (int other = 0; other < options.controllers; ++other) {
      if (other == i) continue;
      const int port = mesh_ports[Index(other)];
      const bool crosses = options.lone_zone && (i == 0 || other == 0);
      siblings.push_back(
          {{"node_name", files[Index(other)]["node_name"]},
           {"site", files[Index(other)]["site"]},
           {"addr", Address(crosses ? AddBorderLink(port)->port() : port)}});
    }
    files[Index(i)]["siblings"] = siblings;
    std::ofstream(processes_[Index(i)].config) << files[Index(i)].dump(1);
  }
  health_.resize(processes_.size());
  for (int i = 0; i < options.controllers; ++i) {
    Start(i);
    if (options.lone_zone && i == 0)
      WaitForLeader(10);  // zone a has the leader
  }
  std::thread([this] { Probe(); }).detach();
}

Proxy* Cluster::AddBorderLink(int target_port) {
  std::lock_guard lock(border_mutex_);
  border_.push_back(std::make_unique<Proxy>(target_port));
  if (zone_cut_) border_.back()->Set(Proxy::Mode::kReset);
  return border_.back().get();
}

void Cluster::CutZone(bool cut) {
  std::lock_guard lock(border_mutex_);
  if (term_of_zone_a_ == 0)
    term_of_zone_a_ = state->Value("sw/w/leader").value("term", uint64_t{0});
  zone_cut_ = cut;
  const Proxy::Mode mode = cut ? Proxy::Mode::kReset : Proxy::Mode::kPass;
  processes_[0].state->Set(mode);
  processes_[0].cloud->Set(mode);
  for (auto& link : border_) link->Set(mode);
}

void Cluster::KillAll() {
  for (int i = 0; i < size(); ++i) Kill(i);
}

void Cluster::Start(int index) {
  Process& process = processes_[Index(index)];
  if (process.pid > 0) return;
  std::vector<char*> arguments;
  for (std::string& word : command_) arguments.push_back(word.data());
  arguments.push_back(process.config.data());
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  process.pid = fork();
  if (process.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int log = open(process.log.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  Record::Line("controller %s starts, process %d", process.name.c_str(),
               static_cast<int>(process.pid));
}

void Cluster::Signal(int index, int signal) {
  const Process& process = processes_[Index(index)];
  if (process.pid > 0) kill(process.pid, signal);
}

void Cluster::Kill(int index) {
  Process& process = processes_[Index(index)];
  if (process.pid <= 0) return;
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = -1;
}

std::vector<std::string> Cluster::FindEnded() {
  std::vector<std::string> ended;
  for (Process& process : processes_) {
    int status = 0;
    if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) <= 0)
      continue;
    process.pid = -1;
    ended.push_back(
        process.name +
        (WIFSIGNALED(status)
             ? " by signal " + std::to_string(WTERMSIG(status))
             : " with code " + std::to_string(WEXITSTATUS(status))));
  }
  return ended;
}

long Cluster::ResidentKib(int index) const {
  const Process& process = processes_[Index(index)];
  if (process.pid <= 0) return 0;
  std::ifstream file("/proc/" + std::to_string(process.pid) + "/status");
  std::string word;
  while (file >> word)
    if (word == "VmRSS:") {
      long kib = 0;
      file >> kib;
      return kib;
    }
  return 0;
}

Answer Cluster::Ask(int index, const std::string& method,
                    const std::string& path, const json* body,
                    double timeout_s) const {
  if (index == 0 && zone_cut_) {  // users belong to no zone
    SleepFor(0.5);
    return {};
  }
  const std::string& address = processes_[Index(index)].address;
  const size_t colon = address.find(':');
  httplib::Client client(address.substr(0, colon),
                         std::stoi(address.substr(colon + 1)));
  client.set_connection_timeout(0, 500000);
  client.set_read_timeout(
      std::chrono::milliseconds(static_cast<int>(timeout_s * 1000)));
  client.set_tcp_nodelay(true);
  const auto result =
      method == "GET"
          ? client.Get(path.c_str())
          : client.Post(path.c_str(), body ? body->dump() : std::string("{}"),
                        "application/json");
  if (!result) return {};
  Answer answer{result->status, json::parse(result->body, nullptr, false), 0};
  if (result->has_header("Retry-After"))
    answer.retry_after_s =
        std::atof(result->get_header_value("Retry-After").c_str());
  if (!answer.body.is_object()) answer.body = json::object();
  return answer;
}

double Cluster::Metric(int index, const std::string& name) const {
  if (processes_[Index(index)].pid <= 0) return -1;
  const std::string& address = processes_[Index(index)].address;
  const size_t colon = address.find(':');
  httplib::Client client(address.substr(0, colon),
                         std::stoi(address.substr(colon + 1)));
  client.set_connection_timeout(0, 500000);
  client.set_read_timeout(1);
  const auto result = client.Get("/metrics");
  if (!result || result->status != 200) return -1;
  const std::string prefix = "sorrelwood_state{of=\"" + name + "\"} ";
  const size_t position = result->body.find(prefix);
  if (position == std::string::npos) return -1;
  return std::strtod(result->body.c_str() + position + prefix.size(), nullptr);
}

int Cluster::FindLeader() const {
  const json leader = state->Value("sw/w/leader");
  if (!leader.is_object()) return -1;
  for (int i = 0; i < size(); ++i)
    if (processes_[Index(i)].name == leader.value("node", "") &&
        processes_[Index(i)].pid > 0)
      return i;
  return -1;
}

int Cluster::WaitForLeader(double timeout_s) const {
  for (const double ends_at = Now() + timeout_s; Now() < ends_at;
       SleepFor(0.2)) {
    const int leader = FindLeader();
    if (leader >= 0) return leader;
  }
  return -1;
}

// Two failures in a row take a controller out; two successes bring it back, not
// before 3 s have passed; the first success is enough for a new one.
void Cluster::Probe() {
  for (;;) {
    for (int i = 0; i < size(); ++i) {
      const bool up = processes_[Index(i)].pid > 0 &&
                      Ask(i, "GET", "/up", nullptr, 1).status == 200;
      std::lock_guard lock(health_mutex_);
      Health& health = health_[Index(i)];
      health.successes = up ? health.successes + 1 : 0;
      health.failures = up ? 0 : health.failures + 1;
      if (health.healthy && health.failures >= 2) {
        health.healthy = false;
        health.removed_at = Now();
        Record::Line("load balancer: %s is unhealthy",
                     processes_[Index(i)].name.c_str());
      } else if (!health.healthy && up &&
                 (!health.ever ||
                  (health.successes >= 2 && Now() - health.removed_at >= 3))) {
        health.healthy = health.ever = true;
        Record::Line("load balancer: %s is healthy",
                     processes_[Index(i)].name.c_str());
      }
    }
    SleepFor(1);
  }
}

int Cluster::Choose() {
  std::lock_guard lock(health_mutex_);
  std::vector<int> healthy;
  for (int i = 0; i < size(); ++i)
    if (health_[Index(i)].healthy) healthy.push_back(i);
  if (healthy.empty()) return -1;
  return healthy[Index(
      static_cast<int>(Random(0, static_cast<double>(healthy.size()) - 1e-6)))];
}

double Cluster::Pause(const Answer& answer) {
  return std::min(30.0, std::max(1.0, answer.retry_after_s));
}

Answer Cluster::Submit(const json& spec, double run_s) {
  const std::string id = spec.at("uid");
  jobs.Add(spec, run_s);
  Answer answer;
  for (const double ends_at = Now() + 60; Now() < ends_at;
       SleepFor(Pause(answer))) {
    const int index = Choose();
    if (index < 0) continue;
    answer = Ask(index, "POST", "/submissions", &spec, 5);
    Record::Line("submit %s to perch-%d: %d", id.c_str(), index, answer.status);
    if (answer.status == 200 || answer.status == 201 || answer.status == 400 ||
        answer.status == 422)
      return answer;
  }
  return answer;
}

Answer Cluster::Poll(const std::string& id) {
  const int index = Choose();
  if (index < 0) return {};
  const Answer answer = Ask(index, "GET", "/submissions/" + id, nullptr, 2);
  Record::Line("poll %s at perch-%d: %d %s", id.c_str(), index, answer.status,
               answer.body.dump().c_str());
  return answer;
}

double Cluster::Cancel(const std::string& id) {
  Answer answer;
  for (const double ends_at = Now() + 60; Now() < ends_at;
       SleepFor(Pause(answer))) {
    const int index = Choose();
    if (index < 0) continue;
    answer = Ask(index, "POST", "/submissions/" + id + "/cancel", nullptr, 5);
    const std::string status = answer.body.is_object()
                                   ? answer.body.value("status", "")
                                   : std::string();
    Record::Line("cancel %s at perch-%d: %d %s", id.c_str(), index,
                 answer.status, status.c_str());
    if (answer.status == 200) return status == "cancelled" ? Now() : -1;
  }
  return -1;
}

json MakeJob(const std::string& id, const json& changes) {
  json job = {
      {"uid", id},          {"roster", "batch"},     {"crew", "batch"},
      {"shape", "sweep"},   {"urgency", "standard"}, {"parts", 1},
      {"cores", 1.0},       {"cards", 0.0},          {"memory_gb", 1.0},
      {"bundle", "img-01"}, {"size_gb", 0.1},        {"builds", nullptr},
      {"room", nullptr},    {"one_zone", false},     {"scatter", false},
      {"loaners", true},    {"expected_s", 5.0},     {"bookmark_s", 0.0},
      {"stash_s", 0.0},     {"due_s", nullptr}};
  job.update(changes);
  return job;
}

std::string JobId(int number) {
  char id[24];
  std::snprintf(id, sizeof(id), "job-%06d", number);
  return id;
}

}  // namespace review
