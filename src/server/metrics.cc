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
  static const prometheus::Histogram::BucketBoundaries kBuckets{
      0.002, 0.01, 0.05, 0.2, 1, 4};
  durations_.Add({{"kind", kind}}, kBuckets).Observe(seconds);
}

prometheus::Gauge& Metrics::Value(const char* name) {
  return gauges_.Add({{"of", name}});
}

void Metrics::Publish(const Controller::Statistics& f) {
  Value("leading").Set(f.leading);
  Value("may_launch").Set(f.may_dispatch);
  Value("may_answer_workers").Set(f.may_renew_worker_leases);
  Value("term").Set(static_cast<double>(f.term));
  const SchedulerStatistics& s = f.scheduler;
  Value("jobs").Set(static_cast<double>(s.jobs));
  Value("tasks_pending").Set(static_cast<double>(s.pending));
  Value("tasks_placed").Set(static_cast<double>(s.placed));
  Value("machines").Set(static_cast<double>(s.machines));
  Value("machines_base").Set(static_cast<double>(s.base_machines));
  Value("machines_unaccounted").Set(s.unreconciled);
  Value("base_target_cpus").Set(s.base_target_cpus);
  Value("predictor_samples").Set(static_cast<double>(s.predictor_samples));
  Value("predictor_error_seconds").Set(s.predictor_error_s);
  Value("predictor_matthews").Set(s.predictor_matthews);
  Value("speculative_kills").Set(static_cast<double>(s.speculative_kills));
  Value("replicas_wanted").Set(static_cast<double>(s.replicas.wanted));
  Value("replicas_running").Set(static_cast<double>(s.replicas.running));
  Value("replicas_restarted").Set(static_cast<double>(s.replicas.restarted));
  Value("replica_seconds_without").Set(s.replicas.without_s);
  Value("spread_imbalance").Set(s.spread.imbalance);
  Value("moves_under_way").Set(static_cast<double>(s.spread.under_way));
  Value("moves_begun").Set(static_cast<double>(s.spread.begun));
  Value("moves_finished").Set(static_cast<double>(s.spread.finished));
  for (const MoveFailure failure :
       {MoveFailure::kTooLate, MoveFailure::kJobEnded, MoveFailure::kPlaceLost,
        MoveFailure::kNotNow}) {
    const auto count = s.spread.given_up.find(failure);
    gauges_.Add({{"of", "moves_given_up"}, {"why", ToString(failure)}})
        .Set(count == s.spread.given_up.end()
                 ? 0
                 : static_cast<double>(count->second));
  }
  Value("rented_to_the_end").Set(static_cast<double>(s.rented_to_end));
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace sorrelwood
