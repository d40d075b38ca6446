// Requests to the cloud for machines. A request lasts from the record that is
// written before the call until every machine in the answer has a record of its
// own.
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

// The state of a provisioning request. A request ends early if its record
// cannot be stored or the cloud refuses it.
enum class ProvisioningState {
  kRecording,    // its record is being written; the cloud has not been called
  kDue,          // recorded; the cloud must be called, also after a failure
  kCalling,      // the cloud has not answered yet
  kProvisioned,  // the cloud has named the machines; not all have records yet
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

  // Takes over the records of earlier leaders at the start of `term`, and adds
  // their machines to the machine table.
  void Load(uint64_t term, const std::vector<ProvisioningRecord>& records);
  // Called when leadership is lost: results of calls in flight are ignored.
  void Clear();

  // Requests `count` machines, in several requests where one record could not
  // name all of them.
  void Provision(const Offer& offer, int count);

  // Calls the cloud for due requests, as far as the quota allows. A call not
  // sent by `dispatch_deadline` (steady clock, s) is dropped.
  void SendDue(double dispatch_deadline);

  // Called when the machine's own record is committed, or the machine has been
  // removed.
  void OnMachineRecorded(const std::string& machine);

  // Requests whose machines the cloud has not named yet, in the order of names.
  std::vector<const ProvisioningRecord*> ListUnanswered() const;

 private:
  struct Request {
    ProvisioningState state = ProvisioningState::kRecording;
    ProvisioningRecord record;
    // When this leader made the request or took it over (steady clock, s).
    double requested_at = 0;
    double next_call_at = 0;  // steady clock, s; 0: at once
    // Machines in the answer that have no record yet.
    std::set<std::string> unrecorded_machines;
  };

  int MaxMachinesPerRequest() const;
  void StartRequest(const Offer& offer, int count);
  void CallCloud(const std::string& name, Request* request,
                 double dispatch_deadline);
  void OnResult(const std::string& name, const CloudResult& result);
  void OnProvisioned(const std::string& name, Request* request,
                     const std::vector<std::string>& machine_names);
  void EndRequest(const std::string& name);

  Context* context_;
  MachineTable* machines_;
  StateWriter* writer_;
  const StateLimitTracker* limits_;
  OfferCatalog* catalog_;
  CloudCallQuota* quota_;
  uint64_t term_ = 0;
  uint64_t generation_ = 0;   // results of an earlier generation are ignored
  uint64_t last_number_ = 0;  // of this term's requests
  std::map<std::string, Request> requests_;  // by name
};

}  // namespace sorrelwood
