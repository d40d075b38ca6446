// The metrics that the controller exposes at /metrics in the Prometheus text
// format. docs/operations.md lists them.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "core/controller/controller.h"

namespace sorrelwood {

// Thread-safe.
class Metrics {
 public:
  Metrics();

  // Counts an answered request and its duration; `kind` is "worker" or "user".
  void CountRequest(const std::string& kind, int status, double seconds);
  // Sets the gauges of the controller's state.
  void Publish(const Controller::Statistics& statistics);
  // All metrics as text.
  std::string Text() const;

 private:
  void PublishLeadership(const Controller::Statistics& statistics);
  void PublishWork(const SchedulerStatistics& statistics);
  void PublishMachines(const SchedulerStatistics& statistics);
  void PublishPredictor(const SchedulerStatistics& statistics);
  void PublishReplicas(const SchedulerStatistics& statistics);
  void PublishLoadSpread(const SchedulerStatistics& statistics);
  template <typename Number>
  void SetGauge(const char* name, Number value);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& durations_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace sorrelwood
