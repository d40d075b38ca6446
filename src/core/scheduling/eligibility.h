// Which machines may run tasks at all, and which of them a job's tasks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/engine/context.h"
#include "core/jobs/job.h"
#include "core/machines/machine_table.h"
#include "core/model/machine_type.h"
#include "core/model/settings.h"

namespace sorrelwood {

// Why a machine may not run a task of a job.
enum class Ineligibility {
  kRecentFailure,    // a task of the job failed there a short while ago
  kUnknownType,      // the catalogue has not named the machine's type yet
  kLocation,         // the job does not allow its type, zone or kind
  kOutsideJobsZone,  // the job is to stay in one zone and runs in another
  kZoneIsFull,       // the job is spread, and the zone has its half of it
};

// The job allows the machine type, the zone and, if `spot`, preemptible
// machines.
bool AllowsLocation(const JobSpec& spec, const MachineType& type,
                    const std::string& zone, bool spot);

// `planned` tasks and one further task in the zone keep a job that is to be
// spread within half of its tasks in each zone.
bool SpreadAllows(const Job& job, const std::string& zone, uint32_t planned);

class Eligibility {
 public:
  // Both must outlive this object.
  Eligibility(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // The machine reports, its record is stored, and it is neither quarantined
  // nor about to go: tasks may be placed on it.
  bool AcceptsTasks(const Machine& machine) const;

  // Nothing: the machine may run a task of the job, if it has room.
  std::optional<Ineligibility> Check(const Job& job,
                                     const Machine& machine) const;
  bool IsEligible(const Job& job, const Machine& machine) const {
    return !Check(job, machine);
  }
  // The same for a task of the job that leaves the machine `from`.
  bool IsEligibleAfterLeaving(const Job& job, const Machine& machine,
                              const Machine& from) const;

 private:
  // Its heartbeats arrive, and so do the answers.
  bool IsReachable(const Machine& machine) const;
  bool FailedThereRecently(const Job& job, const Machine& machine) const;

  const Context* context_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
