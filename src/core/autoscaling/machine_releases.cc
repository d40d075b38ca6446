#include "core/autoscaling/machine_releases.h"

#include <algorithm>

#include "base/constants/cloud.h"
#include "core/coordination/keys.h"

namespace sorrelwood {

void MachineReleases::Release(Machine* machine, ReleaseReason reason) {
  if (machine->lifecycle.terminating) return;
  machine->lifecycle.terminating = true;
  releases_.try_emplace(machine->name, ReleaseState::kRequested);
  context_->Info("releasing machine", {{"machine", machine->name},
                                       {"reason", ReleaseReasonText(reason)}});
}

void MachineReleases::Send(double dispatch_deadline) {
  if (releases_.empty() || IsCallInFlight() || !quota_->TryAcquire()) return;
  std::vector<std::string> names;
  for (auto& [name, state] : releases_) {
    if (names.size() >= kMaxMachinesPerRelease) break;
    names.push_back(name);
    state = ReleaseState::kCalling;
  }
  context_->Release(
      names, dispatch_deadline,
      [this, names, generation = generation_](const CloudResult& result) {
        if (generation == generation_) OnResult(names, result);
      });
}

bool MachineReleases::IsCallInFlight() const {
  return std::any_of(releases_.begin(), releases_.end(), [](const auto& item) {
    return item.second == ReleaseState::kCalling;
  });
}

void MachineReleases::OnResult(const std::vector<std::string>& names,
                               const CloudResult& result) {
  for (const std::string& name : names) {
    if (result.outcome == Outcome::kOk)
      OnMachineGone(name);
    else
      releases_[name] = ReleaseState::kRequested;
  }
}

void MachineReleases::OnMachineGone(const std::string& name) {
  releases_.erase(name);
  Machine* machine = machines_->Find(name);
  if (!machine) return;
  if (machine->lifecycle.recorded || machine->lifecycle.recording)
    writer_->Remove(keys::ForMachine(name));
  if (on_machine_gone) on_machine_gone(machine);
  machines_->Remove(name);
  requests_->OnMachineRecorded(name);
}

void MachineReleases::Clear() {
  ++generation_;
  releases_.clear();
}

}  // namespace sorrelwood
