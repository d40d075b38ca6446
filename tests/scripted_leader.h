// Drives a single leader in tests with scripted surroundings: peers, state
// service, cloud and machines.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/controller/controller.h"
#include "core/coordination/keys.h"
#include "make_job.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood::test {

// Fencing token of the leader before the one under test.
inline constexpr uint64_t kOldToken = 7;

// State service and cloud answer at once; the test sends the heartbeats.
class ScriptedLeader {
 public:
  explicit ScriptedLeader(double heartbeat_interval_s = 2, double hold_s = 10,
                          double base_share = 0.1)
      : ScriptedLeader(heartbeat_interval_s, Policy(hold_s, base_share)) {}
  ScriptedLeader(double heartbeat_interval_s, const PolicySettings& policy)
      : policy_(policy) {
    settings_.node = "node-0";
    settings_.peers = {{"node-1", "a", "10.0.0.2:1"}};
    settings_.teams = {{"team", 10000, 20000, 0, 0},
                       {"other", 10, 100, 0, 0},
                       {"guests", 0, kNoLimit, 0, kNoLimit}};
    settings_.heartbeat_interval_s = heartbeat_interval_s;
    settings_.objectives = {{"wait", "urgent", 3, 1}};
    controller_ = std::make_unique<Controller>(settings_, policy_, 5);
    keys_["sw/term"] = {protocol::EncodeTerm(kOldToken), 1};
  }

  static PolicySettings Policy(double hold_s, double base_share) {
    PolicySettings policy;
    policy.idle_release_delay_s = hold_s;
    policy.baseline_initial_share = base_share;
    return policy;
  }

  void AddMachineRecord(const std::string& name) {
    MachineRecord record{name, "big", "a", name + ":1", false};
    keys_[keys::ForMachine(name)] = {protocol::EncodeMachineRecord(record),
                                     ++revision_};
  }
  // Stores a job. An earlier leader knew the jobs that are stored before the
  // election.
  void AddJob(const std::string& id, uint32_t tasks, double cpus = 1,
              const std::string& image = "",
              const std::string& job_class = "class",
              const std::string& team = "team") {
    LiveJob job = MakeSmallJob(id);
    job.spec.job_class = job_class;
    job.spec.team = team;
    job.spec.tasks = tasks;
    job.spec.cpus = cpus;
    job.spec.image = image;
    job.spec.spot = true;
    if (team == "guests") {
      job.spec.checkpoint_interval_s = 10;
      job.spec.save_s = 1;
    }
    AddLiveJob(std::move(job));
  }

  // Stores a service whose replicas take `cpus` each.
  void AddService(const std::string& id, uint32_t replicas, double cpus,
                  const std::string& team) {
    LiveJob job = MakeSmallJob(id);
    job.spec.job_class = "service";
    job.spec.team = team;
    job.spec.shape = JobShape::kService;
    job.spec.priority = Priority::kProduction;
    job.spec.tasks = replicas;
    job.spec.cpus = cpus;
    job.spec.estimate_s = 0;
    AddLiveJob(std::move(job));
  }

  // Stores the job as if its user had submitted it now.
  void AddLiveJob(LiveJob job) {
    job.submitted_wall_s = 1e6 + now_;
    const std::string key = keys::ForLiveJob(job.spec.id);
    const std::string record = protocol::EncodeLiveJob(job);
    keys_[key] = {record, ++revision_};
    news_.push_back({key, record, revision_});
  }

  void Run(double seconds) {
    for (const double until = now_ + seconds; now_ < until; now_ += 0.1) {
      Handle(controller_->Tick(Time()));
      max_items_examined_ =
          std::max(max_items_examined_, controller_->items_examined());
    }
  }

  // Delivers a heartbeat and returns the response.
  HeartbeatResponse OnHeartbeat(const std::string& machine,
                                uint64_t incarnation, uint64_t sequence,
                                uint64_t token,
                                std::vector<TaskStatus> tasks = {}) {
    Heartbeat heartbeat;
    heartbeat.machine = machine;
    heartbeat.address = machine + ":1";
    const auto place = machine_places.find(machine);
    heartbeat.type = place == machine_places.end() ? "big" : place->second.type;
    heartbeat.zone = place == machine_places.end() ? "a" : place->second.zone;
    heartbeat.preemption_notice_s = preemption_notice_s;
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.fencing_token = token;
    heartbeat.tasks = std::move(tasks);
    answer_ = HeartbeatResponse();
    Handle(controller_->OnHeartbeat(Time(), ++request_, heartbeat));
    max_items_examined_ =
        std::max(max_items_examined_, controller_->items_examined());
    return answer_;
  }

