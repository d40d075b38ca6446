// A simulated world for several cores: state service, cloud, workers, users and
// faults, all drawn from one seed. It keeps its own account of what is on each
// machine and checks every rule of the protocol after each step.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/controller/controller.h"
#include "simulation/action_digest.h"
#include "simulation/log_summary.h"

namespace sorrelwood::test {

struct SimulationOptions {
  uint64_t seed = 1;
  int nodes = 3;
  double duration_s = 900;
  int jobs = 24;
  double submit_until_s = 120;
  double cancel_share = 0.1;
  // Chances per message.
  double lose = 0.0;         // request or answer is lost
  double repeat = 0.0;       // the request is carried out a second time, later
  double late = 0.0;         // carried out long after the sender gave up
  double report_copy = 0.0;  // a copy of a report comes, seconds to 40 s later
  double boot_fail = 0.0;
  double spot_per_hour = 0.0;
  double watch_delay_s = 0.0;  // news of the state service come up to this late
  double run_factor = 1.0;     // of the tasks' run times
  int capacity_factor = 1;     // of the cloud
  double checkpoint_share = 0.3;  // of the jobs can save their progress
  double broken_share = 0;        // jobs that fail everywhere until cancelled
  // A team without guarantee or limit, with one large array and many jobs of a
  // single task.
  bool guests = false;
  double one_zone_share = 0.2;  // of the jobs
  // Jobs of two or three tasks, each taking longer than the one before.
  bool ends_far_apart = false;
  // Jobs of a single task, so many a second from 20 s to 140 s, a quarter of
  // them cancelled.
  double singles_per_s = 0;
  // Services, submitted from `services_from_s` on; of some the replicas end by
  // themselves, done or failed, after some 20 s; of one all end at once.
  int services = 0;
  double services_from_s = 20;
  double replica_ends_share = 0;
  bool spinning_service = false;
  // The nodes begin without knowledge of the state service's coming limits, as
  // the version before, and are killed one after the other from this time on,
  // to come back with it; one that crashes before its turn does not. 0: no
  // roll.
  double roll_at_s = 0;
  double roll_every_s = 6;
  // The state service has its smaller limits from then on. 0: never.
  double limits_fall_at_s = 0;
  StateLimits limits_after{42, 0.6, 4};
  bool rate_limits = false;  // changes beyond the rate are refused
  // An array of 3,000 short tasks, whose progress outgrows the smaller limit.
  bool long_array = false;
  // Some 1,500 machines in three zones, arrays of up to 3,000 tasks, and the
  // reports, leases and rates of a large deployment.
  bool fleet = false;
  double fleet_scale = 1;  // of its machines, limits and rates
  size_t check_every = 1;  // steps between two looks at all machines
  PolicySettings policy;
  bool debug_log = false;  // the cores write debug lines too
  // A hot team: besides the jobs so many arrays of 12 long tasks, each saving
  // its progress, come within `burst_for_s`.
  int burst_jobs = 0;
  uint32_t burst_tasks = 12;
  double burst_at_s = 60, burst_for_s = 30;
  // Times at which things go wrong.
  struct Fault {
    double at_s = 0;
    enum Kind {
      kCrashLeader,
      kCrashAll,
      kCrashOther,
      kStateOutage,  // for all
      kStateRefusesLeader,
      kCloudOutage,
      kMachineDies,
      kMachineCut,  // silent, goes on inside, packets are held
      kMachineHangs,
      kMachineSick,  // fails every task
      kMachineDeaf,  // its reports arrive, answers and commands do not
      kMachineBack,  // restarted at once, in a new incarnation
      kSpotWave,
      kLeaderCutFromWorkers,
      kLeaderAlone,     // without state service and peers, not without workers
      kSiblingsRefuse,  // no note arrives
      kStateSlow,
      kZoneCut,      // nodes and workers of two zones can't reach each other
      kMassLoss,     // a third of the machines at once: half die, half hang
      kLeaderStops,  // stands still, clocks go on; what it decided leaves after
      kAllStop,
      kLeaderSilent,  // no network; what was sent in it arrives at its end
      kOtherSilent,
      kOtherAlone,
      kOtherRefused,
      kPollStorm,  // ten times as many questions, some about jobs of nobody
      kBootsLate,  // machines rented meanwhile take six times as long, or never
                   // come up
      kBootsAtOnce,  // they are up before the rental is answered
      // `share` of transactions is carried out 2 to 12 s late, or at once, and
      // no answer comes.
      kLateWrites,
      kAnswersLost,
      // Of `share` of the reports a copy comes again, 2 s to 1.5 leases later;
      // or to every node, just as the next leader begins.
      kLateReports,
      kCopiesForNext,
      kMachinesMute,  // reach no controller; direct commands reach them
      kCancelNow,     // `count` jobs that run; with for_s, machines of theirs
                      // hang for so long
      kCancelAtEnd,   // `share` of the jobs whose last task ends
      kOddRequests,   // repeats, cancellations of what is done, jobs that fit
                      // nowhere
      kCloseLooks,    // all nodes asked within milliseconds of each change
    } kind = kCrashLeader;
    double for_s = 0;
    double restart_s = 3;
    double share = 0.5;
    size_t count = 1;  // of machines or jobs
  };
  std::vector<Fault> faults;
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(const SimulationOptions& options);
  ~SimulatedCluster();

