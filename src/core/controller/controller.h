// The core of one controller: a state machine without clock, socket, thread or
// log. Every input brings the time; what is to be done comes back as actions.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/api/front_desk.h"
#include "core/controller/scheduler.h"
#include "core/coordination/directory.h"
#include "core/coordination/leadership.h"
#include "core/engine/context.h"

namespace sorrelwood {

class Controller {
 public:
  // `incarnation` differs between processes of the same node; it also seeds the
  // random numbers.
  Controller(const ClusterSettings& settings, const PolicySettings& policy,
             uint64_t incarnation);

  struct Time {
    double steady = 0, wall = 0;
  };

  Actions Tick(Time time);
  Actions Submit(Time time, uint64_t request, const JobSpec& spec);
  Actions Poll(Time time, uint64_t request, const std::string& job);
  Actions Cancel(Time time, uint64_t request, const std::string& job);
  Actions Report(Time time, uint64_t request, const WorkerReport& report);
  Actions Deliver(Time time, const StateResult& result);
  Actions Deliver(Time time, const CloudResult& result);
  Actions Deliver(Time time, const DirectResult& result);
  Actions Note(Time time, const MeshNote& note);

  struct Figures {
    bool leading = false, may_launch = false, may_answer = false;
    uint64_t term = 0;
    Scheduler::Figures scheduler;
  };
  Figures Measure();
  bool leading() const { return leadership_.leading(); }
  // False while the state service refuses this node but serves most others:
  // users are better off with them. In an outage nobody is, and all stay.
  bool Healthy() const;
  // Machines and jobs that were looked at for the last input.
  uint64_t work() const { return context_.work; }
  void set_debug(bool debug) { context_.debug = debug; }

 private:
  void Begin(Time time);
  Actions End();
  void ReadCatalog();
  void SendNote();

  const ClusterSettings settings_;
  Context context_;
  StateLimitTracker limits_;
  Directory directory_;
  Leadership leadership_;
  FrontDesk front_desk_;
  Scheduler scheduler_;
  uint64_t incarnation_;
  bool began_ = false;  // an input has come

  bool catalog_known_ = false, reading_catalog_ = false;
  double next_catalog_ = 0, next_note_ = 0;
  uint64_t notes_ = 0;
  std::map<std::string, JobCounts> told_counts_;
  // When the state service last served each sibling, by its notes.
  std::map<std::string, double> sibling_served_;
};

}  // namespace sorrelwood