  // Types and zones of machines that are not of type `big` in zone `a`.
  struct Place {
    std::string type, zone;
  };
  std::map<std::string, Place> machine_places;
  // Machine types that the cloud offers.
  std::vector<MachineType> types = {
      {"big", 16, 0, 64, 100, 1, 1, 0.4, 10, {"a"}}};
  // Notice in the next heartbeats: seconds until the cloud preempts the
  // machine.
  std::optional<double> preemption_notice_s;

  // Simulates a paused process: time passes without any input.
  void PauseProcess(double seconds) { now_ += seconds; }
  void SetLeader(const std::string& node, uint64_t term) {
    keys_[keys::kLeader] = {protocol::EncodeLeaderRecord({node, term}),
                            ++revision_};
    news_.push_back({keys::kLeader, keys_[keys::kLeader].first, revision_});
  }
  void RemoveLeader() {
    keys_.erase(keys::kLeader);
    news_.push_back({keys::kLeader, "", ++revision_});
  }
  bool leading() { return controller_->CollectStatistics().leading; }
  double now() const { return now_; }
  // Release requests that were sent to the cloud.
  int releases_requested = 0;
  // Seconds left at the last release request until its send deadline.
  double last_release_window_s = 0;
  // Machines that provisioning returns, in order; without any the cloud reports
  // that it has no capacity.
  std::deque<std::string> machines_to_provision;
  // Submits a job of one task, or polls the job.
  ClientResponse SubmitOrPoll(bool submit, const std::string& id) {
    user_answer_ = ClientResponse{0, 0, "", 0};
    JobSpec spec;
    spec.id = id;
    spec.team = "team";
    spec.tasks = 1;
    spec.cpus = 1;
    Handle(submit ? controller_->Submit(Time(), ++request_, spec)
                  : controller_->Poll(Time(), ++request_, id));
    return user_answer_;
  }
  // The state service does not answer requests made for users.
  bool users_unanswered = false;
  // The state service does not answer renewals of the leader's lease.
  bool lease_unanswered = false;
  // The state service refuses renewals; does not answer watches; does not
  // answer listings of records.
  bool lease_refused = false, watch_unanswered = false,
       records_unanswered = false;
  // The next listing of this prefix is held until AnswerHeldListing().
  std::string held_prefix;
  void AnswerHeldListing() {
    held_prefix.clear();
    if (held_listing_) Serve(*std::exchange(held_listing_, std::nullopt));
  }
  // Whether watches have reported every change.
  bool WatchIsCurrent() const { return news_.empty(); }
  void Cancel(const std::string& id) {
    keys_.erase(keys::ForLiveJob(id));
    keys_[keys::ForFinalState(id)] = {
        protocol::EncodeFinalState(FinalState::kCancelled), ++revision_};
    news_.push_back({keys::ForLiveJob(id), "", revision_});
    news_.push_back({keys::ForFinalState(id),
                     keys_[keys::ForFinalState(id)].first, revision_});
  }
  void Resubmit(const JobSpec& spec) {
    user_answer_ = ClientResponse{0, 0, "", 0};
    Handle(controller_->Submit(Time(), ++request_, spec));
  }
  int user_status() const { return user_answer_.status; }
  size_t user_answer_bytes() const { return user_answer_.body.size(); }
  int user_reads = 0;

  Controller::Statistics CollectStatistics() {
    return controller_->CollectStatistics();
  }
  uint64_t token() { return controller_->CollectStatistics().term; }
  uint64_t max_items_examined() const { return max_items_examined_; }
  void ResetMaxItemsExamined() { max_items_examined_ = 0; }
  bool Released(const std::string& machine) const {
    return released_.count(machine) > 0;
  }
  bool HasKey(const std::string& key) const { return keys_.count(key) > 0; }
  bool cloud_unavailable = false;
  // Machines that the cloud lists; if empty, listing fails.
  std::vector<std::string> cloud_listing;
  // Heartbeats with which machines answer pushed commands; other machines do
  // not answer.
  std::map<std::string, Heartbeat> push_responses;