  void Run();

  const std::vector<std::string>& violations() const { return violations_; }
  int tasks_started() const { return tasks_started_; }
  int jobs_done() const { return jobs_done_; }
  int jobs_cancelled() const { return jobs_cancelled_; }
  int jobs_accepted() const { return jobs_accepted_; }
  // Accepted services whose cancellation was not confirmed.
  int services_left() const;
  // Starts of replicas of the service that ends at once.
  int spins() const { return spins_; }
  int refused_for_size() const { return refused_for_size_; }
  int refused_for_rate() const { return refused_for_rate_; }
  bool SomeProgressInParts() const;
  int takeovers() const { return takeovers_; }
  // Moves that leaders have begun and finished, over all terms.
  uint64_t moves_begun() const { return moves_begun_; }
  uint64_t moves_finished() const { return moves_finished_; }
  // The imbalance that the leader last measured, and when it was last over
  // `margin` (s; 0: never).
  double imbalance() const { return imbalance_; }
  double uneven_until() const { return uneven_until_; }
  // Its mean over the seconds from `from_s` to `until_s`.
  double MeanImbalance(double from_s, double until_s) const;
  // Seconds of machines that were rented, and of tasks that ran, so far.
  double machine_s() const;
  // Mean time from acceptance to being told done (s).
  double MeanJobTime() const;
  size_t machines_left() const;
  int machines_rented() const { return next_machine_ - 1; }
  std::string Unfinished() const;
  int stops_at_limit() const { return stops_; }
  double now() const { return now_; }
  // The most machines and jobs that any node looked at for one input.
  uint64_t most_work() const { return most_work_; }
  // Processor time of the leaders (s), in all and for the costliest input, and
  // the reports that they were sent.
  struct Cost {
    double total_s = 0, most_s = 0;
    uint64_t reports = 0;
    double PerHeartbeat() const {
      return reports == 0 ? 0 : total_s / static_cast<double>(reports);
    }
  };
  const Cost& cost() const { return cost_; }
  // Counts what is done from now on.
  void ForgetCost() { cost_ = Cost(); }
  // Machines without fault that were returned as faulty.
  int wrongly_returned() const { return wrongly_returned_; }
  // Ticks of nodes that told the load balancer to leave them out.
  int unhealthy_ticks() const { return unhealthy_ticks_; }
  // Tests add jobs of their own before Run.
  void AddJob(double at_s, JobSpec spec, double run_s, double cancel_at_s = 0);

