// Decides whether the cluster can ever run a submitted job.
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
  // While this is false, the machine types are unknown and no submission can be
  // checked.
  bool catalog_known() const { return !types_.empty(); }

  // The reason, worded for the user, why the job can never run: its team is
  // unknown, the team's limit is too low, or no machine type fits. Nothing if
  // the job can run.
  std::optional<std::string> FindRejectionReason(const JobSpec& spec) const;

 private:
  // Whether the job allows the machine type and a task of it fits on an empty
  // machine of that type.
  static bool TaskFitsType(const JobSpec& spec, const MachineType& type);

  const ClusterSettings* settings_;
  std::vector<MachineType> types_;
};

}  // namespace sorrelwood
