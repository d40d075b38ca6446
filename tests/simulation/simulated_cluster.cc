#include "simulation/simulated_cluster.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <type_traits>
#include <utility>

#include "base/constants.h"
#include "core/autoscaling/release_reason.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood::test {
namespace {

double ProcessorTimeS() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

}  // namespace

struct SimulatedCluster::Node {
  std::unique_ptr<Controller> controller;
  int life = 0;  // counts processes of this node
  bool up = false;
  std::string zone;
  double drift = 1.0;  // the steady clock's speed
  bool old_version = false;
  double refused_until = 0;
  double cut_from_workers_until = 0;
  double cut_from_siblings_until = 0;
  double stopped_until = 0;  // stands still
  double silent_until = 0;   // its network is gone
};

struct SimulatedCluster::SimTask {
  std::string job;
  uint32_t task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason reason = ExitReason::kNone;
  bool saved = false;
  double running_since = 0;
  uint64_t timer = 0;  // events of an earlier state are ignored
};

struct SimulatedCluster::Worker {
  std::string name, type, zone;
  bool spot = false, up = false, gone = false, failed = false, sick = false;
  double booted_at = 0, rented_at = 0, listed_from = 0;
  double silent_until = 0;  // cut off: goes on inside
  double hung_until = 0;    // executes nothing
  double deaf_until = 0;    // nothing reaches it
  double mute_until = 0;    // it reaches no controller
  double taken_at = 0, gone_at = 0;
  uint64_t incarnation = 1, sequence = 0, fencing_token = 0;
  double lease_from = 0;
  int target = 0;
  bool in_flight = false;
  double next_report = 0, last_heartbeat_at = -1;
  bool changed = false;
  uint64_t request = 0;
  std::map<TaskId, SimTask> tasks;
};

struct SimulatedCluster::User {
  JobSpec spec;
  double run_s = 10;
  double cancel_at = 0;
  bool broken = false;  // every task of it fails
  bool spins = false;   // a service whose replicas end at once
  bool replicas_end = false;
  double down_since = 0;  // a service without all its replicas; 0: it has them
  bool submitted = false, accepted = false, over = false;
  bool asked_cancel = false;
  double told_cancelled = 0, told_done = 0;
  IntervalSet done;                    // results that workers keep
  std::map<uint32_t, double> saved_s;  // progress of tasks that were stopped
  double accepted_at = 0, last_answer = 0, began_at = 0;
  double last_start = 0, looked_at = 0;
  double waits_since = 0;  // beside room that fits; 0: it does not
};

SimulatedCluster::SimulatedCluster(const SimulationOptions& options)
    : options_(options), rng_(options.seed) {
  settings_.teams = {{"blue", 12, 24, 0, 0}, {"green", 16, 36, 0, 0}};
  settings_.heartbeat_interval_s = 1.5;
  settings_.worker_lease_s = 14;
  settings_.cancel_deadline_s = 39;
  settings_.state_max_mutations_per_transaction = 12;
  settings_.cloud_requests_per_s = 8;
  settings_.cloud_list_lag_s = 3;
  types_ = {{"small", 4, 0, 16, 70, 0.4, 0.16, 0.06, 8, {"a", "b"}},
            {"large", 16, 0, 128, 35, 0.3, 0.76, 0.28, 8, {"a", "b"}}};
  for (const char* zone : {"a", "b"}) {
    capacity_[std::string("small|") + zone + "|1"] = 8;
    capacity_[std::string("small|") + zone + "|0"] = 4;
    capacity_[std::string("large|") + zone + "|1"] = 2;
    capacity_[std::string("large|") + zone + "|0"] = 1;
  }
  for (auto& [offer, count] : capacity_) count *= options_.capacity_factor;
  if (options_.fleet) BecomeFleet();
  if (options_.guests)
    settings_.teams.push_back({"guests", 0, kNoLimit, 0, kNoLimit});
  for (int i = 0; i < options_.nodes; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_[i]->zone =
        types_[0].zones[static_cast<size_t>(i) % types_[0].zones.size()];
    nodes_[i]->drift = 1.0 + 0.0005 * Random();
    nodes_[i]->old_version = options_.roll_at_s > 0;
    At(0.1 * Random(), [this, i] { StartNode(i); });
  }
  for (int i = 0; i < options_.jobs; ++i) {
    JobSpec spec;
    spec.id = "job-" + std::to_string(100000 + i * 7919 % 90000);
    spec.job_class = i % 3 ? "short" : "long";
    spec.team = Random() < 0.5 ? "blue" : "green";
    spec.priority = static_cast<Priority>(rng_() % 4);
    spec.tasks = options_.ends_far_apart
                     ? 2 + static_cast<uint32_t>(rng_() % 2)
                     : 1 + static_cast<uint32_t>(rng_() % 14);
    spec.cpus = 1 + static_cast<double>(rng_() % 3);
    spec.memory_gb = 2 + 3 * Random();
    spec.image = "img-" + std::to_string(rng_() % 5);
    spec.image_gb = 1;
    spec.spot = Random() < 0.8;
    spec.one_zone = Random() < options_.one_zone_share;
    spec.spread = !spec.one_zone && Random() < 0.2;
    if (Random() < 0.2) spec.zone = "b";
    if (Random() < 0.2) spec.types = {"large"};
    if (!spec.zone.empty()) spec.spread = false;
    if (options_.fleet) spec = FleetJob(std::move(spec));
    const double run_s =
        options_.run_factor *
        (spec.job_class == "short" ? 5 + 10 * Random() : 20 + 20 * Random());
    spec.estimate_s = run_s * (0.5 + Random());
    if (Random() < options_.checkpoint_share) {
      spec.checkpoint_s = 10;
      spec.save_s = 1;
    }
    const double at = i < 4 ? 0.5 : options_.submit_until_s * Random();
    const double cancel =
        Random() < options_.cancel_share ? at + 40 * Random() : 0;
    AddJob(at, spec, run_s, cancel);
    if (options_.broken_share > 0 && Random() < options_.broken_share) {
      users_[spec.id]->broken = true;
      if (cancel == 0) {
        const double fix = at + 60 + 60 * Random();
        At(fix, [this, id = spec.id] { CancelJob(id); });
      }
    }
  }
  if (options_.guests) {
    JobSpec spec;
    spec.team = "guests";
    spec.priority = Priority::kLow;
    spec.spot = true;
    spec.image = "img-guests";
    spec.image_gb = 0.5;
    spec.memory_gb = 0.5;
    for (int i = 0; i <= 60; ++i) {
      spec.id = "job-9" + std::to_string(10000 + i);
      spec.job_class = i == 0 ? "corpus" : "probes";
      spec.tasks = i == 0 ? 600 : 1;
      spec.cpus = i == 0 ? 0.25 : 1;
      const double run_s = i == 0 ? 2 : 4;
      spec.estimate_s = run_s;
      AddJob(30 + (i == 0 ? 0 : 40 * Random()), spec, run_s);
    }
  }
  for (int i = 0; i < options_.singles_per_s * 120; ++i) {
    JobSpec spec;
    spec.id = "job-3" + std::to_string(10000 + i);
    spec.job_class = "single";
    spec.team = i % 2 ? "blue" : "green";
    spec.tasks = 1;
    spec.cpus = 1;
    spec.memory_gb = 1;
    spec.image = "img-single";
    spec.image_gb = 0.1;
    spec.spot = true;
    spec.estimate_s = 3;
    const double at = 20 + i / options_.singles_per_s;
    AddJob(at, spec, 2 + 2 * Random(), Random() < 0.25 ? at + 6 * Random() : 0);
  }
  At(1, [this] { CheckWaiting(); });
  if (options_.services > 0) AddServices();
  if (options_.long_array) AddLongArray();
  if (options_.burst_jobs > 0) AddBurst();
  if (options_.roll_at_s > 0) Roll();
  if (options_.limits_fall_at_s > 0) {
    settings_.next_state_limits = options_.limits_after;
    troubles_over_ = options_.limits_fall_at_s;
  }
  for (const SimulationOptions::Fault& fault : options_.faults) {
    troubles_over_ =
        std::max(troubles_over_, fault.at_s + fault.for_s + fault.restart_s);
    At(fault.at_s, [this, fault] { InjectFault(fault); });
  }
}

