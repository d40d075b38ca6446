// Real controller processes on loopback, which tests kill, pause and resume.
#pragma once

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loopback/tcp_proxy.h"

namespace sorrelwood::test {

struct ControllerOptions {
  int count = 3;
  std::string operator_settings;
  double heartbeat_interval_s = 0.5, worker_lease_s = 6;
  double cancel_deadline_s = 24;
};

class Controllers {
 public:
  // Starts the controllers; the destructor kills them.
  Controllers(const ControllerOptions& options, int state_port, int cloud_port);
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  void Start(int index);
  // Send SIGKILL, SIGSTOP and SIGCONT.
  void Kill(int index);
  void Pause(int index);
  void Resume(int index);
  // Cuts the controller off from the state service, the cloud and the other
  // controllers, or connects it again. Workers and users still reach it.
  void SetCut(int index, bool cut);

  // Addresses that workers and users connect to, by controller name.
  const std::map<std::string, std::string>& addresses() const {
    return addresses_;
  }
  // Returns the value of the controller's metric, or -1 without an answer.
  double ReadMetric(int index, const std::string& name) const;
  // Returns the index of the leader with the highest term, or -1 if no
  // controller that answers is leader.
  int FindLeader() const;
  size_t size() const { return processes_.size(); }

 private:
  struct Process {
    pid_t pid = -1;
    std::string name, config, log, address;
    // Its connections to the state service, the cloud and from and to the other
    // controllers.
    std::vector<TcpProxy*> links;
  };

  void WriteSettings(const ControllerOptions& options, int state_port,
                     int cloud_port);
  // Adds a proxy to the port, which the cuts of these controllers affect, and
  // returns its address.
  std::string AddLink(int target_port, const std::vector<size_t>& controllers);

  std::string operator_config_;
  std::string directory_;
  std::vector<Process> processes_;
  std::map<std::string, std::string> addresses_;
  std::vector<std::unique_ptr<TcpProxy>> links_;
};

}  // namespace sorrelwood::test
