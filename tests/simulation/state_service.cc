#include "simulation/state_service.h"

#include <algorithm>
#include <string_view>

#include "protocol/stored_records_codec.h"
#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr char kProgressPrefix[] = "sw/progress/";
constexpr char kFinalPrefix[] = "sw/w/final/";
constexpr char kProvisioningPrefix[] = "sw/rent/";
// Each hexadecimal digit holds the completion bits of four tasks, the first
// task in the lowest bit.
constexpr uint32_t kTasksPerDigit = 4;

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

bool ContainsCompletion(const CompletionRecord& record, uint32_t task) {
  const uint32_t first = record.first_task.value_or(0);
  if (task < first) return false;
  const size_t digit = (task - first) / kTasksPerDigit;
  if (digit >= record.bits_hex.size()) return false;
  const int bits = std::stoi(record.bits_hex.substr(digit, 1), nullptr, 16);
  return bits >> ((task - first) % kTasksPerDigit) & 1;
}

}  // namespace

void SimulatedStateService::ApplyMutation(const Mutation& mutation) {
  KeyValue item;
  item.key = mutation.key;
  item.version = revision_;
  if (mutation.remove) {
    if (!entries_.erase(mutation.key)) return;
    item.removed = true;
  } else {
    entries_[mutation.key] = {mutation.value, revision_, mutation.lease};
    item.value = mutation.value;
  }
  changes_.push_back({revision_, item});
}

StateResult SimulatedStateService::Serve(const StateTransaction& request) {
  StateResult result;
  result.refusal = FindExceededLimit(request);
  if (result.refusal != StateRefusal::kNone) {
    result.outcome = Outcome::kRefused;
    return result;
  }
  for (const Precondition& precondition : request.preconditions) {
    const auto entry = entries_.find(precondition.key);
    const uint64_t version =
        entry == entries_.end() ? 0 : entry->second.version;
    if (version != precondition.version)
      result.failed_preconditions.push_back(precondition.key);
  }
  if (UsesUnknownLease(request)) {
    result.outcome = Outcome::kRefused;
    return result;
  }
  if (!result.failed_preconditions.empty()) {
    result.outcome = Outcome::kConflict;
    result.revision = revision_;
    return result;
  }
  if (!request.mutations.empty()) ++revision_;
  for (const Mutation& mutation : request.mutations) ApplyMutation(mutation);
  result.outcome = Outcome::kOk;
  result.revision = revision_;
  return result;
}

bool SimulatedStateService::UsesUnknownLease(
    const StateTransaction& request) const {
  return std::any_of(request.mutations.begin(), request.mutations.end(),
                     [this](const Mutation& mutation) {
                       return mutation.lease != 0 &&
                              !leases_.count(mutation.lease);
                     });
}

StateLimits SimulatedStateService::CurrentLimits() const {
  const SimulationOptions& options = cluster_.options();
  if (options.state_limits_drop_at_s > 0 &&
      cluster_.now() >= options.state_limits_drop_at_s)
    return options.dropped_state_limits;
  const ClusterSettings& settings = cluster_.settings();
  return {settings.state_mutations_per_s, settings.state_max_value_kib,
          settings.state_max_mutations_per_transaction};
}

StateRefusal SimulatedStateService::FindExceededLimit(
    const StateTransaction& request) {
  const StateLimits limits = CurrentLimits();
  bool too_large = false;
  for (const Mutation& mutation : request.mutations) {
    if (static_cast<double>(mutation.value.size()) <=
        limits.max_value_kib * 1024)
      continue;
    too_large = true;
    CheckRefusedValueIsGivenUp(
        cluster_, mutation.key,
        ++refusals_by_value_[mutation.key + mutation.value]);
  }
  CheckTransactionSize(cluster_, request, limits);
  if (too_large) {
    ++cluster_.statistics().refused_for_size;
    return StateRefusal::kTooLarge;
  }
  if (!cluster_.options().enforce_write_rate || request.mutations.empty() ||
      ConsumeWriteBudget(static_cast<double>(request.mutations.size()),
                         limits.mutations_per_s))
    return StateRefusal::kNone;
  ++cluster_.statistics().refused_for_rate;
  return StateRefusal::kTooManyChanges;
}

