#include "core/controller/controller.h"

#include <algorithm>
#include <utility>

#include "base/constants.h"

namespace sorrelwood {

Controller::Controller(const ClusterSettings& settings,
                       const PolicySettings& policy, uint64_t incarnation)
    : settings_(settings),
      context_(incarnation),
      limits_(settings_),
      directory_(&context_, static_cast<double>(settings_.siblings.size() + 1) /
                                (settings_.state_rps * kWatchShare)),
      leadership_(&context_, &directory_, settings_.node, settings_.lease_s,
                  settings_.cancel_s),
      front_desk_(&context_, &directory_, &limits_, &settings_),
      scheduler_(&context_, &directory_, &leadership_, &settings_, &limits_,
                 policy, incarnation),
      incarnation_(incarnation) {
  directory_.on_live = [this](const std::string& id) {
    scheduler_.JobAppeared(id);
  };
  directory_.on_final = [this](const std::string& id, FinalState state) {
    scheduler_.JobEnded(id, state);
  };
  leadership_.on_elected = [this] { scheduler_.Elected(); };
  leadership_.on_deposed = [this] { scheduler_.Deposed(); };
}

void Controller::Begin(Time time) {
  // Only a gap between two inputs tells of it: the clock goes on meanwhile.
  const double gap_s = time.steady - context_.now;
  context_.now = time.steady;
  context_.wall = time.wall;
  context_.work = 0;
  if (began_ && gap_s > kStallS) {
    context_.Info("stood still for " + std::to_string(gap_s) + " s");
    scheduler_.Stalled(gap_s);
  }
  began_ = true;
}

Actions Controller::End() { return std::exchange(context_.out, {}); }

Actions Controller::Tick(Time time) {
  Begin(time);
  directory_.Tick();
  leadership_.Tick();
  front_desk_.Tick();
  scheduler_.Tick();
  if (!reading_catalog_ && context_.now >= next_catalog_) ReadCatalog();
  if (context_.now >= next_note_) SendNote();
  return End();
}

Actions Controller::Submit(Time time, uint64_t request, const JobSpec& spec) {
  Begin(time);
  front_desk_.Submit(request, spec);
  return End();
}

Actions Controller::Poll(Time time, uint64_t request, const std::string& job) {
  Begin(time);
  front_desk_.Poll(request, job);
  return End();
}

Actions Controller::Cancel(Time time, uint64_t request,
                           const std::string& job) {
  Begin(time);
  front_desk_.Cancel(request, job);
  return End();
}

Actions Controller::Report(Time time, uint64_t request,
                           const WorkerReport& report) {
  Begin(time);
  leadership_.LearnTerm(report.token);
  if (leadership_.MayAnswer()) {
    scheduler_.Report(request, report);
    return End();
  }
  AnswerWorker answer;
  answer.request = request;
  answer.status = leadership_.leading() ? 503 : 421;
  if (!leadership_.leading() && directory_.leader_known() &&
      directory_.leader_version() != 0 &&
      directory_.leader().node != settings_.node)
    answer.redirect = directory_.leader().node;
  context_.out.push_back(std::move(answer));
  return End();
}

Actions Controller::Deliver(Time time, const StateResult& result) {
  Begin(time);
  limits_.Learn(result);
  context_.Deliver(result);
  return End();
}

Actions Controller::Deliver(Time time, const CloudResult& result) {
  Begin(time);
  context_.Deliver(result);
  return End();
}

Actions Controller::Deliver(Time time, const DirectResult& result) {
  Begin(time);
  context_.Deliver(result);
  return End();
}

Actions Controller::Note(Time time, const MeshNote& note) {
  Begin(time);
  leadership_.LearnTerm(note.term);
  sibling_served_[note.node] = context_.now - note.served_ago_ms / 1000.0;
  if (note.leader && note.term >= leadership_.highest_term()) {
    for (const JobCounts& counts : note.jobs)
      if (KnownJob* known = directory_.FindLive(counts.id))
        known->counts = counts;
  }
  return End();
}

bool Controller::Healthy() const {
  const double since = context_.unserved_since();
  if (since == 0) return true;
  // Only what was served after that tells an outage from what ails us alone.
  const auto served = std::count_if(
      sibling_served_.begin(), sibling_served_.end(),
      [&](const auto& item) { return item.second > since + kShutOutS; });
  return static_cast<size_t>(served) * 2 < settings_.siblings.size() + 1;
}

void Controller::ReadCatalog() {
  reading_catalog_ = true;
  context_.Catalog([this](const CloudResult& result) {
    reading_catalog_ = false;
    if (result.outcome != Outcome::kOk) {
      next_catalog_ = context_.now + (catalog_known_ ? kCatalogEveryS : 1);
      return;
    }
    catalog_known_ = true;
    next_catalog_ = context_.now + kCatalogEveryS;
    front_desk_.LearnCatalog(result.types);
    scheduler_.LearnCatalog(result.types);
  });
}

void Controller::SendNote() {
  next_note_ = context_.now + 1;
  MeshNote note;
  note.node = settings_.node;
  note.incarnation = incarnation_;
  note.sequence = ++notes_;
  note.term = leadership_.highest_term();
  note.leader = leadership_.leading();
  note.served_ago_ms = static_cast<uint32_t>(
      std::min(1e6, (context_.now - context_.served_at()) * 1000));
  std::map<std::string, JobCounts> counts;
  for (JobCounts& job : scheduler_.Counts()) {
    if (KnownJob* known = directory_.FindLive(job.id)) known->counts = job;
    // Only what has changed, and now and then all: a note may be lost.
    auto told = told_counts_.find(job.id);
    if (told == told_counts_.end() || told->second.done != job.done ||
        told->second.running != job.running || notes_ % 10 == 0)
      note.jobs.push_back(job);
    counts[job.id] = job;
  }
  told_counts_ = std::move(counts);
  context_.out.push_back(MeshSend{std::move(note)});
}

Controller::Figures Controller::Measure() {
  Figures figures;
  figures.leading = leadership_.leading();
  figures.may_launch = leadership_.MayLaunch();
  figures.may_answer = leadership_.MayAnswer();
  figures.term = leadership_.highest_term();
  figures.scheduler = scheduler_.Measure();
  return figures;
}

}  // namespace sorrelwood
