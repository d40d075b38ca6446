// Requests to the cloud for machines, from the record that is written before
// the call until every machine of the answer has a record of its own.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/autoscaling/cloud_call_quota.h"
#include "core/autoscaling/offer_catalog.h"
#include "core/coordination/state_limits.h"
#include "core/coordination/state_writer.h"
#include "core/engine/context.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

// The life of a provisioning request. It ends early when its record cannot be
// stored or the cloud refuses it.
enum class ProvisioningState {
  kRecording,    // its record is being written; the cloud knows nothing of it
  kDue,          // recorded: the cloud is called, again after a failure
  kCalling,      // the cloud has not answered yet
  kProvisioned,  // the cloud has named the machines; they have no records yet
};

class ProvisioningRequests {
 public:
  // All must outlive this object.
  ProvisioningRequests(Context* context, MachineTable* machines,
                       StateWriter* writer, const StateLimitTracker* limits,
                       OfferCatalog* catalog, CloudCallQuota* quota)
      : context_(context),
        machines_(machines),
        writer_(writer),
        limits_(limits),
        catalog_(catalog),
        quota_(quota) {}

  // Takes over the records of earlier leaders, at the start of `term`. Their
  // machines are added to the machine table.
  void Load(uint64_t term, const std::vector<ProvisioningRecord>& records);
  // The lead is lost: results that are still to come are ignored.
  void Clear();

  // Asks for `count` machines, in as many requests as their records take.
  void Provision(const Offer& offer, int count);

  // Calls the cloud for requests that are due, as far as the quota goes. A call
  // that has not left by `dispatch_deadline` (steady clock, s) does not leave.
  void SendDue(double dispatch_deadline);

  // The machine's own record is committed, or the machine is gone.
  void OnMachineRecorded(const std::string& machine);

  // Requests whose machines the cloud has not named yet, by name.
  std::vector<const ProvisioningRecord*> Unanswered() const;

 private:
  struct Request {
    ProvisioningState state = ProvisioningState::kRecording;
    ProvisioningRecord record;
    double requested_at = 0;  // by this leader (steady clock, s)
    double next_call_at = 0;
    std::set<std::string> unrecorded_machines;  // of the answer
  };

  int MaxMachinesPerRequest() const;
  void Record(const Offer& offer, int count);
  void Call(const std::string& name, Request* request,
            double dispatch_deadline);
  void OnResult(const std::string& name, const CloudResult& result);
  void OnProvisioned(const std::string& name, Request* request,
                     const std::vector<std::string>& machine_names);
  void End(const std::string& name);

  Context* context_;
  MachineTable* machines_;
  StateWriter* writer_;
  const StateLimitTracker* limits_;
  OfferCatalog* catalog_;
  CloudCallQuota* quota_;
  uint64_t term_ = 0;
  uint64_t generation_ = 0;  // results of an earlier one are ignored
  uint64_t last_number_ = 0;
  std::map<std::string, Request> requests_;  // by name
};

}  // namespace sorrelwood
