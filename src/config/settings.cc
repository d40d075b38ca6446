#include "config/settings.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "base/constants.h"
#include "http/endpoint.h"
#include "operator.pb.h"

namespace sorrelwood {
namespace {

using nlohmann::json;

bool ReadFile(const std::string& path, std::string* text, std::string* error) {
  std::ifstream file(path);
  if (!file) {
    *error = path + ": can't be read";
    return false;
  }
  std::ostringstream content;
  content << file.rdbuf();
  *text = content.str();
  return true;
}

// Reads nested fields; the first thing that is wrong is kept.
class Section {
 public:
  Section(const json* object, std::string name, std::string* error)
      : object_(object), name_(std::move(name)), error_(error) {}

  bool Has(const char* name) const { return Find(name) != nullptr; }
  Section Sub(const char* name) const {
    const json* found = Find(name);
    if (!found || !found->is_object()) {
      Wrong(name, "must be an object");
      found = nullptr;
    }
    return Section(found, Path(name), error_);
  }
  std::string Text(const char* name) const {
    const json* found = Find(name);
    if (found && found->is_string() && !found->get<std::string>().empty())
      return found->get<std::string>();
    Wrong(name, "must be a string, not empty");
    return "";
  }
  std::string OptionalText(const char* name) const {
    return Find(name) ? Text(name) : std::string();
  }
  std::string Address(const char* name) const {
    std::string text = Text(name);
    Endpoint endpoint;
    if (!text.empty() && !ParseEndpoint(text, &endpoint))
      Wrong(name, "must be an IPv4 address and a port");
    return text;
  }
  // With a fallback the field may be missing.
  double Number(const char* name, double least, double most,
                const double* fallback = nullptr) const {
    const json* found = Find(name);
    if (!found && fallback) return *fallback;
    if (found && found->is_number()) {
      const double number = found->get<double>();
      if (std::isfinite(number) && number >= least && number <= most)
        return number;
    }
    std::ostringstream what;
    what << "must be a number from " << least << " to " << most;
    Wrong(name, what.str());
    return least;
  }
  std::vector<Section> List(const char* name) const {
    std::vector<Section> sections;
    const json* found = Find(name);
    if (!found) return sections;
    if (!found->is_array()) {
      Wrong(name, "must be a list");
      return sections;
    }
    int index = 0;
    for (const json& item : *found) {
      const std::string path = Path(name) + "[" + std::to_string(index++) + "]";
      if (!item.is_object() && error_->empty())
        *error_ = path + ": must be an object";
      sections.emplace_back(item.is_object() ? &item : nullptr, path, error_);
    }
    return sections;
  }
  // The same section, its faults told elsewhere.
  Section Reporting(std::string* error) const {
    return Section(object_, name_, error);
  }
  void Wrong(const char* name, const std::string& what) const {
    if (error_->empty()) *error_ = Path(name) + ": " + what;
  }

 private:
  const json* Find(const char* name) const {
    if (!object_) return nullptr;
    auto it = object_->find(name);
    return it == object_->end() || it->is_null() ? nullptr : &*it;
  }
  std::string Path(const char* name) const {
    return name_.empty() ? name : name_ + "." + name;
  }
  const json* object_;
  std::string name_;
  std::string* error_;
};

constexpr double kMostSeconds = 1e7;
constexpr double kMostCount = 1e9;

class FirstError : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, google::protobuf::io::ColumnNumber column,
                const std::string& message) override {
    if (!text.empty()) return;
    text = "line " + std::to_string(line + 1) + ", column " +
           std::to_string(column + 1) + ": " + message;
  }
  std::string text;
};

// Checks values of the operators' settings; the first that is out of its range
// is kept as the error.
class RangeCheck {
 public:
  explicit RangeCheck(std::string* error) : error_(error) {}

  double operator()(const char* field, double value, double least,
                    double most) const {
    if ((value >= least && value <= most) || !error_->empty()) return value;
    std::ostringstream what;
    what << field << ": must be from " << least << " to " << most;
    *error_ = what.str();
    return value;
  }
  int Count(const char* field, int value, int least, int most) const {
    return static_cast<int>((*this)(field, value, least, most));
  }
  void Wrong(const std::string& what) const {
    if (error_->empty()) *error_ = what;
  }

