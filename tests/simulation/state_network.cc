#include "simulation/state_network.h"

#include <algorithm>
#include <string>
#include <utility>

#include "core/coordination/keys.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Time-out of a controller for a response (s).
constexpr double kTimeoutS = 2;
// The time that the service waits for a change, with the client's allowance
// (s).
constexpr double kWatchTimeoutS = 2;
// Delays of single requests (s): shorter than the time-out, and in this order,
// so that a late read arrives after a late listing and an election.
constexpr double kLateWatchS = 0.15;
constexpr double kLateListingS = 0.3;
constexpr double kLateReadS = 1.2;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

StateNetwork::CallKind StateNetwork::KindOf(const StateList& request) {
  return request.prefix == keys::kLivePrefix ? CallKind::kJobListing
                                             : CallKind::kOther;
}

StateNetwork::CallKind StateNetwork::KindOf(const StateGet& request) {
  if (StartsWith(request.key, keys::kLivePrefix)) return CallKind::kJobRead;
  if (StartsWith(request.key, keys::kFinalPrefix)) return CallKind::kFinalRead;
  return CallKind::kOther;
}

StateResult StateNetwork::Serve(const StateTransaction& request) {
  return cluster_.state_service().Serve(request);
}
StateResult StateNetwork::Serve(const StateGet& request) {
  return cluster_.state_service().Serve(request);
}
StateResult StateNetwork::Serve(const StateList& request) {
  return cluster_.state_service().Serve(request);
}
StateResult StateNetwork::Serve(const LeaseCreate& request) {
  return cluster_.state_service().Serve(request);
}
StateResult StateNetwork::Serve(const LeaseRenew& request) {
  return cluster_.state_service().Serve(request);
}

bool StateNetwork::Refuses(int controller) const {
  return cluster_.now() < cluster_.faults().state_outage_until_s ||
         cluster_.now() <
             cluster_.controllers().process(controller).state_refused_until_s;
}

bool StateNetwork::RefusesCall(int controller, const Call& call) const {
  const ControllerProcess& process = cluster_.controllers().process(controller);
  return Refuses(controller) ||
         (call.kind == CallKind::kFinalRead &&
          cluster_.now() < process.final_reads_refused_until_s);
}

double StateNetwork::ExecutionDelay(int controller, const Call& call) {
  ControllerProcess& process = cluster_.controllers().process(controller);
  if (call.kind != CallKind::kJobListing) return 0;
  return std::exchange(process.next_job_listing_late, false) ? kLateListingS
                                                             : 0;
}

double StateNetwork::AnswerDelay(int controller, const Call& call) const {
  const ControllerProcess& process = cluster_.controllers().process(controller);
  const bool late = call.kind == CallKind::kJobRead &&
                    cluster_.now() < process.job_reads_late_until_s;
  return late ? kLateReadS : 0;
}

void StateNetwork::SendCall(int controller, const Call& call) {
  const SimulationOptions& options = cluster_.options();
  RandomSource& random = cluster_.random();
  const ProcessId client = cluster_.controllers().CurrentProcess(controller);
  if (cluster_.controllers().IsPartitioned(controller)) {
    const ControllerProcess& process =
        cluster_.controllers().process(controller);
    ServeAfterTimeout(client, call, process.partitioned_until_s);
    return;
  }
  const bool lost = random.Chance(options.loss_probability);
  bool answer_lost = random.Chance(options.loss_probability);
  if (call.kind == CallKind::kTransaction) {
    if (cluster_.DrawHit(cluster_.faults().late_transactions)) {
      ServeAfterTimeout(client, call,
                        cluster_.now() + 2 + 10 * random.Uniform());
      return;
    }
    if (cluster_.DrawHit(cluster_.faults().transaction_answers_lost))
      answer_lost = true;
  }
  if (random.Chance(options.late_probability) ||
      random.Chance(options.duplicate_probability))
    cluster_.events().After(
        0.5 + 30 * random.Uniform(),
        [this, controller, call] { ServeUnlessRefused(controller, call); });
  const double latency_s = DrawLatency() + ExecutionDelay(controller, call);
  if (latency_s > kTimeoutS) {
    ServeAfterTimeout(client, call, cluster_.now() + latency_s);
    return;
  }
  cluster_.events().After(latency_s, [this, client, call, lost, answer_lost] {
    Arrive(client, call, lost, answer_lost);
  });
}

