#include "server/metrics.h"

#include <prometheus/text_serializer.h>

namespace sorrelwood {

Metrics::Metrics()
    : requests_(prometheus::BuildCounter()
                    .Name("sorrelwood_requests_total")
                    .Help("Requests answered, by kind and status")
                    .Register(registry_)),
      durations_(prometheus::BuildHistogram()
                     .Name("sorrelwood_request_seconds")
                     .Help("Time from reading a request to its answer")
                     .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("sorrelwood_state")
                  .Help("The controller's state; see docs/operations.md")
                  .Register(registry_)) {}

void Metrics::CountRequest(const std::string& kind, int status,
                           double seconds) {
  requests_.Add({{"kind", kind}, {"status", std::to_string(status)}})
      .Increment();
  static const prometheus::Histogram::BucketBoundaries kBucketsS{
      0.002, 0.01, 0.05, 0.2, 1, 4};
  durations_.Add({{"kind", kind}}, kBucketsS).Observe(seconds);
}

template <typename Number>
void Metrics::SetGauge(const char* name, Number value) {
  gauges_.Add({{"of", name}}).Set(static_cast<double>(value));
}

void Metrics::Publish(const Controller::Statistics& statistics) {
  PublishLeadership(statistics);
  PublishWork(statistics.scheduler);
  PublishMachines(statistics.scheduler);
  PublishPredictor(statistics.scheduler);
  PublishReplicas(statistics.scheduler);
  PublishLoadSpread(statistics.scheduler);
}

void Metrics::PublishLeadership(const Controller::Statistics& statistics) {
  SetGauge("leading", statistics.leading);
  SetGauge("may_launch", statistics.may_dispatch);
  SetGauge("may_answer_workers", statistics.may_renew_worker_leases);
  SetGauge("term", statistics.term);
}

void Metrics::PublishWork(const SchedulerStatistics& statistics) {
  SetGauge("jobs", statistics.jobs);
  SetGauge("tasks_pending", statistics.pending_tasks);
  SetGauge("tasks_placed", statistics.placed_tasks);
  SetGauge("speculative_kills", statistics.speculative_kills);
}

void Metrics::PublishMachines(const SchedulerStatistics& statistics) {
  SetGauge("machines", statistics.machines);
  SetGauge("machines_base", statistics.baseline_machines);
  SetGauge("machines_unaccounted", statistics.unreconciled_machines);
  SetGauge("base_target_cpus", statistics.baseline_target_cpus);
  SetGauge("rented_to_the_end", statistics.kept_on_rented_machines);
}

void Metrics::PublishPredictor(const SchedulerStatistics& statistics) {
  SetGauge("predictor_samples", statistics.predictor_samples);
  SetGauge("predictor_error_seconds", statistics.predictor_error_s);
  SetGauge("predictor_matthews", statistics.predictor_matthews_correlation);
}

void Metrics::PublishReplicas(const SchedulerStatistics& statistics) {
  SetGauge("replicas_wanted", statistics.replicas.wanted);
  SetGauge("replicas_running", statistics.replicas.running);
  SetGauge("replicas_restarted", statistics.replicas.restarted);
  SetGauge("replica_seconds_without", statistics.replicas.missing_replica_s);
}

void Metrics::PublishLoadSpread(const SchedulerStatistics& statistics) {
  SetGauge("spread_imbalance", statistics.rebalancing.imbalance);
  SetGauge("moves_under_way", statistics.rebalancing.in_flight);
  SetGauge("moves_begun", statistics.rebalancing.started);
  SetGauge("moves_finished", statistics.rebalancing.finished);
  for (const MoveFailure failure :
       {MoveFailure::kTooLate, MoveFailure::kJobEnded, MoveFailure::kTargetLost,
        MoveFailure::kStartNotAllowed}) {
    const auto count = statistics.rebalancing.abandoned.find(failure);
    gauges_.Add({{"of", "moves_given_up"}, {"why", ToString(failure)}})
        .Set(count == statistics.rebalancing.abandoned.end()
                 ? 0
                 : static_cast<double>(count->second));
  }
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace sorrelwood
