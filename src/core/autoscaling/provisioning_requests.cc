#include "core/autoscaling/provisioning_requests.h"

#include <algorithm>
#include <utility>

#include "base/constants/cloud.h"
#include "base/constants/state_service.h"
#include "core/autoscaling/machine_registration.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {
namespace {

CapacityPool PoolOf(const ProvisioningRecord& record) {
  return {record.type, record.zone, record.spot};
}

}  // namespace

void ProvisioningRequests::Load(
    uint64_t term, const std::vector<ProvisioningRecord>& records) {
  term_ = term;
  last_number_ = 0;
  for (const ProvisioningRecord& record : records) {
    Request request;
    request.state = record.answered ? ProvisioningState::kProvisioned
                                    : ProvisioningState::kDue;
    request.record = record;
    request.requested_at = context_->now;
    for (const std::string& name : record.machines) {
      if (machines_->Find(name)) continue;  // it has a record of its own
      Machine* machine = RegisterMachine(machines_, *catalog_,
                                         {name, PoolOf(record), context_->now});
      machine->lifecycle.identity_confirmed = true;
      request.unrecorded_machines.insert(name);
    }
    requests_[record.name] = std::move(request);
  }
}

void ProvisioningRequests::Clear() {
  ++generation_;
  requests_.clear();
}

int ProvisioningRequests::MaxMachinesPerRequest() const {
  // The record must be able to name all machines of the request.
  const size_t bytes = limits_->max_value_bytes();
  const size_t max_names =
      bytes > kProvisioningRecordOverheadBytes
          ? (bytes - kProvisioningRecordOverheadBytes) / kMachineNameMaxBytes
          : 0;
  return std::clamp(static_cast<int>(max_names), 1,
                    kMaxMachinesPerProvisioning);
}

void ProvisioningRequests::Provision(const Offer& offer, int count) {
  const int max_machines = MaxMachinesPerRequest();
  for (int remaining = count; remaining > 0; remaining -= max_machines)
    StartRequest(offer, std::min(remaining, max_machines));
}

void ProvisioningRequests::StartRequest(const Offer& offer, int count) {
  Request request;
  ProvisioningRecord& record = request.record;
  record.name =
      "r-" + std::to_string(term_) + "-" + std::to_string(++last_number_);
  record.type = offer.type->name;
  record.zone = offer.zone;
  record.spot = offer.spot;
  record.count = count;
  context_->Info("provisioning machines",
                 {{"count", count},
                  {"type", record.type},
                  {"zone", record.zone},
                  {"spot", offer.spot ? "yes" : "no"}});
  request.requested_at = context_->now;
  const std::string name = record.name;
  std::string value = protocol::EncodeProvisioningRecord(record);
  requests_[name] = std::move(request);
  // The record is written before the call: if the leader crashes after the
  // call, its successor knows of the machines and can release them.
  writer_->Put(keys::ForProvisioningRequest(name), std::move(value),
               {[this, name] {
                  const auto entry = requests_.find(name);
                  if (entry != requests_.end() &&
                      entry->second.state == ProvisioningState::kRecording)
                    entry->second.state = ProvisioningState::kDue;
                },
                // Without a record nothing is provisioned.
                [this, name] { requests_.erase(name); }, /*urgent=*/true});
}

void ProvisioningRequests::SendDue(double dispatch_deadline) {
  for (auto& [name, request] : requests_)
    if (request.state == ProvisioningState::kDue &&
        context_->now >= request.next_call_at && quota_->TryAcquire())
      CallCloud(name, &request, dispatch_deadline);
}

void ProvisioningRequests::CallCloud(const std::string& name, Request* request,
                                     double dispatch_deadline) {
  request->state = ProvisioningState::kCalling;
  context_->Provision(
      request->record, dispatch_deadline,
      [this, name, generation = generation_](const CloudResult& result) {
        if (generation == generation_) OnResult(name, result);
      });
}

void ProvisioningRequests::OnResult(const std::string& name,
                                    const CloudResult& result) {
  const auto entry = requests_.find(name);
  if (entry == requests_.end()) return;
  Request& request = entry->second;
  const CapacityPool pool = PoolOf(request.record);
  if (result.outcome == Outcome::kRefused && !result.too_late) {
    catalog_->Suspend(
        pool, result.no_capacity ? kNoCapacityPauseS : kCloudErrorPauseS);
    EndRequest(name);
    return;
  }
  if (result.outcome != Outcome::kOk) {
    // Either the call was not sent in time, or it may have been carried out. A
    // retry is safe: for the same name the cloud provisions machines only once
    // and returns the same answer.
    request.state = ProvisioningState::kDue;
    request.next_call_at = context_->now + kProvisioningRetryS;
    return;
  }
  if (static_cast<int>(result.machines.size()) < request.record.count)
    catalog_->Suspend(pool, kNoCapacityPauseS);
  OnProvisioned(name, &request, result.machines);
}

void ProvisioningRequests::OnProvisioned(
    const std::string& name, Request* request,
    const std::vector<std::string>& machine_names) {
  request->state = ProvisioningState::kProvisioned;
  request->record.answered = true;
  request->record.machines = machine_names;
  for (const std::string& machine_name : machine_names) {
    if (machines_->WasRemoved(machine_name)) continue;
    Machine* machine = machines_->Find(machine_name);
    if (!machine)
      machine = RegisterMachine(
          machines_, *catalog_,
          {machine_name, PoolOf(request->record), request->requested_at});
    machine->lifecycle.identity_confirmed = true;
    if (!machine->lifecycle.recorded)
      request->unrecorded_machines.insert(machine_name);
  }
  if (request->unrecorded_machines.empty())
    EndRequest(name);
  else
    writer_->Put(keys::ForProvisioningRequest(name),
                 protocol::EncodeProvisioningRecord(request->record));
}

void ProvisioningRequests::OnMachineRecorded(const std::string& machine) {
  std::vector<std::string> ended;
  for (auto& [name, request] : requests_)
    if (request.unrecorded_machines.erase(machine) > 0 &&
        request.unrecorded_machines.empty() &&
        request.state == ProvisioningState::kProvisioned)
      ended.push_back(name);
  for (const std::string& name : ended) EndRequest(name);
}

void ProvisioningRequests::EndRequest(const std::string& name) {
  requests_.erase(name);
  writer_->Remove(keys::ForProvisioningRequest(name));
}

std::vector<const ProvisioningRecord*> ProvisioningRequests::ListUnanswered()
    const {
  std::vector<const ProvisioningRecord*> records;
  for (const auto& [name, request] : requests_)
    if (request.state != ProvisioningState::kProvisioned)
      records.push_back(&request.record);
  return records;
}

}  // namespace sorrelwood
