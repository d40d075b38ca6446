#include "cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace review {
namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

void Reset(int socket) {
  const linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  shutdown(socket, SHUT_RDWR);
}

}  // namespace

// --- Relay -------------------------------------------------------------------

Relay::Relay(int target_port) : target_port_(target_port), port_(FreePort()) {}

bool Relay::Listen() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port_);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket, 64) != 0) {
    close(socket);
    return false;
  }
  listener_ = socket;
  return true;
}

void Relay::Start() {
  {
    std::lock_guard lock(mutex_);
    Listen();
  }
  std::thread([this] { Accept(); }).detach();
}

void Relay::SetRefused(bool refused) {
  std::lock_guard lock(mutex_);
  refused_ = refused;
  if (refused) {
    if (listener_ >= 0) {
      shutdown(listener_, SHUT_RDWR);
      close(listener_);
      listener_ = -1;
    }
    for (const int socket : open_) Reset(socket);
  } else if (listener_ < 0) {
    Listen();
  }
}

void Relay::Accept() {
  for (;;) {
    int listener = -1;
    {
      std::lock_guard lock(mutex_);
      listener = listener_;
    }
    if (listener < 0) {
      SleepFor(0.02);
      continue;
    }
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      SleepFor(0.02);
      continue;
    }
    std::thread([this, socket] { Forward(socket); }).detach();
  }
}