  // Launches that a machine was given after the cancellation was confirmed.
  int late_launches() const { return late_launches_; }
  int refused_odd_jobs() const { return refused_odd_jobs_; }
  // Of all actions of all nodes so far.
  uint64_t digest() const { return digest_.value(); }
  const LogSummary& log_summary() const { return log_summary_; }

 private:
  struct Node;
  struct Worker;
  struct SimTask;
  struct User;
  struct Entry {
    std::string value;
    uint64_t version = 0, lease = 0;
  };
  struct Lease {
    double ttl = 0, until = 0;
  };
  struct Change {
    uint64_t revision = 0;
    KeyValue item;
  };
  struct Watcher {
    int node = 0, life = 0;
    StateWatch watch;
  };

  using Event = std::function<void()>;
  void At(double time, Event event);
  void After(double delay, Event event) { At(now_ + delay, std::move(event)); }
  double Random() { return std::uniform_real_distribution<double>()(rng_); }
  double Latency() { return 0.002 + 0.01 * Random(); }

  // The trouble begins now.
  void InjectFault(const SimulationOptions::Fault& fault);

  // Nodes.
  void StartNode(int index);
  void CrashNode(int index, double restart_s);
  void TickNode(int index, int life);
  void CountWrongRelease(const LogEvent& event);
  void Handle(int index, Actions actions);
  template <typename Input>
  void Feed(int index, int life, Input input);
  // What the node does once it has decided it: after a stop of the process, if
  // one came between; never, if it has ended.
  void Leave(int index, const Event& event);
  double Clock(int index) const;
  void Perform(int index, Action action);
  template <typename Request>
  bool TooLate(int index, const Request& request);
  bool Hears(int node) const;  // what users send
  int LeaderIndex() const;

  // State service.
  template <typename Request>
  void AskState(int node, const Request& request, bool watch = false);
  StateResult Serve(const StateTransaction& request);
  StateResult Serve(const StateGet& request);
  StateResult Serve(const StateList& request);
  StateResult Serve(const LeaseCreate& request);
  StateResult Serve(const LeaseRenew& request);
  bool StateDown(int node) const;
  void ApplyOp(const Mutation& op);
  void ExpireLeases();
  void AnswerWatchers();
  StateResult WatchAnswer(const StateWatch& watch) const;

  // Cloud.
  template <typename Request>
  void AskCloud(int node, const Request& request);
  CloudResult Serve(const FetchCatalog& request);
  CloudResult Serve(const ProvisionMachines& request);
  CloudResult Serve(const ReleaseMachines& request);
  CloudResult Serve(const ListCloudMachines& request);

  // Workers.
  void Boot(const std::string& name);
  void Kill(const std::string& name);
  void WorkerLoop(const std::string& name);
  void SendHeartbeat(Worker& worker);
  Heartbeat MakeHeartbeat(Worker& worker);
  void Execute(Worker& worker, const std::vector<Command>& commands);
  void StartTask(Worker& worker, const Command& command);
  void TaskHasImage(const std::string& machine, const TaskId& key,
                    uint64_t attempt);
  void EndTask(Worker& worker, SimTask& task, ExitReason reason);
  void LoseAll(Worker& worker);
  void OnNewIncarnation(Worker& worker);
  bool WrittenDown(const std::string& job, uint32_t task) const;
  bool Reachable(int node, const Worker& worker) const;

  // Users.
  void SubmitJob(const std::string& id);
  void PollJob(const std::string& id);
  void CancelJob(const std::string& id);
  void UserAnswer(const ClientResponse& answer);
  void Ask(int node, const std::string& id, int kind, double delay_s);
  void LookClosely(const std::string& id);
  void AskOddly();
  void CancelRunning(size_t count, double hang_s);

