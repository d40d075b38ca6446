#include "simulation/cloud_network.h"

#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

// Time-out of a controller for a response (s).
constexpr double kTimeoutS = 5;

}  // namespace

CloudResult CloudNetwork::Serve(const FetchCatalog& request) {
  return cluster_.cloud().Serve(request);
}
CloudResult CloudNetwork::Serve(const ProvisionMachines& request) {
  return cluster_.cloud().Serve(request);
}
CloudResult CloudNetwork::Serve(const ReleaseMachines& request) {
  return cluster_.cloud().Serve(request);
}
CloudResult CloudNetwork::Serve(const ListCloudMachines& request) {
  return cluster_.cloud().Serve(request);
}

double CloudNetwork::SteadyClock(int controller) const {
  return cluster_.controllers().SteadyClock(controller);
}

bool CloudNetwork::InOutage() const {
  return cluster_.now() < cluster_.faults().cloud_outage_until_s;
}

void CloudNetwork::ReportTooLate(int controller, uint64_t request) {
  CloudResult result;
  result.id = request;
  result.outcome = Outcome::kRefused;
  result.too_late = true;
  cluster_.controllers().DeliverResult(
      cluster_.controllers().CurrentProcess(controller), result);
}

void CloudNetwork::SendCall(int controller, const Call& call) {
  RandomSource& random = cluster_.random();
  const SimulationOptions& options = cluster_.options();
  const ProcessId client = cluster_.controllers().CurrentProcess(controller);
  if (cluster_.controllers().IsPartitioned(controller)) {
    ServeAfterPartition(client, call);
    return;
  }
  const bool lost = random.Chance(options.loss_probability);
  const bool answer_lost = random.Chance(options.loss_probability);
  if (random.Chance(options.late_probability))
    cluster_.events().After(5 + 40 * random.Uniform(), [this, call] {
      if (!InOutage()) call.serve();
    });
  cluster_.events().After(0.1 + 0.2 * random.Uniform(),
                          [this, client, call, lost, answer_lost] {
                            Arrive(client, call, lost, answer_lost);
                          });
}

void CloudNetwork::ServeAfterPartition(ProcessId client, const Call& call) {
  const ControllerProcess& process =
      cluster_.controllers().process(client.controller);
  cluster_.events().At(process.partitioned_until_s, [this, call] {
    if (!InOutage()) call.serve();
  });
  cluster_.events().After(kTimeoutS, [this, client, id = call.id] {
    CloudResult timed_out;
    timed_out.id = id;
    cluster_.controllers().DeliverResult(client, timed_out);
  });
}

void CloudNetwork::Arrive(ProcessId client, const Call& call, bool lost,
                          bool answer_lost) {
  CloudResult result;  // its default outcome is kUnknown
  if (!lost && InOutage()) {
    result.outcome = Outcome::kRefused;
  } else if (!lost) {
    result = call.serve();
    if (answer_lost) result = CloudResult();
  }
  result.id = call.id;
  const bool unanswered = result.outcome == Outcome::kUnknown;
  cluster_.events().After(
      unanswered ? kTimeoutS : cluster_.DrawNetworkLatency(),
      [this, client, result] {
        cluster_.controllers().DeliverResult(client, result);
      });
}

}  // namespace sorrelwood::test
