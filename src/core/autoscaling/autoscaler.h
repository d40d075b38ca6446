// Renting and returning machines: one paced queue of calls, a record before
// each rental, a hold before an idle machine goes, and the steady base.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaling/release_reason.h"
#include "core/coordination/state_limits.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

class Autoscaler {
 public:
  Autoscaler(Context* context, JobTable* jobs, MachineTable* machines,
             Placement* placement, StateWriter* writer,
             const StateLimitTracker* limits, const ClusterSettings* settings,
             const PolicySettings& policy)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        placement_(placement),
        writer_(writer),
        limits_(limits),
        settings_(settings),
        policy_(policy) {}

  void UpdateCatalog(const std::vector<MachineType>& types);
  const MachineType* FindType(const std::string& name) const;

  // A new leader takes over the records of the one before.
  void Load(uint64_t term, const std::vector<ProvisioningRecord>& rents);
  void Clear();
  // `dispatch_deadline`: when this leader's leave to act ends unless it is
  // renewed.
  void Tick(bool may_dispatch, double dispatch_deadline);

  // Returns the machine; its tasks count as on it until the cloud confirms.
  void Release(Machine* machine, ReleaseReason reason);
  // The machine's record is committed, or it is gone.
  void OnMachineRecorded(const std::string& machine);
  // The cloud has told this leader which machines there are.
  bool inventory_known() const { return inventory_known_; }

  // Called when the cloud has confirmed that the machine is gone.
  std::function<void(Machine*)> on_gone;
  double baseline_target_cpus() const { return base_target_; }

 private:
  struct Offer {
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double price = 0;
    std::string Key() const {
      return type->name + "|" + zone + "|" + (spot ? "spot" : "ordinary");
    }
  };
  struct OpenRent {
    ProvisioningRecord record;
    bool recorded = false, calling = false;
    double next_call = 0, began = 0;
    std::set<std::string> unsettled;
  };
  // Room that is there, or will be, in core-seconds of the planning window.
  struct Room {
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double cpus = 0;  // fewer than the type's while its start is late
    double core_seconds = 0;
  };

  bool TakeCall();
  // How often the machine list is read (s): less often the more pages it has,
  // each of which is one of the cloud's calls.
  double ListIntervalS() const;
  void ReadList();
  void LearnList(const std::vector<ListedMachine>& listed, double sent);
  void Plan();
  std::vector<Room> Rooms(double drain_s) const;
  static bool InPlan(const Machine& machine);
  static bool HoldsReplicas(const Machine& machine);
  const Offer* CheapestHeadroomOffer(const ClassProfile& usual,
                                     const std::vector<Offer>& offers,
                                     const std::map<std::string, double>& free,
                                     double of_a_zone) const;
  // How far a machine counts as room: less the later its start is.
  double Coming(const Machine& machine) const;
  // When the machines that came up were rented, in order, by type.
  using BootPeers = std::map<const MachineType*, std::vector<double>>;
  BootPeers CameUp() const;
  // It is so late that another would be up sooner.
  bool GivenUp(const Machine& machine, const BootPeers& came_up) const;
  // Rents what the rooms can't do within the drain time, with offers that cost
  // little more than the cheapest would.
  void PlanCheap(std::map<std::string, int>* wanted);
  void PlanJob(const Job& job, double count, std::vector<Room>* rooms,
               std::map<std::string, int>* wanted);
  // Rents dear machines for jobs that would miss their aim on the cheap ones.
  void PlanDear(std::map<std::string, int>* wanted);
  // Rents room for replicas that are yet to come, as far as what is up, booting
  // or `wanted` does not hold it.
  void PlanHeadroom(std::map<std::string, int>* wanted);
  // What replicas that are yet to come may need, of classes seen and not.
  std::vector<Placement::Headroom> HeadroomNeeds() const;
  // Chooses the machines that hold replicas or the room for further ones.
  void ChooseHeadroomMachines();
  // The offer that does `count` tasks of the job for the least.
  const Offer* Cheapest(const Job& job, double count, bool dear,
                        const std::vector<Offer>& offers,
                        const std::map<std::string, int>& wanted,
                        const std::set<std::string>& full_zones = {}) const;
  // Tasks of the job that may still be put in the zone, beside `planned`.
  static double ZoneLeft(const Job& job, const std::string& zone,
                         const std::map<std::string, double>& planned);
  // Pending tasks that the team's limit lets run beside what runs already.
  double MayStartTask(const Job& job,
                      std::map<std::string, double>* team_left) const;
  std::map<std::string, double> TeamLeft() const;
  bool JobAllows(const Job& job, const MachineType& type,
                 const std::string& zone, bool spot) const;
  double Cores(const JobSpec& spec, const MachineType& type) const;
  double CoreSeconds(const JobSpec& spec, const MachineType& type,
                     double drain_s) const;
  std::vector<Offer> Offers() const;
  bool Refused(const Offer& offer) const;
  void Begin(const Offer& offer, int count);
  // Machines that one rental may ask for: its record has to name them all.
  int MostPerRent() const;
  void CallRent(const std::string& name);
  void EndRent(const std::string& name);
  static double PricePerCore(const Machine& machine);
  void ChooseBase();
  void ChooseSurplus();
  void DrainExcessMachines(const std::vector<Machine*>& first);
  void ReturnIdle();
  void SendReturns();

  Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  Placement* placement_;
  StateWriter* writer_;
  const StateLimitTracker* limits_;
  const ClusterSettings* settings_;
  PolicySettings policy_;
  std::map<std::string, MachineType> types_;

  uint64_t term_ = 0;
  uint64_t generation_ = 0;  // results of an earlier term are ignored
  uint64_t next_rent_ = 0;
  std::map<std::string, OpenRent> rents_;
  std::map<std::string, double> refused_until_;
  std::set<std::string> returning_;
  bool return_in_flight_ = false;
  bool listing_ = false;
  bool inventory_known_ = false;  // one was read in this term
  size_t list_pages_ = 1;         // of the latest list
  double next_list_ = 0, next_plan_ = 0;
  double held_up_at_ = 0;  // when work last could not start
  double launch_until_ = 0;
  double calls_ = 0, calls_at_ = 0;
  double base_target_ = 0, base_most_ = 0;
  double load_ = 0;  // CPUs in use, smoothed
};

}  // namespace sorrelwood
