// Headroom for services: machines on which replicas that are yet to come find
// room at once.
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

  // Marks the machines that hold replicas or are kept for further ones
  // (FleetRole::for_services): first those that hold replicas, then the
  // cheapest.
  void SelectMachines();

  // Adds machines for the headroom that what is up, booting, asked for and in
  // `plan` does not hold.
  void Plan(ScaleOutPlan* plan);

 private:
  // Replicas that fit, by zone. In each zone no more than `max_per_zone` count,
  // so that a job can be spread.
  struct ZoneSlots {
    double max_per_zone = 0;
    std::map<std::string, double> slots;

    double Covered() const;
    bool IsFull(const std::string& zone) const;
  };

  // Headroom for classes that have been seen, and for those that have not.
  std::vector<Headroom> Needs() const;
  // A class that is to start at once has had no job yet.
  bool AwaitsUnseenClass() const;
  const MachineType* CheapestType() const;

  static void Reserve(const Headroom& need,
                      const std::vector<Machine*>& candidates);
  void PlanNeed(const Headroom& need, ScaleOutPlan* plan) const;
  ZoneSlots ExpectedSlots(const Headroom& need, const ScaleOutPlan& plan) const;
  // Counts `machines` empty machines, if replicas may run there.
  static void AddEmptyMachines(const Headroom& need, const MachineType& type,
                               const std::string& zone, bool spot,
                               double machines, ZoneSlots* free);
  // Null if no offer is suitable.
  const Offer* CheapestOffer(const ClassProfile& usual,
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
