// Detects machines that are much slower than others at the same work.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sorrelwood {

// Compares each task's run time with the mean of its own job, so that the
// owners' estimates have no influence.
class SpeedTracker {
 public:
  // Called when a task of the job ran to its end on the machine without
  // interruption.
  void LearnRunTime(const std::string& job, const std::string& machine,
                    double ran_s);
  // Whether the machine's tasks have recently taken at least kSlowMachineRatio
  // times as long as the other tasks of their jobs.
  bool IsSlow(const std::string& machine) const;

  void ForgetJob(const std::string& job) { times_by_job_.erase(job); }
  void ForgetMachine(const std::string& machine) {
    ratio_by_machine_.erase(machine);
  }
  void Clear();

 private:
  struct JobTimes {
    uint64_t tasks = 0;
    // Run time, without tasks that took kSlowMachineRatio times as long.
    double mean_s = 0;
  };
  struct MachineRatio {
    uint64_t samples = 0;
    double smoothed = 1;  // ratio of run times to the jobs' means
  };
  std::map<std::string, JobTimes> times_by_job_;
  std::map<std::string, MachineRatio> ratio_by_machine_;
};

}  // namespace sorrelwood