 private:
  std::string* error_;
};

void ReadWaitingPolicy(const config::WaitingPolicy& waiting,
                       const RangeCheck& check, PolicySettings* settings) {
  if (waiting.has_speculation_s())
    settings->speculation_limit_s =
        check("waiting_policy.speculation_s", waiting.speculation_s(), 1,
              kMostSeconds);
  if (waiting.has_wait_limit_s())
    settings->wait_limit_s = check("waiting_policy.wait_limit_s",
                                   waiting.wait_limit_s(), 1, kMostSeconds);
  if (waiting.has_refit_s())
    settings->predictor_fit_interval_s =
        check("waiting_policy.refit_s", waiting.refit_s(), 1, kMostSeconds);
  if (waiting.has_tree_depth())
    settings->tree_depth =
        check.Count("waiting_policy.tree_depth", waiting.tree_depth(), 1, 12);
  if (waiting.has_tree_leaf_samples())
    settings->tree_min_leaf_samples =
        check.Count("waiting_policy.tree_leaf_samples",
                    waiting.tree_leaf_samples(), 1, 1000);
  if (waiting.has_tree_count())
    settings->tree_count =
        check.Count("waiting_policy.tree_count", waiting.tree_count(), 1, 50);
  if (waiting.has_tree_samples())
    settings->tree_max_samples = check.Count("waiting_policy.tree_samples",
                                             waiting.tree_samples(), 10, 20000);
}

void ReadFleet(const config::Fleet& fleet, const RangeCheck& check,
               PolicySettings* settings) {
  if (fleet.has_hold_s())
    settings->idle_release_delay_s =
        check("fleet.hold_s", fleet.hold_s(), 0, kMostSeconds);
  if (fleet.has_drain_s())
    settings->backlog_limit_s =
        check("fleet.drain_s", fleet.drain_s(), 1, kMostSeconds);
  if (fleet.has_dear_drain_s())
    settings->premium_backlog_limit_s =
        check("fleet.dear_drain_s", fleet.dear_drain_s(), 1, kMostSeconds);
  if (fleet.has_base_share())
    settings->baseline_initial_share =
        check("fleet.base_share", fleet.base_share(), 0, 10);
  if (fleet.has_use_spot()) settings->use_spot = fleet.use_spot();
}

void ReadLoadSpread(const config::LoadSpread& spread, const RangeCheck& check,
                    SpreadSettings* settings) {
  constexpr double kLongestPauseS = 3600;
  constexpr int kMostMoves = 100000;
  settings->placement = spread.placement();
  settings->moves = spread.moves();
  if (spread.has_headroom())
    settings->headroom =
        check("load_spread.headroom", spread.headroom(), 0.05, 4);
  if (spread.has_begin_imbalance())
    settings->start_imbalance =
        check("load_spread.begin_imbalance", spread.begin_imbalance(), 0.01, 1);
  if (spread.has_end_imbalance())
    settings->stop_imbalance =
        check("load_spread.end_imbalance", spread.end_imbalance(), 0, 1);
  if (spread.has_lasting_s())
    settings->min_imbalance_duration_s =
        check("load_spread.lasting_s", spread.lasting_s(), 1, kLongestPauseS);
  if (spread.has_pause_s())
    settings->cooldown_s =
        check("load_spread.pause_s", spread.pause_s(), 10, kLongestPauseS);
  if (spread.has_moves_per_minute())
    settings->moves_per_minute =
        check.Count("load_spread.moves_per_minute", spread.moves_per_minute(),
                    1, kMostMoves);
  if (spread.has_team_moves_per_minute())
    settings->team_moves_per_minute =
        check.Count("load_spread.team_moves_per_minute",
                    spread.team_moves_per_minute(), 1, kMostMoves);
  if (spread.has_job_moves_per_minute())
    settings->job_moves_per_minute =
        check.Count("load_spread.job_moves_per_minute",
                    spread.job_moves_per_minute(), 1, kMostMoves);
  if (spread.has_hold_place_s())
    settings->reservation_timeout_s =
        check("load_spread.hold_place_s", spread.hold_place_s(), 2, 120);
  if (spread.has_most_fetches())
    settings->max_concurrent_fetches =
        check.Count("load_spread.most_fetches", spread.most_fetches(), 1, 100);
  if (settings->stop_imbalance >= settings->start_imbalance)
    check.Wrong("load_spread.end_imbalance: must be less than begin_imbalance");
}

}  // namespace