// NOLINTNEXTLINE(readability-function-size): one case for each kind of fault.
void SimulatedCluster::InjectFault(const SimulationOptions::Fault& fault) {
  using F = SimulationOptions::Fault;
  std::vector<Worker*> up;
  for (auto& [name, worker] : workers_)
    if (worker->up && !worker->gone && !worker->failed)
      up.push_back(worker.get());
  Worker* victim = up.empty() ? nullptr : up[rng_() % up.size()];
  std::vector<Worker*> victims = up;
  if (fault.count == 1 && victim) victims = {victim};
  if (fault.count > 1) std::shuffle(victims.begin(), victims.end(), rng_);
  victims.resize(std::min(victims.size(), fault.count));
  const int leader = LeaderIndex();
  Node& other = *nodes_[(std::max(leader, 0) + 1) % options_.nodes];
  switch (fault.kind) {
    case F::kCrashLeader:
      if (leader >= 0) CrashNode(leader, fault.restart_s);
      break;
    case F::kCrashOther:
      CrashNode((std::max(leader, 0) + 1) % options_.nodes, fault.restart_s);
      break;
    case F::kCrashAll:
      for (int i = 0; i < options_.nodes; ++i) CrashNode(i, fault.restart_s);
      break;
    case F::kStateOutage:
      state_down_until_ = now_ + fault.for_s;
      At(state_down_until_, [this] {
        for (auto& [id, lease] : leases_) lease.until = now_ + lease.ttl;
      });
      break;
    case F::kStateRefusesLeader:
      if (leader >= 0) nodes_[leader]->refused_until = now_ + fault.for_s;
      break;
    case F::kCloudOutage: cloud_down_until_ = now_ + fault.for_s; break;
    case F::kMachineDies:
      for (Worker* worker : victims) {
        LoseAll(*worker);
        worker->up = false;
        worker->failed = true;
      }
      break;
    case F::kMassLoss:
      for (size_t i = 0; i < up.size(); i += 3) {
        if (i % 2 == 0) {
          up[i]->hung_until = now_ + fault.for_s;
          continue;
        }
        LoseAll(*up[i]);
        up[i]->up = false;
        up[i]->failed = true;
      }
      break;
    case F::kMachineCut:
      for (Worker* worker : victims) worker->silent_until = now_ + fault.for_s;
      break;
    case F::kMachineHangs:
      for (Worker* worker : victims) worker->hung_until = now_ + fault.for_s;
      break;
    case F::kMachineSick:
      if (victim) victim->sick = true;
      break;
    case F::kMachineDeaf:
      for (Worker* worker : victims) worker->deaf_until = now_ + fault.for_s;
      break;
    case F::kMachinesMute:
      for (Worker* worker : victims) worker->mute_until = now_ + fault.for_s;
      break;
    case F::kLateWrites:
      late_writes_until_ = now_ + fault.for_s;
      late_writes_share_ = fault.share;
      break;
    case F::kAnswersLost:
      answers_lost_until_ = now_ + fault.for_s;
      answers_lost_share_ = fault.share;
      break;
    case F::kLateReports:
      late_reports_until_ = now_ + fault.for_s;
      late_reports_share_ = fault.share;
      break;
    case F::kCopiesForNext:
      copies_until_ = now_ + fault.for_s;
      copies_share_ = fault.share;
      break;
    case F::kCancelNow: CancelRunning(fault.count, fault.for_s); break;
    case F::kCancelAtEnd:
      cancel_at_end_until_ = now_ + fault.for_s;
      cancel_at_end_share_ = fault.share;
      break;
    case F::kOddRequests:
      odd_until_ = now_ + fault.for_s;
      AskOddly();
      break;
    case F::kCloseLooks: close_until_ = now_ + fault.for_s; break;
    case F::kMachineBack:
      if (victim) {
        LoseAll(*victim);
        OnNewIncarnation(*victim);
      }
      break;
    case F::kLeaderAlone:
      if (leader >= 0)
        nodes_[leader]->refused_until =
            nodes_[leader]->cut_from_siblings_until = now_ + fault.for_s;
      break;
    case F::kSiblingsRefuse: mesh_cut_until_ = now_ + fault.for_s; break;
    case F::kStateSlow: state_slow_until_ = now_ + fault.for_s; break;
    case F::kSpotWave:
      for (Worker* worker : up)
        if (worker->spot && Random() < 0.5) {
          worker->taken_at = now_ + 8;
          worker->changed = true;
          At(now_ + 8, [this, name = worker->name] { Kill(name); });
        }
      break;
    case F::kLeaderCutFromWorkers:
      if (leader >= 0)
        nodes_[leader]->cut_from_workers_until = now_ + fault.for_s;
      break;
    case F::kZoneCut: zone_cut_until_ = now_ + fault.for_s; break;
    case F::kLeaderStops:
      if (leader >= 0) nodes_[leader]->stopped_until = now_ + fault.for_s;
      break;
    case F::kAllStop:
      for (auto& node : nodes_) node->stopped_until = now_ + fault.for_s;
      break;
    case F::kLeaderSilent:
      if (leader >= 0) nodes_[leader]->silent_until = now_ + fault.for_s;
      break;
    case F::kOtherSilent: other.silent_until = now_ + fault.for_s; break;
    case F::kOtherAlone:
      other.refused_until = other.cut_from_siblings_until = now_ + fault.for_s;
      break;
    case F::kOtherRefused: other.refused_until = now_ + fault.for_s; break;
    case F::kPollStorm: storm_until_ = now_ + fault.for_s; break;
    case F::kBootsLate: boots_late_until_ = now_ + fault.for_s; break;
    case F::kBootsAtOnce: boots_at_once_until_ = now_ + fault.for_s; break;
  }
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::AddServices() {
  for (int i = 0; i < options_.services; ++i) {
    JobSpec spec;
    spec.id = "job-4" + std::to_string(10000 + i);
    spec.job_class = "service";
    spec.team = i % 2 ? "blue" : "green";
    spec.shape = JobShape::kService;
    spec.priority = Priority::kProduction;
    spec.tasks = 3 + static_cast<uint32_t>(rng_() % 3);
    spec.cpus = 1;
    spec.memory_gb = 3;
    spec.image = "img-service";
    spec.image_gb = 1;
    spec.spread = Random() < 0.7;
    spec.spot = Random() < 0.3;
    const double at = options_.services_from_s + 60 * Random();
    AddJob(at, spec, 0,
           Random() < options_.cancel_share ? at + 20 + 120 * Random() : 0);
    users_[spec.id]->replicas_end = Random() < options_.replica_ends_share;
    users_[spec.id]->spins = options_.spinning_service && i == 0;
  }
  At(1, [this] { CheckReplicas(); });
}

void SimulatedCluster::AddLongArray() {
  JobSpec spec;
  spec.id = "job-500000";
  spec.job_class = "long array";
  spec.team = "green";
  spec.priority = Priority::kHigh;
  spec.tasks = 3000;
  spec.cpus = 0.1;
  spec.memory_gb = 0.1;
  spec.image = "img-array";
  spec.image_gb = 0.1;
  spec.spot = true;
  spec.estimate_s = 2;
  AddJob(10, spec, 2);
}

void SimulatedCluster::AddBurst() {
  for (int i = 0; i < options_.burst_jobs; ++i) {
    JobSpec spec;
    spec.id = "job-6" + std::to_string(10000 + i);
    spec.job_class = "burst";
    spec.team = "green";
    spec.tasks = options_.burst_tasks;
    spec.cpus = 1;
    spec.memory_gb = 1;
    spec.image = "img-burst-" + std::to_string(i % 3);
    spec.image_gb = 1;
    spec.spot = true;
    spec.checkpoint_s = 10;
    spec.save_s = 1;
    const double run_s = 60 + 120 * Random();
    spec.estimate_s = run_s;
    AddJob(options_.burst_at_s + options_.burst_for_s * Random(), spec, run_s);
  }
}

double SimulatedCluster::MeanImbalance(double from_s, double until_s) const {
  double sum = 0, count = 0;
  for (const auto& [second, imbalance] : imbalance_at_) {
    if (second < from_s || second >= until_s) continue;
    sum += imbalance;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

double SimulatedCluster::machine_s() const {
  double seconds = 0;
  for (const auto& [name, worker] : workers_)
    seconds += (worker->gone ? worker->gone_at : now_) - worker->rented_at;
  return seconds;
}

double SimulatedCluster::MeanJobTime() const {
  double sum = 0, count = 0;
  for (const auto& [id, user] : users_) {
    if (user->told_done == 0) continue;
    sum += user->told_done - user->accepted_at;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

// Each term of a leader counts anew.
void SimulatedCluster::CountMoves(const Rebalancer::Statistics& moves) {
  const auto news = [](uint64_t now, uint64_t before) {
    return now >= before ? now - before : now;
  };
  moves_begun_ += news(moves.begun, last_moves_.begun);
  moves_finished_ += news(moves.finished, last_moves_.finished);
  last_moves_ = moves;
  imbalance_ = moves.imbalance;
  imbalance_at_[static_cast<int>(now_)] = imbalance_;
  if (imbalance_ > options_.policy.spread.stop_imbalance) uneven_until_ = now_;
}

// One node after the other is killed and comes back new.
void SimulatedCluster::Roll() {
  for (int i = 0; i < options_.nodes; ++i)
    At(options_.roll_at_s + i * options_.roll_every_s, [this, i] {
      nodes_[i]->old_version = false;
      CrashNode(i, 3);
    });
  troubles_over_ = options_.roll_at_s + options_.nodes * options_.roll_every_s;
}

int SimulatedCluster::services_left() const {
  return static_cast<int>(
      std::count_if(users_.begin(), users_.end(), [](const auto& item) {
        const User& user = *item.second;
        return user.spec.IsService() && user.accepted &&
               user.told_cancelled == 0;
      }));
}

bool SimulatedCluster::SomeProgressInParts() const {
  return std::any_of(changes_.begin(), changes_.end(), [](const Change& c) {
    return c.item.key.compare(0, 12, "sw/progress/") == 0 &&
           c.item.key.find('.') != std::string::npos;
  });
}

void SimulatedCluster::BecomeFleet() {
  settings_.heartbeat_interval_s = 4;
  settings_.worker_lease_s = 22;
  settings_.cancel_deadline_s = 47;
  settings_.state_requests_per_s = 600;
  settings_.state_mutations_per_s = 250;
  settings_.cloud_requests_per_s = 15;
  const double scale = options_.fleet_scale;
  settings_.teams = {{"blue", 2500 * scale, 5000 * scale, 0, 0},
                     {"green", 3000 * scale, 8000 * scale, 0, 0}};
  settings_.objectives = {{"wait", "short", 3, 1}};
  capacity_.clear();
  for (MachineType& type : types_) {
    type.zones = {"a", "b", "c"};
    for (const std::string& zone : type.zones)
      for (const char* kind : {"0", "1"})
        capacity_[type.name + "|" + zone + "|" + kind] =
            static_cast<int>((type.name == "small" ? 200 : 50) * scale);
  }
}

// Arrays as a fleet has them; long enough together to need all of it.
JobSpec SimulatedCluster::FleetJob(JobSpec spec) {
  spec.tasks = rng_() % 8 == 0 ? 1500 + static_cast<uint32_t>(rng_() % 1501)
                               : 20 + static_cast<uint32_t>(rng_() % 300);
  spec.types.clear();
  return spec;
}

void SimulatedCluster::AddJob(double at_s, JobSpec spec, double run_s,
                              double cancel_at_s) {
  const std::string id = spec.id;
  auto user = std::make_unique<User>();
  user->spec = std::move(spec);
  user->run_s = run_s;
  user->cancel_at = cancel_at_s;
  users_[id] = std::move(user);
  At(at_s, [this, id] { SubmitJob(id); });
  if (cancel_at_s > 0) At(cancel_at_s, [this, id] { CancelJob(id); });
}

void SimulatedCluster::At(double time, Event event) {
  events_.push({time, event_order_++, std::move(event)});
}

void SimulatedCluster::Run() {
  while (!events_.empty() && events_.top().time <= options_.duration_s) {
    Queued next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.time);
    ExpireLeases();
    next.event();
    if (++steps_ % options_.check_every == 0) CheckStep();
    if (violations_.size() > 20) return;
  }
  CheckServed();
}

// --- Nodes
// -----------------------------------------------------------------------

void SimulatedCluster::StartNode(int index) {
  Node& node = *nodes_[index];
  ClusterSettings settings = settings_;
  settings.node = "node-" + std::to_string(index);
  settings.zone = node.zone;
  if (node.old_version) settings.next_state_limits.reset();
  ++node.life;
  node.controller =
      std::make_unique<Controller>(settings, options_.policy, rng_());
  node.controller->set_debug(options_.debug_log);
  node.up = true;
  TickNode(index, node.life);
}

void SimulatedCluster::CrashNode(int index, double restart_s) {
  Node& node = *nodes_[index];
  if (!node.up) return;
  node.up = false;
  node.controller.reset();
  After(restart_s * (0.2 + Random()), [this, index] {
    if (!nodes_[index]->up) StartNode(index);
  });
}

template <typename Input>
void SimulatedCluster::Feed(int index, int life, Input input) {
  Node& node = *nodes_[index];
  if (!node.up || node.life != life) return;
  if (now_ < node.stopped_until) {  // it piles up, and is taken in turn
    At(node.stopped_until,
       [this, index, life, input] { Feed(index, life, input); });
    return;
  }
  const Controller::Time time{Clock(index),
                              1e9 + now_ + 0.005 * (Random() - 0.5)};
  const double began_s = ProcessorTimeS();
  Actions actions = input(*node.controller, time);
  const double took_s = ProcessorTimeS() - began_s;
  most_work_ = std::max(most_work_, node.controller->work());
  if (node.controller->leading()) {
    cost_.total_s += took_s;
    cost_.most_s = std::max(cost_.most_s, took_s);
  }
  Handle(index, std::move(actions));
}

double SimulatedCluster::Clock(int index) const {
  return now_ * nodes_[index]->drift + 100.0 * index;
}

void SimulatedCluster::Leave(int index, const Event& event) {
  constexpr double kLaneS = 0.003;
  const int life = nodes_[index]->life;
  After(kLaneS, [this, index, life, event] {
    const Node& node = *nodes_[index];
    if (!node.up || node.life != life) return;
    if (now_ < node.stopped_until)
      At(node.stopped_until, [this, index, event] { Leave(index, event); });
    else
      event();
  });
}

void SimulatedCluster::TickNode(int index, int life) {
  if (nodes_[index]->life != life) return;
  if (now_ < nodes_[index]->stopped_until) {
    At(nodes_[index]->stopped_until,
       [this, index, life] { TickNode(index, life); });
    return;
  }
  Feed(index, life,
       [](Controller& c, Controller::Time time) { return c.Tick(time); });
  if (!nodes_[index]->up) return;
  if (!nodes_[index]->controller->Healthy()) ++unhealthy_ticks_;
  const auto statistics = nodes_[index]->controller->CollectStatistics();
  if (statistics.leading) CountMoves(statistics.scheduler.spread);
  if (statistics.leading && terms_seen_.insert(statistics.term).second) {
    ++takeovers_;
    for (const auto& [request, heartbeat] : std::exchange(copies_for_next_, {}))
      for (int node = 0; node < options_.nodes; ++node)
        After(0.5 * Random(), [this, node, request = request,
                               heartbeat = heartbeat] {
          Feed(node, nodes_[node]->life,
               [request, heartbeat](Controller& c, Controller::Time time) {
                 return c.OnHeartbeat(time, request, heartbeat);
               });
        });
  }
  After(0.05 + 0.05 * Random(), [this, index, life] { TickNode(index, life); });
}

int SimulatedCluster::LeaderIndex() const {
  for (int i = 0; i < options_.nodes; ++i)
    if (nodes_[i]->up && nodes_[i]->controller->CollectStatistics().leading)
      return i;
  return -1;
}

// A machine that is well but was released as faulty.
void SimulatedCluster::CountWrongRelease(const LogEvent& event) {
  if (event.message != "releasing machine") return;
  std::map<std::string, std::string> fields;
  for (const LogField& field : event.fields)
    fields[field.name] = std::get<std::string>(field.value);
  if (fields.at("reason") != ReleaseReasonText(ReleaseReason::kFaulty)) return;
  const auto it = workers_.find(fields.at("machine"));
  if (it != workers_.end() && !it->second->sick) ++wrongly_returned_;
}

void SimulatedCluster::Handle(int index, Actions actions) {
  for (Action& action : actions) {
    digest_.Add(index, action);
    if (const auto* event = std::get_if<LogEvent>(&action)) {
      log_summary_.Add(index, *event);
      CountWrongRelease(*event);
      continue;
    }
    if (std::holds_alternative<ReleaseMachines>(action) &&
        !nodes_[index]->controller->CollectStatistics().may_dispatch)
      ReportViolation("a leader whose lease is in doubt returns machines");
    Leave(index, [this, index, action = std::move(action)] {
      Perform(index, action);
    });
  }
}

// As the cloud's client does: what was decided before a stop is not sent after
// the leave to act has ended.
template <typename Request>
bool SimulatedCluster::TooLate(int index, const Request& request) {
  if (Clock(index) <= request.not_after) return false;
  CloudResult result;
  result.id = request.id;
  result.outcome = Outcome::kRefused;
  result.too_late = true;
  Feed(index, nodes_[index]->life,
       [result](Controller& c, Controller::Time time) {
         return c.Deliver(time, result);
       });
  return true;
}

void SimulatedCluster::Perform(int index, Action action) {
  const int life = nodes_[index]->life;
  const bool silent = now_ < nodes_[index]->silent_until;
  if (auto* t = std::get_if<StateTransaction>(&action)) {
    AskState(index, *t);
  } else if (auto* get = std::get_if<StateGet>(&action)) {
    AskState(index, *get);
  } else if (auto* list = std::get_if<StateList>(&action)) {
    AskState(index, *list);
  } else if (auto* create = std::get_if<LeaseCreate>(&action)) {
    AskState(index, *create);
  } else if (auto* renew = std::get_if<LeaseRenew>(&action)) {
    AskState(index, *renew);
  } else if (auto* watch = std::get_if<StateWatch>(&action)) {
    After(Latency(), [this, index, life, watch = *watch] {
      watchers_.push_back({index, life, watch});
      AnswerWatchers();
      // As long as the real one waits, plus its slack.
      After(2.0, [this, index, life, watch] {
        auto it = std::find_if(watchers_.begin(), watchers_.end(),
                               [&](const Watcher& w) {
                                 return w.node == index && w.life == life &&
                                        w.watch.id == watch.id;
                               });
        if (it == watchers_.end()) return;
        StateResult result = WatchAnswer(watch);
        if (StateDown(index) || now_ < nodes_[index]->silent_until)
          result = StateResult();  // no answer
        result.id = watch.id;
        watchers_.erase(it);
        Feed(index, life, [result](Controller& c, Controller::Time time) {
          return c.Deliver(time, result);
        });
      });
    });
  } else if (auto* catalog = std::get_if<FetchCatalog>(&action)) {
    AskCloud(index, *catalog);
  } else if (auto* rent = std::get_if<ProvisionMachines>(&action)) {
    if (!TooLate(index, *rent)) AskCloud(index, *rent);
  } else if (auto* release = std::get_if<ReleaseMachines>(&action)) {
    if (!TooLate(index, *release)) AskCloud(index, *release);
  } else if (auto* machines = std::get_if<ListCloudMachines>(&action)) {
    AskCloud(index, *machines);
  } else if (auto* direct = std::get_if<PushedCommands>(&action)) {
    const PushedCommands command = *direct;
    auto execute = [this, command, index, life](bool answer) {
      auto it = workers_.find(command.machine);
      if (it == workers_.end() || !it->second->up ||
          !Reachable(index, *it->second) || now_ < it->second->hung_until ||
          now_ < it->second->deaf_until)
        return;
      Worker& worker = *it->second;
      PushResult result;
      result.id = command.id;
      result.answered = true;
      result.accepted = command.fencing_token >= worker.fencing_token &&
                        command.incarnation == worker.incarnation;
      if (result.accepted) {
        if (command.fencing_token > worker.fencing_token) worker.changed = true;
        worker.fencing_token = command.fencing_token;
        Execute(worker, command.commands);
      }
      result.heartbeat = MakeHeartbeat(worker);
      if (answer)
        After(Latency(), [this, index, life, result] {
          Feed(index, life, [result](Controller& c, Controller::Time time) {
            return c.Deliver(time, result);
          });
        });
    };
    After(Latency(), [execute] { execute(true); });
    if (Random() < options_.late)
      After(20 + 40 * Random(), [execute] { execute(false); });
    After(1.5, [this, index, life, id = command.id] {
      PushResult result;
      result.id = id;
      Feed(index, life, [result](Controller& c, Controller::Time time) {
        return c.Deliver(time, result);
      });
    });
  } else if (auto* user = std::get_if<ClientResponse>(&action)) {
    UserAnswer(*user);
  } else if (auto* worker_answer = std::get_if<HeartbeatResponse>(&action)) {
    const HeartbeatResponse answer = *worker_answer;
    // Now and then an answer comes just before the worker gives up.
    const double delay = Random() < options_.late ? 3.8 * Random() : Latency();
    After(delay, [this, answer] {
      auto asked = reports_.find(answer.request);
      if (asked == reports_.end()) return;
      const AskedReport heartbeat = asked->second;
      reports_.erase(asked);
      auto it = workers_.find(heartbeat.worker);
      if (it == workers_.end() || !it->second->up) return;
      Worker& worker = *it->second;
      if (!worker.in_flight || worker.request != answer.request) return;
      if (!Reachable(heartbeat.node, worker) || now_ < worker.hung_until ||
          now_ < worker.deaf_until || Random() < options_.lose)
        return;  // lost: the worker gives up after 4 s
      worker.in_flight = false;
      if (answer.status != 200) {
        int target = (heartbeat.node + 1) % options_.nodes;
        if (!answer.redirect.empty()) target = answer.redirect.back() - '0';
        worker.target = target;
        worker.next_report = now_ + (answer.redirect.empty() ? 1.0 : 0.3);
        return;
      }
      if (answer.fencing_token < worker.fencing_token ||
          heartbeat.incarnation != worker.incarnation)
        return;  // dropped
      if (answer.fencing_token > worker.fencing_token) worker.changed = true;
      worker.fencing_token = answer.fencing_token;
      worker.lease_from = std::max(worker.lease_from, heartbeat.sent);
      Execute(worker, answer.commands);
    });
  } else if (auto* note = std::get_if<SendPeerStatus>(&action)) {
    for (int other = 0; other < options_.nodes; ++other) {
      if (other == index || Random() < options_.lose) continue;
      if (silent || now_ < nodes_[other]->silent_until) continue;
      if ((now_ < zone_cut_until_ &&
           nodes_[other]->zone != nodes_[index]->zone) ||
          now_ < mesh_cut_until_ ||
          now_ < nodes_[index]->cut_from_siblings_until ||
          now_ < nodes_[other]->cut_from_siblings_until)
        continue;
      const int other_life = nodes_[other]->life;
      After(Latency(), [this, other, other_life, note = note->note] {
        Feed(other, other_life, [note](Controller& c, Controller::Time time) {
          return c.OnPeerStatus(time, note);
        });
      });
    }
  }
}

// --- State service
// -----------------------------------------------------------------

bool SimulatedCluster::StateDown(int node) const {
  return now_ < state_down_until_ || now_ < nodes_[node]->refused_until;
}

template <typename Request>
void SimulatedCluster::AskState(int node, const Request& request, bool) {
  const int life = nodes_[node]->life;
  const auto give = [this, node, life](const StateResult& result) {
    Feed(node, life, [result](Controller& c, Controller::Time time) {
      return c.Deliver(time, result);
    });
  };
  // The asker gives up after 2 s; it is carried out all the same.
  const auto unanswered = [&](double carried_out_at) {
    At(carried_out_at, [this, request, node] {
      if (StateDown(node)) return;
      Serve(request);
      AnswerWatchers();
    });
    After(2.0, [give, id = request.id] {
      StateResult result;
      result.id = id;
      give(result);
    });
  };
  if (now_ < nodes_[node]->silent_until) {  // held by the cut
    unanswered(nodes_[node]->silent_until);
    return;
  }
  const bool lost = Random() < options_.lose;
  bool answer_lost = Random() < options_.lose;
  if constexpr (std::is_same_v<Request, StateTransaction>) {
    if (now_ < late_writes_until_ && Random() < late_writes_share_) {
      unanswered(now_ + 2 + 10 * Random());
      return;
    }
    if (now_ < answers_lost_until_ && Random() < answers_lost_share_)
      answer_lost = true;
  }
  if (Random() < options_.late || Random() < options_.repeat) {
    After(0.5 + 30 * Random(), [this, request, node] {
      if (!StateDown(node)) {
        Serve(request);
        AnswerWatchers();
      }
    });
  }
  // Thirty times slower: most answers take some 0.2 s, a few many seconds. One
  // that comes after the time-out is none, though the request is carried out.
  const bool slow = now_ < state_slow_until_;
  const double latency = !slow             ? Latency()
                         : Random() < 0.05 ? 8 * Random()
                                           : 0.15 + 0.1 * Random();
  if (latency > 2.0) {
    unanswered(now_ + latency);
    return;
  }
  After(latency, [this, request, node, lost, answer_lost, give] {
    StateResult result;
    if (lost) {
      // never arrives
    } else if (StateDown(node)) {
      result.outcome = Outcome::kRefused;
    } else {
      result = Serve(request);
      AnswerWatchers();
      if (answer_lost) result = StateResult();
    }
    result.id = request.id;
    const bool silent = result.outcome == Outcome::kUnknown;
    After(silent ? 2.0 : Latency(), [give, result] { give(result); });
  });
}

void SimulatedCluster::ApplyOp(const Mutation& op) {
  KeyValue item;
  item.key = op.key;
  item.version = revision_;
  if (op.remove) {
    if (!keys_.erase(op.key)) return;
    item.removed = true;
  } else {
    keys_[op.key] = {op.value, revision_, op.lease};
    item.value = op.value;
  }
  changes_.push_back({revision_, item});
}

StateResult SimulatedCluster::Serve(const StateTransaction& request) {
  StateResult result;
  if (const StateRefusal refusal = OverLimits(request);
      refusal != StateRefusal::kNone) {
    result.outcome = Outcome::kRefused;
    result.refusal = refusal;
    return result;
  }
  for (const Precondition& guard : request.preconditions) {
    auto it = keys_.find(guard.key);
    if ((it == keys_.end() ? 0 : it->second.version) != guard.version)
      result.failed.push_back(guard.key);
  }
  for (const Mutation& op : request.mutations) {
    if (op.lease != 0 && !leases_.count(op.lease)) {
      result.outcome = Outcome::kRefused;
      return result;
    }
  }
  if (!result.failed.empty()) {
    result.outcome = Outcome::kConflict;
    result.revision = revision_;
    return result;
  }
  if (!request.mutations.empty()) {
    ++revision_;
    for (const Mutation& op : request.mutations) ApplyOp(op);
  }
  result.outcome = Outcome::kOk;
  result.revision = revision_;
  return result;
}

StateRefusal SimulatedCluster::OverLimits(const StateTransaction& request) {
  const bool fallen =
      options_.limits_fall_at_s > 0 && now_ >= options_.limits_fall_at_s;
  const StateLimits limits =
      fallen ? options_.limits_after
             : StateLimits{settings_.state_mutations_per_s,
                           settings_.state_max_value_kib,
                           settings_.state_max_mutations_per_transaction};
  const auto most = static_cast<size_t>(limits.max_mutations_per_transaction);
  bool large = false;
  for (const Mutation& op : request.mutations) {
    if (static_cast<double>(op.value.size()) <= limits.max_value_kib * 1024)
      continue;
    large = true;
    if (++too_large_[op.key + op.value] == 8)
      ReportViolation("a value that is never taken is tried again and again: " +
                      op.key);
  }
  if (request.mutations.size() > most ||
      request.preconditions.size() > 4 * most)
    ReportViolation("a transaction over the state service's limits");
  if (large) {
    ++refused_for_size_;
    return StateRefusal::kTooLarge;
  }
  if (!options_.rate_limits || request.mutations.empty())
    return StateRefusal::kNone;
  change_tokens_ = std::min(
      limits.mutations_per_s,
      change_tokens_ + (now_ - change_tokens_at_) * limits.mutations_per_s);
  change_tokens_at_ = now_;
  change_tokens_ -= static_cast<double>(request.mutations.size());
  if (change_tokens_ >= 0) return StateRefusal::kNone;
  change_tokens_ += static_cast<double>(request.mutations.size());
  ++refused_for_rate_;
  return StateRefusal::kTooManyChanges;
}

StateResult SimulatedCluster::Serve(const StateGet& request) {
  StateResult result;
  auto it = keys_.find(request.key);
  result.outcome = it == keys_.end() ? Outcome::kConflict : Outcome::kOk;
  result.revision = revision_;
  if (it != keys_.end())
    result.items.push_back(
        {request.key, it->second.value, it->second.version, false});
  return result;
}

StateResult SimulatedCluster::Serve(const StateList& request) {
  StateResult result;
  for (auto it = keys_.lower_bound(request.prefix);
       it != keys_.end() &&
       it->first.compare(0, request.prefix.size(), request.prefix) == 0;
       ++it)
    result.items.push_back(
        {it->first, it->second.value, it->second.version, false});
  result.outcome = Outcome::kOk;
  result.revision = revision_;
  return result;
}

StateResult SimulatedCluster::Serve(const LeaseCreate& request) {
  StateResult result;
  result.outcome = Outcome::kOk;
  result.lease = next_lease_++;
  leases_[result.lease] = {request.ttl_s, now_ + request.ttl_s};
  return result;
}

StateResult SimulatedCluster::Serve(const LeaseRenew& request) {
  StateResult result;
  auto it = leases_.find(request.lease);
  result.outcome = it == leases_.end() ? Outcome::kConflict : Outcome::kOk;
  if (it != leases_.end()) it->second.until = now_ + it->second.ttl;
  return result;
}

void SimulatedCluster::ExpireLeases() {
  if (now_ < state_down_until_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now_ < it->second.until) {
      ++it;
      continue;
    }
    const uint64_t ended = it->first;
    it = leases_.erase(it);
    std::vector<std::string> attached;
    for (const auto& [key, entry] : keys_)
      if (entry.lease == ended) attached.push_back(key);
    if (attached.empty()) continue;
    ++revision_;
    for (const std::string& key : attached) ApplyOp({true, key, "", 0});
    AnswerWatchers();
  }
}

StateResult SimulatedCluster::WatchAnswer(const StateWatch& watch) const {
  StateResult result;
  result.id = watch.id;
  result.outcome = Outcome::kOk;
  result.revision = revision_;
  auto change = std::upper_bound(
      changes_.begin(), changes_.end(), watch.after,
      [](uint64_t after, const Change& c) { return after < c.revision; });
  for (; change != changes_.end(); ++change)
    if (change->item.key.compare(0, watch.prefix.size(), watch.prefix) == 0)
      result.items.push_back(change->item);
  return result;
}

void SimulatedCluster::AnswerWatchers() {
  for (size_t i = 0; i < watchers_.size();) {
    const Watcher watcher = watchers_[i];
    if (StateDown(watcher.node) || now_ < nodes_[watcher.node]->silent_until) {
      ++i;
      continue;
    }
    const StateResult result = WatchAnswer(watcher.watch);
    if (result.items.empty()) {
      ++i;
      continue;
    }
    watchers_.erase(watchers_.begin() + static_cast<ptrdiff_t>(i));
    After(Latency() + options_.watch_delay_s * Random(),
          [this, watcher, result] {
            Feed(watcher.node, watcher.life,
                 [result](Controller& c, Controller::Time time) {
                   return c.Deliver(time, result);
                 });
          });
  }
}

// --- Cloud
// ---------------------------------------------------------------------------

template <typename Request>
void SimulatedCluster::AskCloud(int node, const Request& request) {
  const int life = nodes_[node]->life;
  if (now_ < nodes_[node]->silent_until) {
    At(nodes_[node]->silent_until, [this, request] {
      if (now_ >= cloud_down_until_) Serve(request);
    });
    After(5.0, [this, node, life, id = request.id] {
      CloudResult result;
      result.id = id;
      Feed(node, life, [result](Controller& c, Controller::Time time) {
        return c.Deliver(time, result);
      });
    });
    return;
  }
  const bool lost = Random() < options_.lose;
  const bool answer_lost = Random() < options_.lose;
  if (Random() < options_.late)
    After(5 + 40 * Random(), [this, request] {
      if (now_ >= cloud_down_until_) Serve(request);
    });
  After(0.1 + 0.2 * Random(), [this, request, node, life, lost, answer_lost] {
    CloudResult result;
    if (lost) {
      // never arrives
    } else if (now_ < cloud_down_until_) {
      result.outcome = Outcome::kRefused;
    } else {
      result = Serve(request);
      if (answer_lost) result = CloudResult();
    }
    result.id = request.id;
    After(result.outcome == Outcome::kUnknown ? 5.0 : Latency(),
          [this, node, life, result] {
            Feed(node, life, [result](Controller& c, Controller::Time time) {
              return c.Deliver(time, result);
            });
          });
  });
}

CloudResult SimulatedCluster::Serve(const FetchCatalog&) {
  CloudResult result;
  result.outcome = Outcome::kOk;
  result.types = types_;
  return result;
}

CloudResult SimulatedCluster::Serve(const ProvisionMachines& request) {
  CloudResult result;
  const ProvisioningRecord& rent = request.rent;
  // The record must be there before the call, whoever sends it.
  if (!keys_.count("sw/rent/" + rent.name) && !rents_.count(rent.name) &&
      options_.late == 0 && options_.repeat == 0)
    ReportViolation("a rental without a record: " + rent.name);
  if (auto known = rents_.find(rent.name); known != rents_.end()) {
    result.outcome = Outcome::kOk;
    result.machines = known->second;
    return result;
  }
  int& left =
      capacity_[rent.type + "|" + rent.zone + "|" + (rent.spot ? "1" : "0")];
  const int count = std::min(left, rent.count);
  if (count <= 0) {
    result.outcome = Outcome::kRefused;
    result.no_capacity = true;
    return result;
  }
  left -= count;
  for (int i = 0; i < count; ++i) {
    auto worker = std::make_unique<Worker>();
    char name[32];
    snprintf(name, sizeof(name), "n-%06d", next_machine_++);
    worker->name = name;
    worker->type = rent.type;
    worker->zone = rent.zone;
    worker->spot = rent.spot;
    worker->rented_at = now_;
    worker->listed_from = now_ + settings_.cloud_list_lag_s;
    result.machines.push_back(name);
    workers_[name] = std::move(worker);
    double boot = 8 * (0.6 + 0.9 * Random());
    bool fails = Random() < options_.boot_fail;
    if (now_ < boots_late_until_) {
      boot *= 6;
      fails = fails || Random() < 0.2;
    } else if (now_ < boots_at_once_until_) {
      boot = 0.02 * Random();
    }
    if (!fails) After(boot, [this, name = std::string(name)] { Boot(name); });
    if (rent.spot && options_.spot_per_hour > 0) {
      const double life =
          -std::log(1 - Random()) * 3600 / options_.spot_per_hour;
      After(life, [this, name = std::string(name)] {
        Worker* w = workers_[name].get();
        if (w->gone) return;
        w->taken_at = Random() < 0.5 ? now_ + 8 : now_;
        w->changed = true;
        At(w->taken_at, [this, name] { Kill(name); });
      });
    }
  }
  rents_[rent.name] = result.machines;
  result.outcome = Outcome::kOk;
  return result;
}

CloudResult SimulatedCluster::Serve(const ReleaseMachines& request) {
  for (const std::string& name : request.machines) Kill(name);
  CloudResult result;
  result.outcome = Outcome::kOk;
  result.machines = request.machines;
  return result;
}

CloudResult SimulatedCluster::Serve(const ListCloudMachines&) {
  CloudResult result;
  result.outcome = Outcome::kOk;
  for (const auto& [name, worker] : workers_) {
    if (worker->gone || now_ < worker->listed_from) continue;
    result.listed.push_back({name, name + ":1", worker->type, worker->zone,
                             worker->spot,
                             worker->failed ? MachineStatus::kFailed
                             : worker->up   ? MachineStatus::kRunning
                                            : MachineStatus::kBooting,
                             now_ - worker->rented_at});
  }
  // It lags: what is answered is the list of a few seconds ago.
  lists_.emplace_back(now_, result.listed);
  const double as_of = now_ - settings_.cloud_list_lag_s * (1 + Random());
  for (auto it = lists_.rbegin(); it != lists_.rend(); ++it) {
    result.listed = it->second;
    if (it->first <= as_of) break;
  }
  return result;
}

// --- Workers
// -----------------------------------------------------------------------------

void SimulatedCluster::Boot(const std::string& name) {
  Worker& worker = *workers_[name];
  if (worker.gone) return;
  worker.up = true;
  worker.booted_at = worker.lease_from = now_;
  worker.target = static_cast<int>(rng_() % nodes_.size());
  worker.next_report = now_;
  WorkerLoop(name);
}

void SimulatedCluster::Kill(const std::string& name) {
  auto it = workers_.find(name);
  if (it == workers_.end() || it->second->gone) return;
  Worker& worker = *it->second;
  LoseAll(worker);
  worker.up = false;
  worker.gone = true;
  worker.gone_at = now_;
  ++capacity_[worker.type + "|" + worker.zone + "|" +
              (worker.spot ? "1" : "0")];
}

void SimulatedCluster::OnNewIncarnation(Worker& worker) {
  ++worker.incarnation;
  worker.sequence = 0;
  worker.lease_from = now_;
  worker.in_flight = false;
  worker.changed = true;
}

void SimulatedCluster::LoseAll(Worker& worker) { worker.tasks.clear(); }

bool SimulatedCluster::Reachable(int node, const Worker& worker) const {
  if (now_ < worker.silent_until) return false;
  if (now_ < nodes_[node]->cut_from_workers_until ||
      now_ < nodes_[node]->silent_until)
    return false;
  return now_ >= zone_cut_until_ || nodes_[node]->zone == worker.zone;
}

void SimulatedCluster::WorkerLoop(const std::string& name) {
  Worker& worker = *workers_[name];
  if (!worker.up) return;
  After(0.1, [this, name] { WorkerLoop(name); });
  if (now_ < worker.hung_until) return;
  if (now_ - worker.lease_from > settings_.worker_lease_s) {
    LoseAll(worker);
    OnNewIncarnation(worker);
  }
  if (worker.in_flight && now_ - worker.last_heartbeat_at > 4) {
    worker.in_flight = false;
    worker.target = (worker.target + 1) % options_.nodes;
    worker.next_report = now_ + 1;
  }
  if (worker.in_flight) return;
  if (now_ >= worker.next_report ||
      (worker.changed && now_ - worker.last_heartbeat_at > 0.5))
    SendHeartbeat(worker);
}

Heartbeat SimulatedCluster::MakeHeartbeat(Worker& worker) {
  Heartbeat heartbeat;
  heartbeat.machine = worker.name;
  heartbeat.address = worker.name + ":1";
  heartbeat.type = worker.type;
  heartbeat.zone = worker.zone;
  heartbeat.spot = worker.spot;
  heartbeat.incarnation = worker.incarnation;
  heartbeat.sequence = ++worker.sequence;
  heartbeat.fencing_token = worker.fencing_token;
  if (worker.taken_at > now_)
    heartbeat.preemption_notice_s = worker.taken_at - now_;
  for (const auto& [key, task] : worker.tasks)
    heartbeat.tasks.push_back({task.job, task.task, task.attempt, task.state,
                               task.reason, task.saved});
  return heartbeat;
}

void SimulatedCluster::SendHeartbeat(Worker& worker) {
  worker.in_flight = true;
  worker.changed = false;
  worker.last_heartbeat_at = now_;
  worker.next_report =
      now_ + settings_.heartbeat_interval_s * (0.75 + 0.5 * Random());
  const uint64_t request = next_request_++;
  worker.request = request;
  const Heartbeat heartbeat = MakeHeartbeat(worker);
  const int node = worker.target;
  reports_[request] = {worker.name, node, heartbeat.incarnation,
                       heartbeat.sequence, now_};
  const auto deliver = [this, node, request, heartbeat] {
    if (!nodes_[node]->up) return;
    ++cost_.reports;
    const auto input = [request, heartbeat](Controller& c,
                                            Controller::Time time) {
      return c.OnHeartbeat(time, request, heartbeat);
    };
    Feed(node, nodes_[node]->life, input);
  };
  if (!Reachable(node, worker)) {
    // Held by the cut and delivered when it ends, minutes late.
    const double until =
        std::max({worker.silent_until, nodes_[node]->cut_from_workers_until,
                  nodes_[node]->silent_until, zone_cut_until_});
    At(until + Latency(), deliver);
    return;
  }
  if (now_ < worker.mute_until) return;
  if (now_ < copies_until_ && Random() < copies_share_)
    copies_for_next_.emplace_back(request, heartbeat);
  if (now_ < late_reports_until_ && Random() < late_reports_share_)
    After(2 + 1.5 * settings_.worker_lease_s * Random(), deliver);
  if (Random() < options_.lose) return;
  After(Latency(), deliver);
  if (Random() < options_.repeat) After(5 * Random(), deliver);
  if (options_.report_copy > 0 && Random() < options_.report_copy)
    After(1 + 40 * Random(), deliver);
}

void SimulatedCluster::Execute(Worker& worker,
                               const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    const TaskId key{command.job, command.task};
    auto it = worker.tasks.find(key);
    const bool same =
        it != worker.tasks.end() && it->second.attempt == command.attempt;
    switch (command.kind) {
      case CommandKind::kStart:
        if (same) break;
        if (auto user = users_.find(command.job);
            user != users_.end() && user->second->told_cancelled > 0) {
          ++late_launches_;
          // What the leader may not have known of yet: its look at the jobs may
          // be so old, and the answer on its way for so long.
          if (now_ > user->second->told_cancelled + kDispatchMaxCacheAgeS +
                         kHeartbeatAnswerTimeoutS + 0.5)
            ReportViolation("ran_cancelled: " + command.job +
                            " is launched long after it was cancelled");
        }
        StartTask(worker, command);
        break;
      case CommandKind::kStop: {
        if (!same || it->second.state == TaskState::kExited) break;
        SimTask& task = it->second;
        const JobSpec& spec = users_[task.job]->spec;
        if (task.state == TaskState::kRunning && spec.checkpoint_s > 0 &&
            command.grace_s >= spec.save_s) {
          task.state = TaskState::kSaving;
          const uint64_t timer = ++task.timer;
          After(spec.save_s, [this, name = worker.name, key, timer] {
            Worker& w = *workers_[name];
            auto found = w.tasks.find(key);
            if (found == w.tasks.end() || found->second.timer != timer) return;
            found->second.saved = true;
            users_[key.job]->saved_s[key.task] +=
                now_ - found->second.running_since;
            EndTask(w, found->second, ExitReason::kStopped);
          });
        } else if (task.state != TaskState::kSaving || command.grace_s == 0) {
          EndTask(worker, task, ExitReason::kStopped);
        }
        break;
      }
      case CommandKind::kForget:
        if (same && it->second.state == TaskState::kExited) {
          if (it->second.reason == ExitReason::kDone &&
              !users_[command.job]->spec.IsService() &&
              !WrittenDown(command.job, command.task))
            ReportViolation("cleared before it was written down: " +
                            command.job + "/" + std::to_string(command.task));
          worker.tasks.erase(it);
        }
        break;
    }
  }
}

bool SimulatedCluster::WrittenDown(const std::string& job,
                                   uint32_t task) const {
  if (keys_.count("sw/w/final/" + job)) return true;
  // Four tasks a digit, the first in the lowest bit.
  const std::string prefix = "sw/progress/" + job + "/";
  for (auto it = keys_.lower_bound(prefix);
       it != keys_.end() && it->first.compare(0, prefix.size(), prefix) == 0;
       ++it) {
    const auto record = protocol::ParseCompletionRecord(it->second.value);
    if (!record) continue;
    const uint32_t first = record->first_task.value_or(0);
    if (task < first || (task - first) / 4 >= record->bits_hex.size()) continue;
    const std::string digit = record->bits_hex.substr((task - first) / 4, 1);
    if (std::stoi(digit, nullptr, 16) >> ((task - first) % 4) & 1) return true;
  }
  return false;
}

void SimulatedCluster::EndTask(Worker& worker, SimTask& task,
                               ExitReason reason) {
  task.state = TaskState::kExited;
  task.reason = reason;
  ++task.timer;
  worker.changed = true;
  if (reason == ExitReason::kDone && users_.count(task.job) &&
      !users_[task.job]->spec.IsService()) {
    IntervalSet& done = users_[task.job]->done;
    if (!done.Contains(task.task)) done.Add(task.task);
    if (done.size() == users_[task.job]->spec.tasks &&
        now_ < cancel_at_end_until_ && Random() < cancel_at_end_share_)
      After(0.6 * Random(), [this, id = task.job] { CancelJob(id); });
  }
}

void SimulatedCluster::StartTask(Worker& worker, const Command& command) {
  const TaskId key{command.job, command.task};
  SimTask task;
  task.job = command.job;
  task.task = command.task;
  task.attempt = command.attempt;
  told_to_start_[command.job].insert(worker.name);
  worker.changed = true;
  auto other = worker.tasks.find(key);
  if (other != worker.tasks.end() && other->second.state != TaskState::kExited)
    return;  // in_use: refused, and not kept here
  auto user = users_.find(command.job);
  if (user == users_.end() || command.task >= user->second->spec.tasks) {
    task.state = TaskState::kExited;
    task.reason = ExitReason::kUnknown;
    worker.tasks[key] = task;
    return;
  }
  const JobSpec& spec = user->second->spec;
  double cpus = spec.cpus, memory = spec.memory_gb;
  for (const auto& [k, t] : worker.tasks) {
    if (t.state == TaskState::kExited) continue;
    cpus += users_[t.job]->spec.cpus;
    memory += users_[t.job]->spec.memory_gb;
  }
  const MachineType& type = worker.type == "small" ? types_[0] : types_[1];
  if (cpus > type.cpus + 1e-9 || memory > type.memory_gb + 1e-9) {
    task.state = TaskState::kExited;
    task.reason = ExitReason::kNoRoom;
    worker.tasks[key] = task;
    return;
  }
  worker.tasks[key] = task;
  After(0.5 + 2 * Random(),
        [this, name = worker.name, key, attempt = command.attempt] {
          TaskHasImage(name, key, attempt);
        });
}

void SimulatedCluster::TaskHasImage(const std::string& machine,
                                    const TaskId& key, uint64_t attempt) {
  Worker& worker = *workers_[machine];
  if (!worker.up) return;
  auto it = worker.tasks.find(key);
  if (it == worker.tasks.end() || it->second.attempt != attempt ||
      it->second.state != TaskState::kFetching)
    return;
  if (now_ < worker.hung_until) {
    At(worker.hung_until,
       [this, machine, key, attempt] { TaskHasImage(machine, key, attempt); });
    return;
  }
  // The lease is looked at before anything starts.
  if (now_ - worker.lease_from > settings_.worker_lease_s) return;
  SimTask& task = it->second;
  CheckStart(worker, task);
  User& starter = *users_[task.job];
  if (starter.began_at == 0) starter.began_at = now_;
  starter.last_start = now_;
  ++tasks_started_;
  task.state = TaskState::kRunning;
  task.running_since = now_;
  worker.changed = true;
  if (users_[task.job]->spec.IsService()) {
    PlanReplicaEnd(machine, key, ++task.timer);
    return;
  }
  const User& user = *users_[task.job];
  const bool kept = user.done.Contains(task.task);
  const uint64_t timer = ++task.timer;
  const bool fails = worker.sick || user.broken;
  const auto saved = user.saved_s.find(key.task);
  const double run_s =
      user.run_s * (options_.ends_far_apart ? 1 + 3 * key.task : 1);
  After(kept                          ? 0.1
        : fails                       ? 0.5
        : saved == user.saved_s.end() ? run_s
                                      : std::max(0.1, run_s - saved->second),
        [this, machine, key, timer, fails] {
          Worker& w = *workers_[machine];
          const auto end = [this, &w, key, timer, fails] {
            auto found = w.tasks.find(key);
            if (!w.up || found == w.tasks.end() || found->second.timer != timer)
              return;
            EndTask(w, found->second,
                    fails ? ExitReason::kError : ExitReason::kDone);
          };
          if (now_ < w.hung_until)
            At(w.hung_until + 0.2, end);
          else
            end();
        });
}

void SimulatedCluster::PlanReplicaEnd(const std::string& machine,
                                      const TaskId& key, uint64_t timer) {
  const User& user = *users_[key.job];
  const Worker& worker = *workers_[machine];
  if (user.spins) ++spins_;
  double after = 0;
  if (user.spins || worker.sick)
    after = 0.5;
  else if (user.replicas_end)
    after = 5 + 30 * Random();
  else
    return;
  const bool fails = worker.sick || (!user.spins && Random() < 0.5);
  After(after, [this, machine, key, timer, fails] {
    Worker& w = *workers_[machine];
    const auto end = [this, &w, key, timer, fails] {
      auto found = w.tasks.find(key);
      if (!w.up || found == w.tasks.end() || found->second.timer != timer)
        return;
      EndTask(w, found->second, fails ? ExitReason::kError : ExitReason::kDone);
    };
    if (now_ < w.hung_until)
      At(w.hung_until + 0.2, end);
    else
      end();
  });
}

size_t SimulatedCluster::machines_left() const {
  size_t count = 0;
  for (const auto& [name, worker] : workers_)
    if (!worker->gone) ++count;
  return count;
}

std::string SimulatedCluster::Unfinished() const {
  std::string text;
  for (const auto& [id, user] : users_) {
    if (user->over) continue;
    const JobSpec& s = user->spec;
    text += id + " " + s.team + " tasks " + std::to_string(s.tasks) + " done " +
            std::to_string(user->done.size()) + " cpus " +
            std::to_string(s.cpus) + " run_s " + std::to_string(user->run_s) +
            (s.spot ? " spot" : "") + (s.one_zone ? " one_zone" : "") +
            (s.spread ? " spread" : "") + " zone " + s.zone + " types " +
            (s.types.empty() ? "any" : s.types[0]) + "; ";
  }
  return text;
}

// --- Users
// -------------------------------------------------------------------------------

bool SimulatedCluster::Hears(int node) const {
  return nodes_[node]->up && now_ >= nodes_[node]->silent_until;
}

void SimulatedCluster::SubmitJob(const std::string& id) {
  User& user = *users_[id];
  if (user.accepted) return;
  user.submitted = true;
  const int node = static_cast<int>(rng_() % nodes_.size());
  const uint64_t request = next_request_++;
  asked_[request] = {id, Asked::kSubmit, false, now_};
  if (Hears(node))
    Feed(node, nodes_[node]->life,
         [request, spec = user.spec](Controller& c, Controller::Time time) {
           return c.Submit(time, request, spec);
         });
  After(1.5 + Random(), [this, id] { SubmitJob(id); });
}

void SimulatedCluster::PollJob(const std::string& id) {
  User& user = *users_[id];
  const int node = static_cast<int>(rng_() % nodes_.size());
  const uint64_t request = next_request_++;
  asked_[request] = {id, Asked::kPoll, false, now_};
  const auto poll = [this, node](uint64_t number, const std::string& job) {
    if (!Hears(node)) return;
    Feed(node, nodes_[node]->life,
         [number, job](Controller& c, Controller::Time time) {
           return c.Poll(time, number, job);
         });
  };
  poll(request, id);
  const bool storm = now_ < storm_until_;
  if (storm) {
    const std::string nobodys =
        "job-7" + std::to_string(10000 + rng_() % 80000);
    const uint64_t number = next_request_++;
    asked_[number] = {nobodys, Asked::kPoll, false, now_};
    poll(number, nobodys);
  }
  After((user.over ? 15 : 4 + 2 * Random()) / (storm ? 10 : 1),
        [this, id] { PollJob(id); });
}

void SimulatedCluster::CancelJob(const std::string& id) {
  User& user = *users_[id];
  if (user.told_cancelled > 0 || user.told_done > 0) return;
  if (!user.accepted) {
    After(2, [this, id] { CancelJob(id); });
    return;
  }
  user.asked_cancel = true;
  const int node = static_cast<int>(rng_() % nodes_.size());
  const uint64_t request = next_request_++;
  asked_[request] = {id, Asked::kCancel, false, now_};
  if (Hears(node))
    Feed(node, nodes_[node]->life,
         [request, id](Controller& c, Controller::Time time) {
           return c.Cancel(time, request, id);
         });
  After(2, [this, id] { CancelJob(id); });
}

void SimulatedCluster::UserAnswer(const ClientResponse& answer) {
  auto it = asked_.find(answer.request);
  if (it == asked_.end() || it->second.answered) return;
  it->second.answered = true;
  const Asked asked = it->second;
  if (!users_.count(asked.job)) {
    if (asked.kind == Asked::kSubmit) {
      if (answer.status == 422) ++refused_odd_jobs_;
      if (answer.status == 200 || answer.status == 201)
        ReportViolation("accepted though it can't run: " + asked.job);
    } else if (answer.status == 200) {
      ReportViolation("invented: " + asked.job);
    }
    return;
  }
  User& user = *users_[asked.job];
  const std::string& id = asked.job;
  // A question asked before the acceptance was told may be answered after it.
  if (answer.status == 404 && user.accepted && asked.at > user.accepted_at)
    ReportViolation("forgotten: " + id + " was accepted and got 404");
  if ((answer.status == 400 || answer.status == 422) && user.accepted)
    ReportViolation("forgotten: " + id + " was accepted and refused later");
  const bool close = now_ < close_until_;
  if (answer.status != 200 && answer.status != 201) {
    // It may have been recorded all the same.
    if (close && asked.kind == Asked::kSubmit && !user.accepted &&
        now_ > user.looked_at + 1)
      LookClosely(id);
    return;
  }
  user.last_answer = now_;
  if (answer.status == 201 && user.accepted && asked.at > user.accepted_at)
    ReportViolation("forgotten: " + id + " is accepted a second time");
  if (!user.submitted) ReportViolation("invented: " + id);
  if (!user.accepted) {
    user.accepted = true;
    user.accepted_at = now_;
    ++jobs_accepted_;
    After(5 * Random(), [this, id] { PollJob(id); });
    if (close) {
      LookClosely(id);
      if (Random() < 0.15)
        After(0.02 * Random(), [this, id] { CancelJob(id); });
    }
  }
  const bool says_done =
      answer.body.find("\"done\"") != std::string::npos &&
      answer.body.find("\"status\":\"done\"") != std::string::npos;
  const bool says_cancelled =
      answer.body.find("\"status\":\"cancelled\"") != std::string::npos;
  // Only what was asked after the final state had been told.
  if ((user.told_done > 0 && asked.at > user.told_done && !says_done) ||
      (user.told_cancelled > 0 && asked.at > user.told_cancelled &&
       !says_cancelled))
    ReportViolation("went_back: " + id + " is now " + answer.body);
  if (says_cancelled && !user.asked_cancel)
    ReportViolation("went_back: " + id + " was not cancelled by its user");
  if (says_done && user.told_done == 0) {
    user.told_done = now_;
    user.over = true;
    if (close) LookClosely(id);
    ++jobs_done_;
    if (user.done.size() < user.spec.tasks || user.spec.IsService())
      ReportViolation("not_done: " + id + " has tasks left");
  }
  if (says_cancelled && user.told_cancelled == 0) {
    user.told_cancelled = now_;
    user.over = true;
    if (close) LookClosely(id);
    ++jobs_cancelled_;
  }
}

// One more question or request, beside those that the user repeats.
void SimulatedCluster::Ask(int node, const std::string& id, int kind,
                           double delay_s) {
  After(delay_s, [this, node, id, kind] {
    if (!Hears(node)) return;
    const uint64_t request = next_request_++;
    asked_[request] = {id, static_cast<Asked::Kind>(kind), false, now_};
    Feed(node, nodes_[node]->life,
         [request, kind, spec = users_[id]->spec](Controller& c,
                                                  Controller::Time time) {
           return kind == Asked::kSubmit   ? c.Submit(time, request, spec)
                  : kind == Asked::kCancel ? c.Cancel(time, request, spec.id)
                                           : c.Poll(time, request, spec.id);
         });
  });
}

void SimulatedCluster::LookClosely(const std::string& id) {
  users_[id]->looked_at = now_;
  for (int node = 0; node < options_.nodes; ++node) {
    for (int look = 0; look < 3; ++look)
      Ask(node, id, Asked::kPoll, 0.001 + 0.02 * look * Random());
    Ask(node, id, Asked::kSubmit, 0.001 + 0.03 * Random());
  }
}

void SimulatedCluster::AskOddly() {
  if (now_ >= odd_until_) return;
  After(0.5, [this] { AskOddly(); });
  const int node = static_cast<int>(rng_() % nodes_.size());
  auto it = users_.begin();
  std::advance(it, rng_() % users_.size());
  const User& user = *it->second;
  if (user.told_done > 0)
    Ask(node, it->first, Asked::kCancel, 0);
  else if (user.accepted)
    Ask(node, it->first, Asked::kSubmit, 0);
  if (!Hears(node)) return;
  JobSpec spec = user.spec;
  spec.id = "job-8" + std::to_string(10000 + rng_() % 80000);
  switch (rng_() % 4) {
    case 0: spec.cpus = 1000; break;
    case 1: spec.team = "nobody"; break;
    case 2: spec.zone = "nowhere"; break;
    case 3: spec.types = {"none"}; break;
  }
  const uint64_t request = next_request_++;
  asked_[request] = {spec.id, Asked::kSubmit, false, now_};
  Feed(node, nodes_[node]->life,
       [request, spec](Controller& c, Controller::Time time) {
         return c.Submit(time, request, spec);
       });
}

// Jobs that run, and for `hang_s` up to eight machines that hold them hang.
void SimulatedCluster::CancelRunning(size_t count, double hang_s) {
  std::set<std::string> jobs;
  std::vector<Worker*> holders;
  for (auto& [name, worker] : workers_) {
    if (!worker->up) continue;
    for (const auto& [key, task] : worker->tasks) {
      const User& user = *users_[key.job];
      if (task.state != TaskState::kRunning || user.over || user.asked_cancel ||
          (jobs.size() >= count && !jobs.count(key.job)))
        continue;
      jobs.insert(key.job);
      if (holders.empty() || holders.back() != worker.get())
        holders.push_back(worker.get());
    }
  }
  for (const std::string& id : jobs)
    After(0.2 * Random(), [this, id] { CancelJob(id); });
  if (hang_s <= 0) return;
  if (holders.size() > 8) holders.resize(8);
  for (Worker* worker : holders) worker->hung_until = now_ + hang_s;
}

// --- Rules
// ---------------------------------------------------------------------------------

void SimulatedCluster::ReportViolation(const std::string& what) {
  violations_.push_back(std::to_string(now_) + " s: " + what);
}

namespace {
bool OnMachine(TaskState state) {
  return state == TaskState::kRunning || state == TaskState::kSaving;
}
}  // namespace

void SimulatedCluster::CheckStart(const Worker& worker, const SimTask& task) {
  const User& user = *users_[task.job];
  const JobSpec& spec = user.spec;
  const std::string name = task.job + "/" + std::to_string(task.task);
  std::map<std::string, uint32_t> in_zone;
  for (const std::string& other_name : told_to_start_[task.job]) {
    const Worker& other = *workers_[other_name];
    // One that hangs past its lease kills what it has before anything goes on.
    if (now_ - other.lease_from > settings_.worker_lease_s) continue;
    auto same = other.tasks.find({task.job, task.task});
    if (same != other.tasks.end() && OnMachine(same->second.state) &&
        &other != &worker)
      ReportViolation(std::string("ran_twice: ")
                          .append(name)
                          .append(" on ")
                          .append(worker.name)
                          .append(" and ")
                          .append(other_name));
    if (!spec.one_zone && !spec.spread) continue;
    for (const auto& [key, placed] : other.tasks)
      if (key.job == task.job && OnMachine(placed.state)) ++in_zone[other.zone];
  }
  if ((worker.spot && !spec.spot) ||
      (!spec.zone.empty() && spec.zone != worker.zone) ||
      (!spec.types.empty() && std::find(spec.types.begin(), spec.types.end(),
                                        worker.type) == spec.types.end()))
    ReportViolation("wrong_place: " + name + " on " + worker.name);
  if (spec.one_zone && !in_zone.empty() &&
      (in_zone.size() > 1 || in_zone.begin()->first != worker.zone))
    ReportViolation("wrong_place: " + name + " leaves its zone");
  if (spec.spread && in_zone[worker.zone] + 1 > (spec.tasks + 1) / 2)
    ReportViolation("wrong_place: " + name + " is not spread");
  if (user.told_cancelled > 0 &&
      now_ > user.told_cancelled + settings_.cancel_deadline_s)
    ReportViolation("ran_cancelled: " + name + " starts");
}

// Once all troubles are over, questions about each accepted job are answered.
void SimulatedCluster::CheckForgotten() {
  constexpr double kForgottenS = 75;
  if (EndlessTrouble()) return;
  for (const auto& [id, user] : users_)
    if (user->accepted && now_ - std::max({user->last_answer, troubles_over_,
                                           user->accepted_at}) >
                              kForgottenS) {
      ReportViolation("forgotten: no question about " + id + " is answered");
      user->last_answer = now_;
    }
}

// At least half of each class, of each team and of each class's largest jobs
// has begun, the largest within four minutes.
void SimulatedCluster::CheckServed() {
  if (EndlessTrouble()) return;
  constexpr double kBeginS = 240;
  struct Tally {
    int jobs = 0, served = 0;
  };
  std::map<std::string, Tally> tallies;
  std::map<std::string, std::vector<const User*>> classes;
  for (const auto& [id, user] : users_) {
    if (!user->accepted || user->asked_cancel) continue;
    for (const std::string& group :
         {"class " + user->spec.job_class, "team " + user->spec.team}) {
      ++tallies[group].jobs;
      if (user->began_at > 0) ++tallies[group].served;
    }
    classes[user->spec.job_class].push_back(user.get());
  }
  for (auto& [name, users] : classes) {
    std::sort(users.begin(), users.end(), [](const User* a, const User* b) {
      return a->spec.tasks > b->spec.tasks;
    });
    users.resize((users.size() + 3) / 4);
    for (const User* user : users) {
      Tally& tally = tallies["the largest of class " + name];
      ++tally.jobs;
      if (user->began_at > 0 && user->began_at - user->accepted_at < kBeginS)
        ++tally.served;
    }
  }
  for (const auto& [group, tally] : tallies)
    if (tally.served * 2 < tally.jobs)
      ReportViolation("starved: of " + group + " " +
                      std::to_string(tally.served) + " jobs of " +
                      std::to_string(tally.jobs) + " are served");
}

// Once all troubles are over, no job waits for 90 s beside room that fits it
// while its team is under its limit.
void SimulatedCluster::CheckWaiting() {
  constexpr double kWaitS = 90;
  After(1, [this] { CheckWaiting(); });
  if (EndlessTrouble() || options_.fleet || now_ < troubles_over_) return;
  const auto on = [](const SimTask& task) {
    return task.state != TaskState::kExited;
  };
  std::map<std::string, double> use;
  std::map<std::string, uint32_t> held;  // by job
  std::map<std::pair<std::string, std::string>, uint32_t> held_in;
  for (const auto& [name, worker] : workers_)
    for (const auto& [key, task] : worker->tasks) {
      if (!on(task)) continue;
      use[users_[key.job]->spec.team] += users_[key.job]->spec.cpus;
      ++held[key.job];
      ++held_in[{key.job, worker->zone}];
    }
  for (auto& [id, user] : users_) {
    const JobSpec& spec = user->spec;
    const auto fits = [&, &id = id](const Worker& w) {
      const MachineType& type = w.type == "small" ? types_[0] : types_[1];
      if (!w.up || w.sick || w.taken_at > 0 || now_ < w.silent_until ||
          now_ < w.hung_until || now_ < w.deaf_until || now_ < w.mute_until ||
          (w.spot && !spec.spot) ||
          (!spec.zone.empty() && spec.zone != w.zone) ||
          (!spec.types.empty() && spec.types[0] != w.type))
        return false;
      const auto here = held_in.find({id, w.zone});
      const uint32_t in_zone = here == held_in.end() ? 0 : here->second;
      if (spec.one_zone && held[id] > in_zone) return false;
      if (spec.spread && in_zone + 1 > (spec.tasks + 1) / 2) return false;
      double cpus = spec.cpus, memory = spec.memory_gb;
      for (const auto& [key, task] : w.tasks) {
        if (!on(task)) continue;
        cpus += users_[key.job]->spec.cpus;
        memory += users_[key.job]->spec.memory_gb;
      }
      return cpus <= type.cpus && memory <= type.memory_gb;
    };
    double limit = 0;
    for (const Team& team : settings_.teams)
      if (team.name == spec.team) limit = team.cpus_max;
    const bool waits =
        user->accepted && !user->over && !user->asked_cancel && !user->broken &&
        !user->spins && !user->replicas_end &&
        user->done.size() + held[id] < spec.tasks &&
        use[spec.team] + spec.cpus <= limit &&
        std::any_of(workers_.begin(), workers_.end(),
                    [&](const auto& item) { return fits(*item.second); });
    if (!waits || user->waits_since == 0 ||
        user->waits_since < user->last_start)
      user->waits_since = waits ? now_ : 0;
    if (waits && now_ - user->waits_since > kWaitS) {
      ReportViolation("left waiting: " + id + " beside room that fits");
      user->waits_since = now_;
    }
  }
}

// Once all troubles are over, no service is without a replica for 45 s (a
// lease, a boot and a start) while work of its priority leaves it room in the
// team's limit.
void SimulatedCluster::CheckReplicas() {
  constexpr double kDownS = 45;
  After(1, [this] { CheckReplicas(); });
  if (EndlessTrouble() || now_ < troubles_over_) return;
  std::map<std::string, uint32_t> on;
  for (const auto& [name, worker] : workers_)
    for (const auto& [key, task] : worker->tasks)
      if (OnMachine(task.state)) ++on[key.job];
  std::map<std::string, double> as_urgent;  // CPUs of its priority, by team
  for (const auto& [name, worker] : workers_) {
    for (const auto& [key, task] : worker->tasks) {
      const JobSpec& spec = users_[key.job]->spec;
      if (spec.priority == Priority::kProduction &&
          task.state != TaskState::kExited)
        as_urgent[spec.team] += spec.cpus;
    }
  }
  const auto limit = [&](const std::string& name) {
    for (const Team& team : settings_.teams)
      if (team.name == name) return team.cpus_max;
    return 0.0;
  };
  for (auto& [id, user] : users_) {
    const bool down =
        user->spec.IsService() && user->accepted && !user->asked_cancel &&
        !user->spins && !user->replicas_end && on[id] < user->spec.tasks &&
        as_urgent[user->spec.team] + user->spec.cpus <= limit(user->spec.team);
    if (!down) user->down_since = 0;
    if (down && user->down_since == 0) user->down_since = now_;
    if (down && now_ - user->down_since > kDownS) {
      ReportViolation("replicas of " + id +
                      " are not put back: " + std::to_string(on[id]) + " of " +
                      std::to_string(user->spec.tasks));
      user->down_since = now_;
    }
  }
}

void SimulatedCluster::CheckStep() {
  CheckForgotten();
  std::map<std::string, double> use;
  for (const auto& [name, worker] : workers_) {
    if (now_ - worker->lease_from > settings_.worker_lease_s) continue;
    for (const auto& [key, task] : worker->tasks) {
      if (!OnMachine(task.state)) continue;
      const User& user = *users_[key.job];
      use[user.spec.team] += user.spec.cpus;
      if (user.told_cancelled > 0 &&
          now_ > user.told_cancelled + settings_.cancel_deadline_s)
        ReportViolation("ran_cancelled: " + key.job + " is still on " + name);
    }
  }
  for (const Team& team : settings_.teams)
    if (use[team.name] > team.cpus_max + 1e-6)
      ReportViolation("quota: " + team.name + " uses " +
                      std::to_string(use[team.name]));
}

}  // namespace sorrelwood::test
