#include "simulation/leader_restart.h"

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// The new process runs after at most 1.2 times this (s).
constexpr double kRestartS = 0.02;
// The polls are sent once it runs, and the cancellations once the polls have
// read the jobs (s after the crash). The listing is carried out later.
constexpr double kPollAfterS = 0.03;
constexpr double kCancelAfterS = 0.09;

}  // namespace

void LeaderRestart::Begin(const Fault& fault, int leader) {
  if (leader < 0) return;
  DelayRequests(fault, leader);
  cluster_.controllers().Crash(leader, kRestartS);
  const int other = (leader + 1) % cluster_.controllers().size();
  for (const std::string& job :
       cluster_.clients().FindRunningJobs(fault.count)) {
    cluster_.events().After(kPollAfterS, [this, leader, job] {
      cluster_.clients().PollAt(leader, job);
    });
    cluster_.events().After(kCancelAfterS, [this, other, job] {
      cluster_.clients().CancelAt(other, job);
    });
  }
}

void LeaderRestart::DelayRequests(const Fault& fault, int leader) {
  const double until_s = cluster_.now() + fault.for_s;
  for (int i = 0; i < cluster_.controllers().size(); ++i) {
    ControllerProcess& process = cluster_.controllers().process(i);
    if (i != leader) {
      process.watches_late_until_s = until_s;
      continue;
    }
    process.next_job_listing_late = true;
    if (fault.kind == FaultKind::kLeaderRestartWithLateReads)
      process.job_reads_late_until_s = until_s;
    else
      process.final_reads_refused_until_s = until_s;
  }
}

}  // namespace sorrelwood::test
