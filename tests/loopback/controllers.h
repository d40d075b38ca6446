// Real controller processes on loopback, which tests kill, pause and resume.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace sorrelwood::test {

class Controllers {
 public:
  // Starts `count` of them; all are killed when this is destroyed.
  Controllers(int count, int state_port, int cloud_port,
              const std::string& operator_settings);
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  void Start(int index);
  // SIGKILL, SIGSTOP and SIGCONT.
  void Kill(int index);
  void Pause(int index);
  void Resume(int index);

  // Names and addresses for workers and users.
  const std::map<std::string, std::string>& addresses() const {
    return addresses_;
  }
  // The value of a metric of the controller; -1 when it does not answer.
  double Metric(int index, const std::string& name) const;
  // Index of the leader with the latest term; -1: none that answers leads.
  int Leader() const;
  size_t size() const { return processes_.size(); }

 private:
  struct Process {
    pid_t pid = -1;
    std::string config, log, address;
  };
  std::string operator_config_;
  std::string directory_;
  std::vector<Process> processes_;
  std::map<std::string, std::string> addresses_;
};

}  // namespace sorrelwood::test