bool ParseClusterSettings(const std::string& text, ClusterSettings* s,
                          std::string* error) {
  error->clear();
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) {
    *error = "not a JSON object";
    return false;
  }
  const Section top(&object, "", error);
  s->node = top.Text("node_name");
  s->zone = top.Text("site");
  s->listen_address = top.Address("serve_on");
  s->peer_listen_address = top.Address("mesh_addr");
  std::set<std::string> names{s->node};
  for (const Section& item : top.List("siblings")) {
    Peer peer{item.Text("node_name"), item.Text("site"), item.Address("addr")};
    if (!names.insert(peer.name).second)
      item.Wrong("node_name", "stands twice");
    s->peers.push_back(std::move(peer));
  }
  const Section outside = top.Sub("outside");
  s->cloud_address = outside.Address("cloud");
  s->state_address = outside.Address("state");
  const Section cluster = top.Sub("cluster");
  std::set<std::string> teams;
  const double none = 0, once = 1;
  for (const Section& item : cluster.List("teams")) {
    Team team;
    team.name = item.Text("name");
    // 0, or a field that is missing, means none: no guarantee, no limit.
    const auto limit = [&](const char* name) {
      const double most = item.Number(name, 0, kMostCount, &none);
      if (most <= 0) return kNoLimit;
      return most;
    };
    team.cpus = item.Number("cpus", 0, kMostCount, &none);
    team.cpus_max = limit("cpus_max");
    team.gpus = item.Number("gpus", 0, kMostCount, &none);
    team.gpus_max = limit("gpus_max");
    if (!teams.insert(team.name).second) item.Wrong("name", "stands twice");
    s->teams.push_back(std::move(team));
  }
  for (const Section& listed : cluster.List("objectives")) {
    // An aim that can't be read is left out: the rest can be served without it.
    std::string wrong;
    const Section item = listed.Reporting(&wrong);
    Objective objective;
    objective.kind = item.Text("kind");
    objective.job_class = item.OptionalText("class");
    objective.within_s = item.Number("within_s", 0, kMostSeconds, &none);
    objective.deadline_factor = item.Number("times", 0, kMostCount, &once);
    if (wrong.empty())
      s->objectives.push_back(std::move(objective));
    else
      s->ignored_objectives.push_back(wrong);
  }
  const Section workers = cluster.Sub("workers");
  s->heartbeat_interval_s = workers.Number("report_s", 0.01, kMostSeconds);
  s->worker_lease_s = workers.Number("lease_s", 0.1, kMostSeconds);
  s->cancel_deadline_s = workers.Number("cancel_s", 0.1, kMostSeconds);
  const Section state = cluster.Sub("state");
  s->state_requests_per_s = state.Number("rps", 0.1, kMostCount);
  s->state_mutations_per_s = state.Number("write_rps", 0.1, kMostCount);
  s->state_max_value_kib = state.Number("value_kb", 0.1, kMostCount);
  s->state_max_mutations_per_transaction =
      static_cast<int>(state.Number("txn_ops", 2, 1e6));
  if (state.Has("next")) {
    const Section next = state.Sub("next");
    // What it does not name stays as it is.
    const double mutations = s->state_max_mutations_per_transaction;
    s->next_state_limits = StateLimits{
        next.Number("write_rps", 0.1, kMostCount, &s->state_mutations_per_s),
        next.Number("value_kb", 0.1, kMostCount, &s->state_max_value_kib),
        static_cast<int>(next.Number("txn_ops", 2, 1e6, &mutations))};
  }
  const Section cloud = cluster.Sub("cloud");
  s->cloud_requests_per_s = cloud.Number("rps", 0.01, kMostCount);
  s->cloud_list_lag_s = cloud.Number("list_lag_s", 0, kMostSeconds);
  const Section limits = cluster.Sub("machine_limits");
  s->socket_limit = static_cast<int>(
      limits.Number("sockets", kOwnSockets + kLeastConnections, 1e6));
  s->memory_limit_mib = limits.Number("ram_mb", 0, kMostCount, &none);
  if (MostThreads(*s) < kLeastThreads)
    limits.Wrong("ram_mb", "is too little: " + std::to_string(MostThreads(*s)) +
                               " requests at once would fit, " +
                               std::to_string(kLeastThreads) +
                               " are the least");
  return error->empty();
}