  // Rules.
  void ReportViolation(const std::string& what);
  void CheckStart(const Worker& worker, const SimTask& task);
  void CheckStep();
  bool EndlessTrouble() const { return options_.lose > 0.05; }
  void CheckForgotten();
  void CheckServed();
  void CheckWaiting();
  void CheckReplicas();
  void AddServices();
  void AddLongArray();
  void AddBurst();
  void CountMoves(const Rebalancer::Statistics& moves);
  void Roll();
  // Whether the transaction is within the limits of now, and why not.
  StateRefusal OverLimits(const StateTransaction& request);
  // By what means a replica is to end by itself, and after how long.
  void PlanReplicaEnd(const std::string& machine, const TaskId& key,
                      uint64_t timer);
  void BecomeFleet();
  JobSpec FleetJob(JobSpec spec);

  SimulationOptions options_;
  ClusterSettings settings_;
  std::mt19937_64 rng_;
  double now_ = 0;
  uint64_t event_order_ = 0;
  struct Queued {
    double time;
    uint64_t order;
    Event event;
    bool operator<(const Queued& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  std::priority_queue<Queued> events_;

  std::vector<std::unique_ptr<Node>> nodes_;

  std::map<std::string, Entry> keys_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  std::vector<Watcher> watchers_;
  uint64_t revision_ = 1, next_lease_ = 1;
  double state_down_until_ = 0, state_slow_until_ = 0, mesh_cut_until_ = 0;
  double late_writes_until_ = 0, late_writes_share_ = 0;
  double answers_lost_until_ = 0, answers_lost_share_ = 0;
  double late_reports_until_ = 0, late_reports_share_ = 0;
  double copies_until_ = 0, copies_share_ = 0;
  std::vector<std::pair<uint64_t, Heartbeat>> copies_for_next_;
  double cancel_at_end_until_ = 0, cancel_at_end_share_ = 0;
  double odd_until_ = 0, close_until_ = 0;
  int late_launches_ = 0, refused_odd_jobs_ = 0;
  double storm_until_ = 0, boots_late_until_ = 0, boots_at_once_until_ = 0;
  double troubles_over_ = 0;  // when the last of them ends

  std::vector<MachineType> types_;
  std::map<std::string, int> capacity_;
  std::map<std::string, std::vector<std::string>> rents_;
  std::vector<std::pair<double, std::vector<ListedMachine>>> lists_;
  int next_machine_ = 1;
  double cloud_down_until_ = 0;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  // Workers that were ever told to start a task of the job.
  std::map<std::string, std::set<std::string>> told_to_start_;

  std::map<std::string, std::unique_ptr<User>> users_;
  uint64_t next_request_ = 1;
  struct Asked {
    std::string job;
    enum Kind { kSubmit, kPoll, kCancel } kind = kPoll;
    bool answered = false;
    double at = 0;
  };
  std::map<uint64_t, Asked> asked_;
  struct AskedReport {
    std::string worker;
    int node = 0;
    uint64_t incarnation = 0, sequence = 0;
    double sent = 0;
  };
  std::map<uint64_t, AskedReport> reports_;
  double zone_cut_until_ = 0;

  std::vector<std::string> violations_;
  int tasks_started_ = 0, jobs_done_ = 0, jobs_cancelled_ = 0;
  int jobs_accepted_ = 0, takeovers_ = 0, stops_ = 0;
  size_t steps_ = 0;
  int unhealthy_ticks_ = 0, wrongly_returned_ = 0;
  uint64_t most_work_ = 0;
  Cost cost_;
  uint64_t moves_begun_ = 0, moves_finished_ = 0;
  double imbalance_ = 0, uneven_until_ = 0;
  std::map<int, double> imbalance_at_;  // by second
  Rebalancer::Statistics last_moves_;
  std::set<uint64_t> terms_seen_;
  ActionDigest digest_;
  LogSummary log_summary_;
  int spins_ = 0, refused_for_size_ = 0, refused_for_rate_ = 0;
  double change_tokens_ = 0, change_tokens_at_ = 0;
  std::map<std::string, int> too_large_;  // refusals of one value, by its text
};

}  // namespace sorrelwood::test
