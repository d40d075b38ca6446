// What operators can read at /metrics.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <string>

#include "core/controller/controller.h"

namespace sorrelwood {

class Metrics {
 public:
  Metrics();

  void CountRequest(const std::string& kind, int status, double seconds);
  void Publish(const Controller::Statistics& statistics);
  std::string Text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& durations_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  prometheus::Gauge& Value(const char* name);
};

}  // namespace sorrelwood