size_t MostConnections(const ClusterSettings& settings) {
  return static_cast<size_t>(std::max(0, settings.socket_limit - kOwnSockets));
}

size_t MostThreads(const ClusterSettings& settings) {
  double most = kMostThreads;
  if (settings.memory_limit_mib > 0) {
    const double kib =
        (settings.memory_limit_mib - kCoreMemoryMib) * 1024 -
        static_cast<double>(MostConnections(settings)) * kConnectionKib;
    most = std::min(most, kib / kRequestKib);
  }
  return static_cast<size_t>(std::max(0.0, most));
}

size_t MostWorkers(const ClusterSettings& settings) {
  return static_cast<size_t>(static_cast<double>(MostConnections(settings)) *
                             kWorkerConnections);
}

size_t MostMachines(const ClusterSettings& settings) {
  const size_t by_connections = MostWorkers(settings);
  if (settings.memory_limit_mib <= 0) return by_connections;
  const double left_kib =
      (settings.memory_limit_mib - kCoreMemoryMib) * 1024 -
      static_cast<double>(MostConnections(settings)) * kConnectionKib -
      static_cast<double>(kLeastThreads) * kRequestKib;
  const double by_memory = std::max(0.0, left_kib / kMachineKib);
  return std::min(by_connections, static_cast<size_t>(by_memory));
}

std::string DescribeCapacity(const ClusterSettings& settings) {
  const size_t machines = MostMachines(settings);
  const double records_per_s =
      settings.state_mutations_per_s * kLeaderWriteShare;
  std::ostringstream text;
  text << "the settings carry up to " << machines << " machines, bounded by "
       << (machines < MostWorkers(settings) ? "memory" : "sockets")
       << "; the records of so many new ones take "
       << std::lround(static_cast<double>(machines) / records_per_s) << " s";
  return text.str();
}

bool LoadClusterSettings(const std::string& path, ClusterSettings* settings,
                         std::string* error) {
  std::string text;
  if (!ReadFile(path, &text, error)) return false;
  if (ParseClusterSettings(text, settings, error)) return true;
  *error = path + ": " + *error;
  return false;
}

bool ParseOperatorSettings(const std::string& text, PolicySettings* settings,
                           std::string* error) {
  error->clear();
  config::OperatorSettings parsed;
  google::protobuf::TextFormat::Parser parser;
  FirstError first;
  parser.RecordErrorsTo(&first);
  if (!parser.ParseFromString(text, &parsed)) {
    *error = first.text;
    return false;
  }
  const RangeCheck check(error);
  ReadWaitingPolicy(parsed.waiting_policy(), check, settings);
  ReadFleet(parsed.fleet(), check, settings);
  ReadLoadSpread(parsed.load_spread(), check, &settings->spread);
  return error->empty();
}

bool LoadOperatorSettings(const std::string& path, PolicySettings* settings,
                          std::string* error) {
  std::string text;
  if (!ReadFile(path, &text, error)) return false;
  if (ParseOperatorSettings(text, settings, error)) return true;
  *error = path + ": " + *error;
  return false;
}

}  // namespace sorrelwood
