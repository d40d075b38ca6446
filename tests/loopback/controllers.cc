#include "loopback/controllers.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

#include "http/endpoint.h"

namespace sorrelwood::test {
namespace {

using nlohmann::json;

// Returns a free port of the loopback interface. Another process could take
// it before it is used, but tests on one machine start far enough apart for
// this not to matter.
int FindFreePort() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  const bool bound =
      bind(socket, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  close(socket);
  return bound ? ntohs(address.sin_port) : 0;
}

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

json MakeClusterSettings(const ControllerOptions& options) {
  return {{"teams",
           {{{"name", "hot"}, {"cpus", 40}, {"cpus_max", 2000}},
            {{"name", "calm"}, {"cpus", 40}, {"cpus_max", 2000}}}},
          {"objectives", json::array()},
          {"workers",
           {{"report_s", options.heartbeat_interval_s},
            {"lease_s", options.worker_lease_s},
            {"cancel_s", options.cancel_deadline_s}}},
          {"state",
           {{"rps", 500.0},
            {"write_rps", 300.0},
            {"value_kb", 16.0},
            {"txn_ops", 16}}},
          {"cloud", {{"rps", 20.0}, {"list_lag_s", 1.0}}},
          {"machine_limits", {{"ram_mb", 400.0}, {"sockets", 1500}}}};
}

}  // namespace

Controllers::Controllers(const ControllerOptions& options, int state_port,
                         int cloud_port)
    : processes_(static_cast<size_t>(options.count)) {
  char directory[] = "/tmp/sorrelwood-loopback-XXXXXX";
  directory_ = mkdtemp(directory);
  operator_config_ = directory_ + "/operator.txtpb";
  std::ofstream(operator_config_) << options.operator_settings;
  for (size_t i = 0; i < processes_.size(); ++i) {
    Process& process = processes_[i];
    process.name = "controller-" + std::to_string(i);
    process.config = directory_ + "/" + std::to_string(i) + ".json";
    process.log = directory_ + "/" + std::to_string(i) + ".log";
    process.address = LoopbackAddress(FindFreePort());
    addresses_[process.name] = process.address;
  }
  WriteSettings(options, state_port, cloud_port);
  for (int i = 0; i < options.count; ++i) Start(i);
}

void Controllers::WriteSettings(const ControllerOptions& options,
                                int state_port, int cloud_port) {
  std::vector<int> peer_ports;
  for (size_t i = 0; i < processes_.size(); ++i)
    peer_ports.push_back(FindFreePort());
  const auto zone = [](size_t index) { return index % 2 ? "b" : "a"; };
  for (size_t i = 0; i < processes_.size(); ++i) {
    json peers = json::array();
    for (size_t other = 0; other < processes_.size(); ++other)
      if (other != i)
        peers.push_back({{"node_name", processes_[other].name},
                         {"site", zone(other)},
                         {"addr", AddLink(peer_ports[other], {i, other})}});
    const json settings = {{"node_name", processes_[i].name},
                           {"site", zone(i)},
                           {"serve_on", processes_[i].address},
                           {"mesh_addr", LoopbackAddress(peer_ports[i])},
                           {"siblings", peers},
                           {"outside",
                            {{"cloud", AddLink(cloud_port, {i})},
                             {"state", AddLink(state_port, {i})}}},
                           {"cluster", MakeClusterSettings(options)}};
    std::ofstream(processes_[i].config) << settings.dump();
  }
}

std::string Controllers::AddLink(int target_port,
                                 const std::vector<size_t>& controllers) {
  links_.push_back(std::make_unique<TcpProxy>(target_port));
  for (const size_t index : controllers)
    processes_[index].links.push_back(links_.back().get());
  return LoopbackAddress(links_.back()->port());
}

Controllers::~Controllers() {
  for (size_t i = 0; i < processes_.size(); ++i) Kill(static_cast<int>(i));
}

void Controllers::Start(int index) {
  Process& process = processes_[static_cast<size_t>(index)];
  if (process.pid > 0) return;
  process.pid = fork();
  if (process.pid != 0) return;
  const int log = open(process.log.c_str(),
                       O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDERR_FILENO);
  execl(SORRELWOOD_PROGRAM, "sorrelwood", "--operator-config",
        operator_config_.c_str(), "--config", process.config.c_str(), nullptr);
  _exit(127);
}

void Controllers::Kill(int index) {
  Process& process = processes_[static_cast<size_t>(index)];
  if (process.pid <= 0) return;
  kill(process.pid, SIGKILL);
  waitpid(process.pid, nullptr, 0);
  process.pid = -1;
}

void Controllers::Pause(int index) {
  kill(processes_[static_cast<size_t>(index)].pid, SIGSTOP);
}

void Controllers::Resume(int index) {
  kill(processes_[static_cast<size_t>(index)].pid, SIGCONT);
}

void Controllers::SetCut(int index, bool cut) {
  for (TcpProxy* link : processes_[static_cast<size_t>(index)].links)
    link->SetCut(cut);
}

double Controllers::ReadMetric(int index, const std::string& name) const {
  Endpoint endpoint;
  ParseEndpoint(processes_[static_cast<size_t>(index)].address, &endpoint);
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_connection_timeout(1);
  client.set_read_timeout(1);
  const auto result = client.Get("/metrics");
  if (!result || result->status != 200) return -1;
  const std::string prefix = "sorrelwood_state{of=\"" + name + "\"} ";
  const size_t position = result->body.find(prefix);
  if (position == std::string::npos) return -1;
  return std::strtod(result->body.c_str() + position + prefix.size(), nullptr);
}

int Controllers::FindLeader() const {
  int leader = -1;
  double term = -1;
  for (size_t i = 0; i < processes_.size(); ++i) {
    const int index = static_cast<int>(i);
    if (ReadMetric(index, "leading") < 1 || ReadMetric(index, "term") <= term)
      continue;
    leader = index;
    term = ReadMetric(index, "term");
  }
  return leader;
}

}  // namespace sorrelwood::test