bool SimulatedStateService::ConsumeWriteBudget(double changes,
                                               double changes_per_s) {
  const double now = cluster_.now();
  // The budget accumulates for at most one second.
  write_budget_ =
      std::min(changes_per_s,
               write_budget_ + (now - write_budget_at_s_) * changes_per_s);
  write_budget_at_s_ = now;
  write_budget_ -= changes;
  if (write_budget_ >= 0) return true;
  write_budget_ += changes;
  return false;
}

StateResult SimulatedStateService::Serve(const StateGet& request) const {
  StateResult result;
  const auto entry = entries_.find(request.key);
  result.outcome = entry == entries_.end() ? Outcome::kConflict : Outcome::kOk;
  result.revision = revision_;
  if (entry != entries_.end())
    result.items.push_back(
        {request.key, entry->second.value, entry->second.version, false});
  return result;
}

StateResult SimulatedStateService::Serve(const StateList& request) const {
  StateResult result;
  for (auto entry = entries_.lower_bound(request.prefix);
       entry != entries_.end() && StartsWith(entry->first, request.prefix);
       ++entry)
    result.items.push_back(
        {entry->first, entry->second.value, entry->second.version, false});
  result.outcome = Outcome::kOk;
  result.revision = revision_;
  return result;
}

StateResult SimulatedStateService::Serve(const LeaseCreate& request) {
  StateResult result;
  result.outcome = Outcome::kOk;
  result.lease = next_lease_++;
  leases_[result.lease] = {request.ttl_s, cluster_.now() + request.ttl_s};
  return result;
}

StateResult SimulatedStateService::Serve(const LeaseRenew& request) {
  StateResult result;
  const auto lease = leases_.find(request.lease);
  result.outcome = lease == leases_.end() ? Outcome::kConflict : Outcome::kOk;
  if (lease != leases_.end())
    lease->second.expires_at_s = cluster_.now() + lease->second.ttl_s;
  return result;
}

StateResult SimulatedStateService::ReadChanges(const StateWatch& watch) const {
  StateResult result;
  result.id = watch.id;
  result.outcome = Outcome::kOk;
  result.revision = revision_;
  auto change = std::upper_bound(changes_.begin(), changes_.end(), watch.after,
                                 [](uint64_t after, const Change& candidate) {
                                   return after < candidate.revision;
                                 });
  for (; change != changes_.end(); ++change)
    if (StartsWith(change->item.key, watch.prefix))
      result.items.push_back(change->item);
  return result;
}

bool SimulatedStateService::ExpireNextLease() {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (cluster_.now() < lease->second.expires_at_s) {
      ++lease;
      continue;
    }
    const uint64_t expired = lease->first;
    lease = leases_.erase(lease);
    std::vector<std::string> attached;
    for (const auto& [key, entry] : entries_)
      if (entry.lease == expired) attached.push_back(key);
    if (attached.empty()) continue;
    ++revision_;
    for (const std::string& key : attached) ApplyMutation({true, key, "", 0});
    return true;
  }
  return false;
}

void SimulatedStateService::RestartLeases() {
  for (auto& [id, lease] : leases_)
    lease.expires_at_s = cluster_.now() + lease.ttl_s;
}

bool SimulatedStateService::HasResult(const TaskId& task) const {
  if (entries_.count(kFinalPrefix + task.job)) return true;
  const std::string prefix = kProgressPrefix + task.job + "/";
  for (auto entry = entries_.lower_bound(prefix);
       entry != entries_.end() && StartsWith(entry->first, prefix); ++entry) {
    const auto record = protocol::ParseCompletionRecord(entry->second.value);
    if (record && ContainsCompletion(*record, task.task)) return true;
  }
  return false;
}

bool SimulatedStateService::HasProvisioningRecord(
    const std::string& name) const {
  return entries_.count(kProvisioningPrefix + name) > 0;
}

bool SimulatedStateService::HasSplitProgress() const {
  // Keys of split values end in a dot and the number of the part.
  return std::any_of(changes_.begin(), changes_.end(),
                     [](const Change& change) {
                       return StartsWith(change.item.key, kProgressPrefix) &&
                              change.item.key.find('.') != std::string::npos;
                     });
}

}  // namespace sorrelwood::test
