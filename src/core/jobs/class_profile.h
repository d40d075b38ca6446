// What a typical job of each class asks for, learnt from the jobs that arrived.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

// The typical job of a class.
struct ClassProfile {
  double tasks = 0;  // number of tasks, smoothed over jobs
  JobSpec spec;      // of the latest job
  // Wall times (s) of the latest arrivals, at most kMaxArrivalsPerClass.
  std::deque<double> arrivals;
};

class ClassProfileTable {
 public:
  // Updates the profile of the job's class when the job has arrived.
  void Learn(const LiveJob& job);
  // Returns null until a job of the class has arrived.
  const ClassProfile* Find(const std::string& job_class) const;
  const std::map<std::string, ClassProfile>& all() const { return profiles_; }

 private:
  std::map<std::string, ClassProfile> profiles_;  // by class
};

}  // namespace sorrelwood
