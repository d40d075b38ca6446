#include "core/controller/controller.h"

#include <utility>

#include "base/constants/leader_election.h"
#include "base/constants/state_service.h"

namespace sorrelwood {
namespace {

constexpr int kMisdirectedRequest = 421;
constexpr int kServiceUnavailable = 503;

// The minimum interval between two watches of one node (s). Each response to a
// watch triggers the next one; the interval keeps all nodes together within
// kWatchRequestRateShare of the state service's request rate.
double MinWatchIntervalS(const ClusterSettings& settings) {
  const auto nodes = static_cast<double>(settings.peers.size() + 1);
  return nodes / (settings.state_requests_per_s * kWatchRequestRateShare);
}

}  // namespace

Controller::Controller(const ClusterSettings& settings,
                       const PolicySettings& policy, uint64_t incarnation)
    : settings_(settings),
      context_(incarnation),
      limits_(settings_),
      job_cache_(&context_, MinWatchIntervalS(settings_)),
      election_(&context_, &job_cache_, settings_.node,
                settings_.worker_lease_s, settings_.cancel_deadline_s),
      job_api_(&context_, &job_cache_, &limits_, &settings_),
      leader_role_(&context_, &job_cache_, &election_, &settings_, &limits_,
                   policy, incarnation),
      node_health_(&context_, &settings_),
      peer_status_(&context_, &settings_, &job_cache_, &election_,
                   &node_health_, incarnation),
      catalog_(&context_, [this](const std::vector<MachineType>& types) {
        job_api_.UpdateCatalog(types);
        leader_role_.UpdateCatalog(types);
      }) {
  job_cache_.on_job_added = [this](const std::string& id) {
    leader_role_.OnJobAdded(id);
  };
  job_cache_.on_job_ended = [this](const std::string& id) {
    leader_role_.OnJobEnded(id);
  };
  election_.on_leadership_acquired = [this] {
    leader_role_.OnLeadershipAcquired();
  };
  election_.on_leadership_lost = [this] { leader_role_.OnLeadershipLost(); };
}

void Controller::BeginInput(Time time) {
  // The clock continues while the process is paused, so a pause shows only as a
  // gap between two inputs.
  const double gap_s = time.steady - context_.now;
  context_.now = time.steady;
  context_.wall_time = time.wall;
  context_.items_examined = 0;
  if (had_input_ && gap_s > kProcessPauseThresholdS) {
    context_.Info("process was paused", {{"seconds", gap_s}});
    leader_role_.OnProcessPause(gap_s);
  }
  had_input_ = true;
}

Actions Controller::EndInput() { return std::exchange(context_.actions, {}); }

Actions Controller::Tick(Time time) {
  BeginInput(time);
  job_cache_.Tick();
  election_.Tick();
  job_api_.Tick();
  leader_role_.Tick();
  catalog_.Tick();
  if (peer_status_.BroadcastDue())
    peer_status_.Broadcast(leader_role_.CollectJobCounts());
  return EndInput();
}

Actions Controller::Submit(Time time, uint64_t request, const JobSpec& spec) {
  BeginInput(time);
  job_api_.Submit(request, spec);
  return EndInput();
}

Actions Controller::Poll(Time time, uint64_t request, const std::string& job) {
  BeginInput(time);
  job_api_.Poll(request, job);
  return EndInput();
}

Actions Controller::Cancel(Time time, uint64_t request,
                           const std::string& job) {
  BeginInput(time);
  job_api_.Cancel(request, job);
  return EndInput();
}

Actions Controller::OnHeartbeat(Time time, uint64_t request,
                                const Heartbeat& heartbeat) {
  BeginInput(time);
  // Checked first, since a token of a later term ends this node's leadership.
  election_.ObserveTerm(heartbeat.fencing_token);
  if (election_.MayRenewWorkerLeases())
    leader_role_.OnHeartbeat(request, heartbeat);
  else
    context_.actions.push_back(MakeHeartbeatRefusal(request));
  return EndInput();
}

HeartbeatResponse Controller::MakeHeartbeatRefusal(uint64_t request) const {
  HeartbeatResponse response;
  response.request = request;
  if (election_.leading()) {
    response.status = kServiceUnavailable;
    return response;
  }
  response.status = kMisdirectedRequest;
  const LeaderKey& leader_key = job_cache_.leader_key();
  const bool leader_present = leader_key.known() && leader_key.version() != 0;
  if (leader_present && leader_key.record().node != settings_.node)
    response.redirect = leader_key.record().node;
  return response;
}

Actions Controller::Deliver(Time time, const StateResult& result) {
  BeginInput(time);
  limits_.ObserveResult(result);
  context_.Deliver(result);
  return EndInput();
}

Actions Controller::Deliver(Time time, const CloudResult& result) {
  BeginInput(time);
  context_.Deliver(result);
  return EndInput();
}

Actions Controller::Deliver(Time time, const PushResult& result) {
  BeginInput(time);
  context_.Deliver(result);
  return EndInput();
}

Actions Controller::OnPeerStatus(Time time, const PeerStatus& status) {
  BeginInput(time);
  peer_status_.OnPeerStatus(status);
  return EndInput();
}

Controller::Statistics Controller::CollectStatistics() const {
  Statistics statistics;
  statistics.leading = election_.leading();
  statistics.may_dispatch = election_.MayDispatch();
  statistics.may_renew_worker_leases = election_.MayRenewWorkerLeases();
  statistics.term = election_.highest_term();
  statistics.scheduler = leader_role_.CollectStatistics();
  return statistics;
}

}  // namespace sorrelwood
