// Real controller processes on loopback, which tests kill, pause and resume.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace sorrelwood::test {

class Controllers {
 public:
  // Starts `count` controllers; the destructor kills them.
  Controllers(int count, int state_port, int cloud_port,
              const std::string& operator_settings);
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  void Start(int index);
  // Send SIGKILL, SIGSTOP and SIGCONT.
  void Kill(int index);
  void Pause(int index);
  void Resume(int index);

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
    std::string config, log, address;
  };
  std::string operator_config_;
  std::string directory_;
  std::vector<Process> processes_;
  std::map<std::string, std::string> addresses_;
};

}  // namespace sorrelwood::test
