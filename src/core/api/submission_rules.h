// Which submissions the cluster can ever run.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/model/job.h"
#include "core/model/machine_type.h"
#include "core/model/settings.h"

namespace sorrelwood {

class SubmissionRules {
 public:
  // `settings` must outlive this object.
  explicit SubmissionRules(const ClusterSettings* settings)
      : settings_(settings) {}

  void UpdateCatalog(const std::vector<MachineType>& types) { types_ = types; }
  // False: no submission can be judged, since the machine types are not known.
  bool catalog_known() const { return !types_.empty(); }

  // Why no machine type, or not the team's limit, could ever take the job;
  // nothing if it can run. The text is for the user.
  std::optional<std::string> RejectionReason(const JobSpec& spec) const;

 private:
  // An empty machine of the type takes a task, and the job allows the type.
  static bool FitsType(const JobSpec& spec, const MachineType& type);

  const ClusterSettings* settings_;
  std::vector<MachineType> types_;
};

}  // namespace sorrelwood