  static int CountStarts(const HeartbeatResponse& answer) {
    return static_cast<int>(std::count_if(
        answer.commands.begin(), answer.commands.end(),
        [](const Command& c) { return c.kind == CommandKind::kStart; }));
  }

 private:
  Controller::Time Time() const { return {now_, 1e6 + now_}; }

  void Handle(Actions actions) {
    for (Action& action : actions) {
      if (auto* answer = std::get_if<HeartbeatResponse>(&action))
        answer_ = *answer;
      if (auto* answer = std::get_if<ClientResponse>(&action))
        user_answer_ = *answer;
      if (auto* release = std::get_if<ReleaseMachines>(&action))
        last_release_window_s = release->not_after - now_;
      if (auto* release = std::get_if<ReleaseMachines>(&action))
        if (!cloud_unavailable)
          released_.insert(release->machines.begin(), release->machines.end());
      std::visit([this](auto& item) { Serve(item); }, action);
    }
  }
  template <typename Item>
  void Serve(const Item&) {}
  template <typename Result>
  void DeliverResult(const Result& result) {
    Handle(controller_->Deliver(Time(), result));
  }
  StateResult MakeOkResult(uint64_t id) const {
    StateResult result;
    result.id = id;
    result.outcome = Outcome::kOk;
    result.revision = revision_;
    return result;
  }
  void Serve(const PushedCommands& command) {
    PushResult result;
    result.id = command.id;
    auto it = push_responses.find(command.machine);
    result.answered = result.accepted = it != push_responses.end();
    if (result.answered) {
      result.heartbeat = it->second;
      result.heartbeat.fencing_token = command.fencing_token;
    }
    DeliverResult(result);
  }
  void Serve(const StateTransaction& t) {
    if (users_unanswered && (t.connection == StateConnection::kUser ||
                             t.connection == StateConnection::kPoll))
      return;
    for (const Precondition& guard : t.preconditions) {
      auto it = keys_.find(guard.key);
      if ((it == keys_.end() ? 0 : it->second.second) == guard.version)
        continue;
      StateResult result = MakeOkResult(t.id);
      result.outcome = Outcome::kConflict;
      result.failed_preconditions = {guard.key};
      DeliverResult(result);
      return;
    }
    ++revision_;
    for (const Mutation& op : t.mutations) {
      if (op.remove)
        keys_.erase(op.key);
      else
        keys_[op.key] = {op.value, revision_};
    }
    DeliverResult(MakeOkResult(t.id));
  }
  void Serve(const StateGet& get) {
    if (get.connection == StateConnection::kPoll) ++user_reads;
    if (users_unanswered && get.connection == StateConnection::kPoll) return;
    StateResult result = MakeOkResult(get.id);
    auto it = keys_.find(get.key);
    if (it == keys_.end())
      result.outcome = Outcome::kConflict;
    else
      result.items = {{get.key, it->second.first, it->second.second, false}};
    DeliverResult(result);
  }
  void Serve(const StateList& list) {
    if (records_unanswered && list.prefix != keys::kLivePrefix) return;
    if (!held_prefix.empty() && list.prefix == held_prefix) {
      held_listing_ = list;
      return;
    }
    StateResult result = MakeOkResult(list.id);
    for (const auto& [key, entry] : keys_)
      if (key.compare(0, list.prefix.size(), list.prefix) == 0)
        result.items.push_back({key, entry.first, entry.second, false});
    DeliverResult(result);
  }
  void Serve(const StateWatch& watch) {
    if (watch_unanswered) return;
    // Answers later, since the controller renews its watch at once and would
    // loop forever.
    if (news_.empty() && now_ < next_watch_answer_s_) {
      pending_watch_ = watch;
      return;
    }
    next_watch_answer_s_ = now_ + 1;
    StateResult result = MakeOkResult(watch.id);
    for (const auto& [key, value, version] : news_)
      result.items.push_back({key, value, version, value.empty()});
    news_.clear();
    DeliverResult(result);
  }
  // The leader sends its status once a second: an occasion to answer the
  // pending watch.
  void Serve(const SendPeerStatus&) {
    if (pending_watch_.id == 0) return;
    const StateWatch watch = std::exchange(pending_watch_, {});
    next_watch_answer_s_ = 0;
    Serve(watch);
  }
  void Serve(const LeaseCreate& create) {
    StateResult result = MakeOkResult(create.id);
    result.lease = 1;
    DeliverResult(result);
  }
  void Serve(const LeaseRenew& renew) {
    if (lease_unanswered) return;
    StateResult result = MakeOkResult(renew.id);
    if (lease_refused) result.outcome = Outcome::kRefused;
    DeliverResult(result);
  }
  void Serve(const FetchCatalog& catalog) {
    CloudResult result;
    result.id = catalog.id;
    result.outcome = Outcome::kOk;
    result.types = types;
    DeliverResult(result);
  }
  void Serve(const ProvisionMachines& request) {
    CloudResult result;
    result.id = request.id;
    result.outcome = Outcome::kOk;
    for (int i = 0; i < request.record.count && !machines_to_provision.empty();
         ++i) {
      result.machines.push_back(machines_to_provision.front());
      machines_to_provision.pop_front();
    }
    if (result.machines.empty())
      DeliverCloudResult(request.id, false);
    else
      DeliverResult(result);
  }
  void Serve(const ReleaseMachines& release) {
    ++releases_requested;
    DeliverCloudResult(release.id, !cloud_unavailable);
  }
  void Serve(const ListCloudMachines& list) {
    if (cloud_listing.empty()) return DeliverCloudResult(list.id, false);
    CloudResult result;
    result.id = list.id;
    result.outcome = Outcome::kOk;
    for (const std::string& name : cloud_listing)
      result.listed.push_back(
          {name, name + ":1", "big", "a", true, MachineStatus::kRunning, 100});
    DeliverResult(result);
  }
  void DeliverCloudResult(uint64_t id, bool ok) {
    CloudResult result;
    result.id = id;
    result.outcome = ok ? Outcome::kOk : Outcome::kRefused;
    result.no_capacity = !ok;
    DeliverResult(result);
  }

