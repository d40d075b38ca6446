#include "core/controller/failover_recovery.h"

#include <utility>
#include <vector>

#include "base/constants/workers.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void FailoverRecovery::Start() {
  ReadRecords(keys::kMachinePrefix,
              [this](const StateResult& machines) { LoadMachines(machines); });
}

void FailoverRecovery::Reset() {
  complete_ = false;
  retry_at_.reset();
  ++generation_;
}

void FailoverRecovery::RetryIfDue() {
  if (!retry_at_ || context_->now < *retry_at_) return;
  retry_at_.reset();
  Start();
}

void FailoverRecovery::ReadRecords(const std::string& prefix, Step next_step) {
  context_->ListKeys(prefix,
                     [this, next_step = std::move(next_step),
                      generation = generation_](const StateResult& result) {
                       if (generation != generation_) return;
                       if (result.outcome == Outcome::kOk)
                         next_step(result);
                       else
                         OnReadFailed();
                     });
}

void FailoverRecovery::OnReadFailed() {
  ++generation_;
  machines_->Clear();
  completions_->Clear();
  retry_at_ = context_->now + kRecoveryRetryS;
}

void FailoverRecovery::LoadMachines(const StateResult& machines) {
  for (const KeyValue& item : machines.items) {
    writer_->CacheVersion(item.key, item.version);
    const auto record = protocol::ParseMachineRecord(item.value);
    if (!record) continue;
    Machine* machine = machines_->Add(record->name);
    machine->address = record->address;
    machine->type_name = record->type;
    machine->type = autoscaler_->FindType(record->type);
    machine->zone = record->zone;
    machine->spot = record->spot;
    machine->lifecycle.recorded = true;
    machine->lifecycle.from_earlier_term = true;
    machine->lifecycle.ever_reported = true;
    machine->lifecycle.identity_confirmed = true;
    // All times start now: the machine had no chance to contact this leader.
    machine->lifecycle.provisioned_at = context_->now;
    machine->contact.last_contact_at = context_->now;
    machine->contact.last_heartbeat_at = context_->now;
    machine->contact.last_delivery_proof_at = context_->now;
  }
  ReadRecords(keys::kCompletionsPrefix, [this](const StateResult& completions) {
    LoadCompletions(completions);
  });
}

void FailoverRecovery::LoadCompletions(const StateResult& completions) {
  completions_->Load(completions);
  ReadRecords(keys::kLivePrefix,
              [this](const StateResult& jobs) { LoadJobs(jobs); });
}

void FailoverRecovery::LoadJobs(const StateResult& jobs) {
  job_cache_->ApplyListing(jobs);
  ReadRecords(keys::kProvisioningPrefix, [this](const StateResult& requests) {
    LoadProvisioning(requests);
  });
}

void FailoverRecovery::LoadProvisioning(const StateResult& requests) {
  std::vector<ProvisioningRecord> records;
  for (const KeyValue& item : requests.items) {
    writer_->CacheVersion(item.key, item.version);
    if (auto record = protocol::ParseProvisioningRecord(item.value))
      records.push_back(std::move(*record));
  }
  complete_ = true;
  autoscaler_->Load(election_->term(), records);
  FinishRecovery();
}

void FailoverRecovery::FinishRecovery() {
  // Heartbeats were answered until now without a record of the machine, and
  // each answer may have renewed a worker's lease.
  for (const auto& [name, machine] : machines_->all())
    if (machine->lifecycle.from_earlier_term)
      machine->contact.last_answered_at = context_->now;
  for (const auto& [id, cached] : job_cache_->live_jobs())
    lifecycle_->OnJobAdded(id);
  completions_->FinishLoading();
  unreconciled_->Recount(machines_->all());
  context_->Info(
      "failover recovery complete",
      {{"jobs", jobs_->all().size()}, {"machines", machines_->all().size()}});
}

}  // namespace sorrelwood