double StateNetwork::DrawLatency() {
  if (cluster_.now() >= cluster_.faults().state_slow_until_s)
    return cluster_.DrawNetworkLatency();
  // Most responses take about 0.2 s, thirty times the usual; one in twenty
  // takes up to 8 s.
  RandomSource& random = cluster_.random();
  return random.Chance(0.05) ? 8 * random.Uniform()
                             : 0.15 + 0.1 * random.Uniform();
}

void StateNetwork::ServeUnlessRefused(int controller, const Call& call) {
  if (Refuses(controller)) return;
  call.serve();
  AnswerWatchers();
}

void StateNetwork::ServeAfterTimeout(ProcessId client, const Call& call,
                                     double at_s) {
  cluster_.events().At(at_s, [this, client, call] {
    ServeUnlessRefused(client.controller, call);
  });
  cluster_.events().After(kTimeoutS, [this, client, id = call.id] {
    StateResult timed_out;
    timed_out.id = id;
    cluster_.controllers().DeliverResult(client, timed_out);
  });
}

void StateNetwork::Arrive(ProcessId client, const Call& call, bool lost,
                          bool answer_lost) {
  StateResult result;  // its default outcome is kUnknown
  if (!lost && RefusesCall(client.controller, call)) {
    result.outcome = Outcome::kRefused;
  } else if (!lost) {
    result = call.serve();
    AnswerWatchers();
    if (answer_lost) result = StateResult();
  }
  result.id = call.id;
  const bool unanswered = result.outcome == Outcome::kUnknown;
  cluster_.events().After(unanswered ? kTimeoutS
                                     : cluster_.DrawNetworkLatency() +
                                           AnswerDelay(client.controller, call),
                          [this, client, result] {
                            cluster_.controllers().DeliverResult(client,
                                                                 result);
                          });
}

void StateNetwork::Watch(int controller, const StateWatch& watch) {
  const Watcher watcher{cluster_.controllers().CurrentProcess(controller),
                        watch};
  cluster_.events().After(cluster_.DrawNetworkLatency(), [this, watcher] {
    watchers_.push_back(watcher);
    AnswerWatchers();
    cluster_.events().After(kWatchTimeoutS,
                            [this, watcher] { TimeOutWatch(watcher); });
  });
}

void StateNetwork::TimeOutWatch(const Watcher& watcher) {
  const ProcessId process = watcher.process;
  const auto it = std::find_if(
      watchers_.begin(), watchers_.end(), [&](const Watcher& candidate) {
        return candidate.process.controller == process.controller &&
               candidate.process.generation == process.generation &&
               candidate.watch.id == watcher.watch.id;
      });
  if (it == watchers_.end()) return;
  StateResult result = cluster_.state_service().ReadChanges(watcher.watch);
  if (Refuses(process.controller) ||
      cluster_.controllers().IsPartitioned(process.controller))
    result = StateResult();  // no response
  result.id = watcher.watch.id;
  watchers_.erase(it);
  cluster_.controllers().DeliverResult(process, result);
}

void StateNetwork::AnswerWatchers() {
  for (size_t i = 0; i < watchers_.size();) {
    const Watcher watcher = watchers_[i];
    const ProcessId process = watcher.process;
    if (Refuses(process.controller) ||
        cluster_.controllers().IsPartitioned(process.controller)) {
      ++i;
      continue;
    }
    const StateResult result =
        cluster_.state_service().ReadChanges(watcher.watch);
    if (result.items.empty()) {
      ++i;
      continue;
    }
    watchers_.erase(watchers_.begin() + static_cast<ptrdiff_t>(i));
    const double latency_s = cluster_.DrawNetworkLatency();
    double delay_s =
        cluster_.options().max_watch_delay_s * cluster_.random().Uniform();
    if (cluster_.now() <
        cluster_.controllers().process(process.controller).watches_late_until_s)
      delay_s += kLateWatchS;
    cluster_.events().After(latency_s + delay_s, [this, process, result] {
      cluster_.controllers().DeliverResult(process, result);
    });
  }
}

void StateNetwork::ExpireLeases() {
  if (cluster_.now() < cluster_.faults().state_outage_until_s) return;
  while (cluster_.state_service().ExpireNextLease()) AnswerWatchers();
}

}  // namespace sorrelwood::test