  ClusterSettings settings_;
  PolicySettings policy_;
  std::unique_ptr<Controller> controller_;
  double now_ = 100, next_watch_answer_s_ = 0;
  uint64_t request_ = 0, revision_ = 1, max_items_examined_ = 0;
  std::map<std::string, std::pair<std::string, uint64_t>> keys_;
  std::vector<std::tuple<std::string, std::string, uint64_t>> news_;
  StateWatch pending_watch_;
  std::optional<StateList> held_listing_;
  HeartbeatResponse answer_;
  ClientResponse user_answer_;
  std::set<std::string> released_;
};

// A healthy machine, which starts every task that it is ordered to start. The
// test calls SendHeartbeat() at the leader's heartbeat interval.
struct HealthyMachine {
  explicit HealthyMachine(std::string machine) : name(std::move(machine)) {}

  std::string name;
  uint64_t sequence = 0;
  std::vector<TaskStatus> tasks;

  // Returns the number of tasks that the response starts.
  int SendHeartbeat(ScriptedLeader* leader) {
    const uint64_t token = sequence == 0 ? 0 : leader->token();
    const HeartbeatResponse answer =
        leader->OnHeartbeat(name, 1, ++sequence, token, tasks);
    for (const Command& c : answer.commands)
      if (c.kind == CommandKind::kStart)
        tasks.push_back({c.job, c.task, c.attempt, TaskState::kRunning});
    return ScriptedLeader::CountStarts(answer);
  }
};

// Makes machines named n-0, n-1 and so on.
inline std::vector<HealthyMachine> MakeMachines(int count) {
  std::vector<HealthyMachine> machines;
  machines.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i)
    machines.emplace_back("n-" + std::to_string(i));
  return machines;
}

inline int CountStops(const HeartbeatResponse& answer) {
  return static_cast<int>(std::count_if(
      answer.commands.begin(), answer.commands.end(),
      [](const Command& c) { return c.kind == CommandKind::kStop; }));
}

}  // namespace sorrelwood::test
