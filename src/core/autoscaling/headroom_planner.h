// Headroom for services: machines kept so that future replicas can start at
// once.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/autoscaling/offer_catalog.h"
#include "core/autoscaling/provisioning_requests.h"
#include "core/autoscaling/scale_out_plan.h"
#include "core/engine/context.h"
#include "core/jobs/job_table.h"
#include "core/machines/machine_table.h"
#include "core/model/settings.h"
#include "core/scheduling/placement.h"

namespace sorrelwood {

class HeadroomPlanner {
 public:
  // All must outlive this object.
  HeadroomPlanner(const Context* context, JobTable* jobs,
                  MachineTable* machines, const Placement* placement,
                  const OfferCatalog* catalog,
                  const ProvisioningRequests* requests,
                  const ClusterSettings* settings)
      : context_(context),
        jobs_(jobs),
        machines_(machines),
        placement_(placement),
        catalog_(catalog),
        requests_(requests),
        settings_(settings) {}

  // Marks the machines that hold replicas or are kept for future ones
  // (FleetRole::for_services). Headroom goes first to machines that hold
  // replicas, then to the cheapest.
  void SelectMachines();

  // Adds machines for the headroom that has no room on the machines that are
  // up, booting, requested or in `plan`.
  void Plan(ScaleOutPlan* plan);

 private:
  // Slots for replicas, by zone. At most `max_per_zone` count in each zone, so
  // that a job can be spread.
  struct ZoneSlots {
    double max_per_zone = 0;
    std::map<std::string, double> slots;

    double SumUsable() const;
    bool IsFull(const std::string& zone) const;
  };

  // Headroom for classes that have had jobs, and for those that have not.
  std::vector<Headroom> ComputeNeeds() const;
  // Whether a class whose tasks must start at once has had no job yet.
  bool ExpectsUnseenClass() const;
  // Null if no type is known.
  const MachineType* FindCheapestType() const;

  static void ReserveMachines(const Headroom& need,
                              const std::vector<Machine*>& candidates);
  void PlanNeed(const Headroom& need, ScaleOutPlan* plan) const;
  ZoneSlots CountExpectedSlots(const Headroom& need,
                               const ScaleOutPlan& plan) const;
  // Adds the slots of `machine_count` empty machines to `free`, if replicas may
  // run there. The count is a fraction for a machine whose boot is late.
  static void AddEmptyMachines(const Headroom& need, const MachineType& type,
                               const std::string& zone, bool spot,
                               double machine_count, ZoneSlots* free);
  // Null if no offer is suitable.
  const Offer* FindCheapestOffer(const ClassProfile& profile,
                                 const ZoneSlots& free) const;

  const Context* context_;
  JobTable* jobs_;
  MachineTable* machines_;
  const Placement* placement_;
  const OfferCatalog* catalog_;
  const ProvisioningRequests* requests_;
  const ClusterSettings* settings_;
};

}  // namespace sorrelwood