void Relay::Forward(int from) {
  const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(target_port_);
  if (connect(to, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    Reset(from);
    close(from);
    close(to);
    return;
  }
  {
    std::lock_guard lock(mutex_);
    if (refused_) Reset(from);
    open_.insert(from);
    open_.insert(to);
  }
  // The controllers send in one direction only.
  char buffer[16384];
  for (;;) {
    const ssize_t count = recv(from, buffer, sizeof(buffer), 0);
    if (count <= 0) break;
    if (send(to, buffer, static_cast<size_t>(count), MSG_NOSIGNAL) != count)
      break;
  }
  std::lock_guard lock(mutex_);
  open_.erase(from);
  open_.erase(to);
  close(from);
  close(to);
}

// --- Site --------------------------------------------------------------------

Site MusikaSite() {
  Site site;
  site.controller_zones = {"davao-annex", "quezon-hall", "baguio-annex"};
  site.zones = {"baguio-annex", "cebu-annex", "davao-annex", "quezon-hall"};
  const auto team = [](const char* name, double cpus, double cpus_max) {
    return json{{"name", name},
                {"cpus", cpus},
                {"cpus_max", cpus_max},
                {"gpus", 0.0},
                {"gpus_max", 0.0}};
  };
  site.teams = {
      team("luzon-lessons", 104, 176), team("visayas-lessons", 160, 440),
      team("mindanao-lessons", 216, 616), team("recital-office", 176, 528)};
  site.types = {
      {"kudyapi", 16, 32, 0.72, 0.31, 40, {"quezon-hall", "cebu-annex"}},
      {"rondalla", 64, 256, 3.6, 1.54, 35, {"davao-annex", "cebu-annex"}}};
  site.capacity = {{"kudyapi", "quezon-hall", 2, 9},
                   {"kudyapi", "cebu-annex", 2, 8},
                   {"rondalla", "davao-annex", 1, 3},
                   {"rondalla", "cebu-annex", 1, 2}};
  site.objectives = {
      {{"kind", "deadline"},
       {"class", "recital-marking"},
       {"share", 0.88},
       {"times", 1.0}},
      {{"kind", "deadline"},
       {"class", "recital-marking"},
       {"share", 0.88},
       {"times", 1.5}},
      {{"kind", "wait"},
       {"class", "morning-tracks"},
       {"within_s", 3.0},
       {"share", 0.8}},
      {{"kind", "finished"},
       {"class", "morning-tracks"},
       {"within_s", 80.0},
       {"share", 0.8}},
      {{"kind", "wait"},
       {"class", "archive-transcode"},
       {"within_s", 250.0},
       {"share", 0.9}},
      {{"kind", "finished"},
       {"class", "archive-transcode"},
       {"within_s", 400.0},
       {"share", 0.95}},
      {{"kind", "guarantee"}, {"within_s", 20.0}, {"share", 0.85}}};
  return site;
}

// --- Cluster -----------------------------------------------------------------

Cluster::Cluster(const Site& site) : site_(site) {
  const char* temporary = std::getenv("REVIEW_TMP");
  std::string name = std::string(temporary ? temporary : "/tmp") + "/XXXXXX";
  folder_ = mkdtemp(name.data());
  state_ = std::make_unique<StateService>(
      site.controllers, site.rps, site.write_rps, site.value_kb, site.txn_ops);
  processes_.resize(static_cast<size_t>(site.controllers));
  for (Process& process : processes_) {
    process.serve_port = FreePort();
    process.mesh_port = FreePort();
  }
  for (size_t from = 0; from < processes_.size(); ++from) {
    mesh_.emplace_back();
    for (size_t to = 0; to < processes_.size(); ++to)
      mesh_.back().push_back(std::make_unique<Relay>(processes_[to].mesh_port));
  }
  WorkerSettings workers;
  for (int i = 0; i < site.controllers; ++i)
    workers.controllers.emplace_back(Name(i), address(i));
  workers.report_s = site.report_s;
  workers.lease_s = site.lease_s;
  cloud_ =
      std::make_unique<Cloud>(site.types, site.capacity, workers, site.boot_s,
                              site.list_lag_s, &jobs_, &history_);
}

Cluster::~Cluster() { KillAll(); }

void Cluster::KillAll() {
  for (int i = 0; i < site_.controllers; ++i) Kill(i);
  const std::string command = "rm -rf '" + folder_ + "'";
  if (!std::getenv("KEEP_LOGS")) (void)!std::system(command.c_str());
}

std::string Cluster::Name(int controller) const {
  return "perch-" + std::to_string(controller);
}

std::string Cluster::address(int controller) const {
  return "127.0.0.1:" +
         std::to_string(processes_[static_cast<size_t>(controller)].serve_port);
}

void Cluster::WriteSettings(int controller) {
  const auto index = static_cast<size_t>(controller);
  json siblings = json::array();
  for (int i = 0; i < site_.controllers; ++i)
    if (i != controller)
      siblings.push_back(
          {{"node_name", Name(i)},
           {"site", site_.controller_zones[static_cast<size_t>(i)]},
           {"addr",
            "127.0.0.1:" +
                std::to_string(mesh_[index][static_cast<size_t>(i)]->port())}});
  const json settings = {
      {"node_name", Name(controller)},
      {"site", site_.controller_zones[index]},
      {"serve_on", address(controller)},
      {"mesh_addr", "127.0.0.1:" + std::to_string(processes_[index].mesh_port)},
      {"siblings", siblings},
      {"outside",
       {{"cloud", cloud_->address()}, {"state", state_->address(controller)}}},
      {"cluster",
       {{"count", site_.controllers},
        {"zones", site_.zones},
        {"teams", site_.teams},
        {"objectives", site_.objectives},
        {"workers",
         {{"report_s", site_.report_s},
          {"lease_s", site_.lease_s},
          {"gang_wait_s", 35.0},
          {"gang_peer_s", 8.0},
          {"cancel_s", site_.cancel_s}}},
        {"state",
         {{"rps", site_.rps},
          {"write_rps", site_.write_rps},
          {"value_kb", site_.value_kb},
          {"txn_ops", site_.txn_ops}}},
        {"cloud", {{"rps", site_.cloud_rps}, {"list_lag_s", site_.list_lag_s}}},
        {"machine_limits",
         {{"cpu_share", site_.cpu_share},
          {"ram_mb", site_.ram_mb},
          {"sockets", site_.sockets}}},
        {"time_bound_ms", 5.0}}}};
  std::ofstream(folder_ + "/" + Name(controller) + ".json") << settings.dump(1);
}

void Cluster::StartController(int controller) {
  Process& process = processes_[static_cast<size_t>(controller)];
  const std::string settings = folder_ + "/" + Name(controller) + ".json";
  const std::string log = folder_ + "/" + Name(controller) + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, 2);
    for (int fd = 3; fd < 20000; ++fd) close(fd);
    execl("target/sorrelwood", "target/sorrelwood", "--config",
          settings.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  process.pid = pid;
  Record("start " + Name(controller));
}

bool Cluster::Start(double within_s) {
  state_->Start();
  cloud_->Start();
  for (auto& row : mesh_)
    for (auto& relay : row) relay->Start();
  for (int i = 0; i < site_.controllers; ++i) {
    WriteSettings(i);
    StartController(i);
  }
  return WaitFor(within_s, [this] {
    // A port may have been taken meanwhile.
    for (int i = 0; i < site_.controllers; ++i)
      if (!IsRunning(i)) StartController(i);
    if (Leader() < 0) return false;
    for (int i = 0; i < site_.controllers; ++i) {
      Client client(address(i), 1);
      if (client.Get("/up").status != 200) return false;
    }
    return true;
  });
}

void Cluster::Kill(int controller) {
  Process& process = processes_[static_cast<size_t>(controller)];
  if (process.pid <= 0) return;
  Record("kill " + Name(controller));
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = -1;
}

void Cluster::Stop(int controller) {
  Record("SIGSTOP " + Name(controller));
  kill(processes_[static_cast<size_t>(controller)].pid, SIGSTOP);
}

void Cluster::Continue(int controller) {
  Record("SIGCONT " + Name(controller));
  kill(processes_[static_cast<size_t>(controller)].pid, SIGCONT);
}

bool Cluster::IsRunning(int controller) {
  const pid_t pid = processes_[static_cast<size_t>(controller)].pid;
  return pid > 0 && waitpid(pid, nullptr, WNOHANG) == 0;
}

int Cluster::Leader() {
  const std::string leader = state_->Leader();
  for (int i = 0; i < site_.controllers; ++i)
    if (Name(i) == leader) return i;
  return -1;
}

int Cluster::OtherThanLeader() { return (Leader() + 1) % site_.controllers; }

void Cluster::RefusePeers(bool refused) {
  Record(refused ? "peers: connections are refused" : "peers: accepted again");
  for (auto& row : mesh_)
    for (auto& relay : row) relay->SetRefused(refused);
}

void Cluster::CutPeersOf(int controller, bool cut) {
  const auto index = static_cast<size_t>(controller);
  for (size_t i = 0; i < mesh_.size(); ++i) {
    mesh_[index][i]->SetRefused(cut);
    mesh_[i][index]->SetRefused(cut);
  }
}

// --- Users -------------------------------------------------------------------

User::User(Cluster* cluster, int controller)
    : cluster_(cluster),
      controller_(controller),
      submit_(cluster->address(controller), 5),
      poll_(cluster->address(controller), 2) {}

Client::Answer User::Log(const std::string& what, double sent,
                         const Client::Answer& answer) {
  Record("user: " + what + " at " + cluster_->Name(controller_) + ", sent " +
         std::to_string(sent) + " -> " + std::to_string(answer.status) + " " +
         (answer.body.is_discarded() ? "" : answer.body.dump()));
  return answer;
}

Client::Answer User::Submit(const std::string& uid, const JobPlan& plan) {
  cluster_->jobs().Add(uid, plan);
  const double sent = Now();
  return Log("submit " + uid, sent,
             submit_.Post("/submissions", plan.submission));
}

Client::Answer User::Poll(const std::string& uid) {
  const double sent = Now();
  return Log("poll " + uid, sent, poll_.Get("/submissions/" + uid));
}

Client::Answer User::Cancel(const std::string& uid) {
  const double sent = Now();
  return Log("cancel " + uid, sent,
             submit_.Post("/submissions/" + uid + "/cancel"));
}

bool SubmitUntilAccepted(Cluster* cluster, const std::string& uid,
                         const JobPlan& plan, double within_s) {
  const double end = Now() + within_s;
  for (int i = 0; Now() < end; ++i) {
    User user(cluster, i % cluster->site().controllers);
    const int status = user.Submit(uid, plan).status;
    if (status == 200 || status == 201) return true;
    SleepFor(1);
  }
  return false;
}

double CancelUntilConfirmed(Cluster* cluster, const std::string& uid,
                            std::vector<int> controllers, double within_s) {
  const double end = Now() + within_s;
  for (size_t i = 0; Now() < end; ++i) {
    User user(cluster, controllers[i % controllers.size()]);
    const Client::Answer answer = user.Cancel(uid);
    if (answer.status == 200 && answer.body.value("status", "") == "cancelled")
      return Now();
    SleepFor(1);
  }
  return -1;
}

json MakeSubmission(const std::string& uid, const std::string& roster,
                    const std::string& crew) {
  return {{"uid", uid},         {"roster", roster},      {"crew", crew},
          {"shape", "sweep"},   {"urgency", "standard"}, {"parts", 1},
          {"cores", 2.0},       {"cards", 0.0},          {"memory_gb", 3.1},
          {"bundle", "img-01"}, {"size_gb", 0.7},        {"builds", nullptr},
          {"room", nullptr},    {"one_zone", false},     {"scatter", false},
          {"loaners", false},   {"expected_s", 15.0},    {"bookmark_s", 0.0},
          {"stash_s", 0.0},     {"due_s", nullptr}};
}

}  // namespace review
