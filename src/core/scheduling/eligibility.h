// Eligibility: whether a machine may run tasks at all, and whether it may run
// tasks of a given job. Free capacity is not considered here.
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
  kRecentFailure,       // the job failed there, and its last failure is recent
  kUnknownMachineType,  // the catalogue doesn't list the machine's type yet
  kLocationNotAllowed,  // the job excludes its type, its zone or spot machines
  kOutsideZoneOfJob,    // the job must stay in one zone and runs in another
  kZoneSpreadLimit,     // the zone has half of the tasks of a spread job
};

// True if the job allows the machine type, the zone and, if `spot`, machines
// that the provider may preempt.
bool AllowsLocation(const JobSpec& spec, const MachineType& type,
                    const std::string& zone, bool spot);

// True if one more task may go to the zone, beyond the job's tasks there and
// `planned` further ones. A job with `spread` may have at most half of its
// tasks, rounded up, in a zone; other jobs have no limit.
bool ZoneSpreadAllows(const Job& job, const std::string& zone,
                      uint32_t planned);

class Eligibility {
 public:
  // Both arguments must outlive this object.
  Eligibility(const Context* context, const ClusterSettings* settings)
      : context_(context), settings_(settings) {}

  // True if tasks may be placed on the machine: its record is stored, it is
  // reachable, has acknowledged this leader's fencing token, has not refused a
  // start recently, and is neither quarantined nor about to leave the cluster.
  bool AcceptsTasks(const Machine& machine) const;

  // Returns why the machine may not run a task of the job; nothing if it may.
  std::optional<Ineligibility> Check(const Job& job,
                                     const Machine& machine) const;
  bool IsEligible(const Job& job, const Machine& machine) const {
    return !Check(job, machine);
  }
  // IsEligible for a task of the job that moves away from `from`. Within the
  // same zone it is enough that the job allows the machine's type, zone and
  // spot flag.
  bool IsEligibleAfterLeaving(const Job& job, const Machine& machine,
                              const Machine& from) const;

 private:
  // True if the machine's heartbeats arrive here and this leader's responses
  // arrive there.
  bool IsReachable(const Machine& machine) const;
  bool FailedThereRecently(const Job& job, const Machine& machine) const;

  const Context* context_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
