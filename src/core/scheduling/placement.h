// Which task goes on which machine: owned room first, best fit by cores, the
// first jobs near the front that fit. Every check that a rule needs is here.
#pragma once

#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// Decides among machines that the ordinary rules leave open, so that load is
// spread (docs/load-spread.md).
class PlacementSpread {
 public:
  virtual ~PlacementSpread() = default;
  // Demand and capacity may have changed; called once before a pass.
  virtual void Update(double now) = 0;
  // One more task of the job would crowd the machine: others go first.
  virtual bool WouldCrowd(const Job& job, const Machine& machine) const = 0;
  // Among machines that are equal otherwise the least goes first.
  virtual uint64_t TieBreak(const Job& job, const Machine& machine) const = 0;
};

class Placement {
 public:
  Placement(Context* context, JobTable* jobs, MachineTable* machines,
            const ClusterSettings* settings)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        settings_(settings) {}

  // Null: load is not spread. Must outlive this object.
  void set_spread(PlacementSpread* spread) { spread_ = spread; }

  // Matches the front of the queue with the machines that have room.
  void RunPass(uint64_t term);
  // Fills the room of one machine, which is reporting just now.
  void FillMachine(Machine* machine, uint64_t term);

  // May `job` have a task started at all now?
  bool MayStartTask(const Job& job) const;
  bool WithinQuota(const Job& job) const;
  // One more task keeps the team within its guarantee: it need not wait for
  // other teams.
  bool WithinGuarantee(const Job& job) const;
  bool HasPrecedence(const Job& job) const;
  // Type, zone, kind and the job's other tasks allow the machine.
  bool IsEligible(const Job& job, const Machine& machine) const;
  // The same for a task of the job that leaves `from`.
  bool IsEligibleAfterLeaving(const Job& job, const Machine& machine,
                              const Machine& from) const;
  // `more` and one further task in the zone keep the job spread over zones.
  static bool SpreadAllows(const Job& job, const std::string& zone,
                           uint32_t more);
  bool AcceptsTasks(const Machine& machine) const;
  // It reports, and what we answer arrives there.
  bool IsReachable(const Machine& machine) const;
  // The next pending task; `owned` asks for those that wait for owned room.
  std::optional<uint32_t> NextTask(const Job& job, bool owned) const;

  // Room that machines with unknown tasks may take of any team's limit:
  // guards against a new leader going over a limit with what the old one
  // placed.
  void set_unreconciled(int machines, double cpus, double gpus) {
    unreconciled_machines_ = machines;
    unreconciled_cpus_ = cpus;
    unreconciled_gpus_ = gpus;
  }
  int unreconciled() const { return unreconciled_machines_; }

  void Assign(Job* job, uint32_t task, Machine* machine, uint64_t term);

  // Room that is to be there for replicas that are yet to come. Other work may
  // use it meanwhile, but for the room of one usual job.
  struct Headroom {
    std::string job_class;
    ClassProfile usual;
    double slots = 0;  // for so many replicas
    // Slots that count in one zone, so that a job can be spread.
    double OfAZone() const {
      return usual.spec.spread ? std::ceil(slots / 2) : slots;
    }
  };
  std::vector<Headroom> HeadroomNeeds() const;
  // Usual tasks that the machine has room for beside what it holds, all that
  // may be stopped for them left out.
  static double HeadroomSlots(const Machine& machine,
                              const ClassProfile& usual);
  static double SlotsOnType(const MachineType& type, const ClassProfile& usual);
  // The job names the type, the zone and the kind, or none of them.
  static bool AllowsLocation(const JobSpec& spec, const MachineType& type,
                             const std::string& zone, bool spot);

  // Stops what teams run beyond their guarantee, as far as others wait for
  // theirs and it can save its progress.
  void PreemptForGuarantees();
  // It has run long enough and can save its progress soon.
  bool IsPreemptible(const TaskAttempt& attempt) const;

 private:
  // Room kept free for classes that are to start at once.
  struct Reserve {
    std::string job_class;
    ClassProfile usual;
    double slots = 0;                    // that are to stay free
    std::map<std::string, double> free;  // that are free now, by zone
    // Free slots that count: of a zone no more than may be in one.
    double Covered() const;
  };
  // Counted over the fleet at each pass only: guards against a leader
  // whose every report costs a look at all machines. In between each machine is
  // counted anew when it reports, since room that has come free there must
  // count, or it stays empty until the next report.
  void MeasureReserves();
  void Recount(Machine* machine);
  static double Slots(const Machine& machine, const ClassProfile& usual,
                      double less_cpus, double less_memory_gb);
  double StandbySlots(const ClassProfile& usual) const;
  // Further tasks of the kind that the team's limit lets run.
  double SlotsUnderLimit(const JobSpec& spec) const;
  double ShortestBootS() const;
  // A task of `job` on the machine leaves the reserves whole, or is one of
  // those that they are for.
  bool LeavesReserves(const Job& job, const Machine& machine) const;
  bool StartsAtOnce(const Job& job) const;
  // Replicas of the job on the machine: they are kept apart where room allows.
  static size_t ReplicasOn(const Job& job, const Machine& machine);
  void AssignCounted(Job* job, uint32_t task, Machine* machine, uint64_t term);

  // The jobs near the front of the queue that may have a task started.
  std::vector<Job*> Front();
  void ClaimForServices();
  void Sample(const std::vector<Job*>& front,
              std::vector<Machine*>* candidates);
  // How well a machine fits a task; the least is the best.
  using Rank = std::tuple<bool, bool, size_t, double, bool, bool, bool, double,
                          bool, uint64_t>;
  Machine* BestFit(const Job& job, const std::vector<Machine*>& candidates,
                   bool owned_only, const std::vector<const Job*>& owed) const;
  // Fetching the job's image there is long beside a task's run time.
  bool LongFetch(const Job& job, const Machine& machine) const;
  bool Put(Job* job, bool owned, bool guaranteed, bool even, Machine* machine,
           uint64_t term);
  // Jobs of the front that are still owed room by their team's guarantee.
  std::vector<const Job*> Owed(const std::vector<Job*>& front) const;
  // Guards against long work beyond a guarantee taking, core by core, the room
  // that larger tasks within one are waiting to fit.
  bool KeptFor(const std::vector<const Job*>& owed, const Job& job,
               const Machine& machine) const;
  bool CouldHold(const Machine& machine, const Job& job) const;

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const ClusterSettings* settings_;
  PlacementSpread* spread_ = nullptr;
  int unreconciled_machines_ = 0;
  double unreconciled_cpus_ = 0, unreconciled_gpus_ = 0;
  uint32_t attempts_ = 0;
  // What replicas that wait will take of their team's limit, by team. Guards
  // against other tasks of the team taking what was freed for them.
  std::map<std::string, double> service_claims_;  // CPUs
  std::vector<Reserve> reserves_;
  bool reserves_stale_ = true;  // since the last pass had nothing to place
};

}  // namespace sorrelwood
