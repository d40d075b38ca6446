// Which machines are much slower than others at the same work.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sorrelwood {

// Compares each task's run time with the usual one of its own job, so that the
// owners' estimates don't matter.
class SpeedTracker {
 public:
  // A task of the job ran to its end on the machine without interruption.
  void Learn(const std::string& job, const std::string& machine, double ran_s);
  // Its tasks have lately taken kSlowMachineRatio times as long as others.
  bool IsSlow(const std::string& machine) const;

  void ForgetJob(const std::string& job) { jobs_.erase(job); }
  void ForgetMachine(const std::string& machine) { machines_.erase(machine); }
  void Clear();

 private:
  struct JobTimes {
    uint64_t tasks = 0;
    double mean_s = 0;  // without those that took far longer
  };
  struct MachineRatio {
    uint64_t samples = 0;
    double smoothed = 1;  // of run times to the job's mean
  };
  std::map<std::string, JobTimes> jobs_;
  std::map<std::string, MachineRatio> machines_;
};

}  // namespace sorrelwood
