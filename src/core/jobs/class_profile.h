// What jobs of each class usually ask for, learnt from those that arrived.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/model/job.h"
#include "core/model/stored_records.h"

namespace sorrelwood {

// The usual job of a class.
struct ClassProfile {
  double tasks = 0;             // of a job, smoothed
  JobSpec spec;                 // of the latest job
  std::deque<double> arrivals;  // wall times of the latest kMaxArrivalsPerClass jobs
};

class ClassProfileTable {
 public:
  // A job has arrived.
  void Learn(const LiveJob& job);
  // Null until a job of the class has arrived.
  const ClassProfile* Find(const std::string& job_class) const;
  const std::map<std::string, ClassProfile>& all() const { return profiles_; }

 private:
  std::map<std::string, ClassProfile> profiles_;  // by class
};

}  // namespace sorrelwood
