#include "config/cluster_settings.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/constants/controller_capacity.h"
#include "config/capacity.h"
#include "config/json_section.h"
#include "config/settings_file.h"

namespace sorrelwood {
namespace {

// Ranges shared by several fields. The upper ends only reject typing errors and
// values that would overflow.
constexpr double kMaxSeconds = 1e7;
constexpr double kMaxCount = 1e9;
constexpr double kMaxSockets = 1e6;
constexpr NumberRange kSeconds{0, kMaxSeconds};
constexpr NumberRange kCount{0, kMaxCount};
constexpr NumberRange kRatePerS{0.1, kMaxCount};
constexpr NumberRange kValueKib{0.1, kMaxCount};
// A conditional write takes at least two mutations.
constexpr NumberRange kMutationsPerTransaction{2, 1e6};

// A required number in the file and the member that it sets.
struct NumberField {
  const char* name;
  double ClusterSettings::*member;
  NumberRange range;
};

constexpr NumberField kWorkerFields[] = {
    {"report_s", &ClusterSettings::heartbeat_interval_s, {0.01, kMaxSeconds}},
    {"lease_s", &ClusterSettings::worker_lease_s, {0.1, kMaxSeconds}},
    {"cancel_s", &ClusterSettings::cancel_deadline_s, {0.1, kMaxSeconds}}};
constexpr NumberField kStateFields[] = {
    {"rps", &ClusterSettings::state_requests_per_s, kRatePerS},
    {"write_rps", &ClusterSettings::state_mutations_per_s, kRatePerS},
    {"value_kb", &ClusterSettings::state_max_value_kib, kValueKib}};
constexpr NumberField kCloudFields[] = {
    {"rps", &ClusterSettings::cloud_requests_per_s, {0.01, kMaxCount}},
    {"list_lag_s", &ClusterSettings::cloud_list_lag_s, kSeconds}};

template <size_t N>
void ReadNumbers(const JsonSection& section, const NumberField (&fields)[N],
                 ClusterSettings* settings) {
  for (const NumberField& field : fields)
    settings->*field.member = section.Number(field.name, field.range);
}

void ReadAddresses(const JsonSection& file, ClusterSettings* settings) {
  settings->node = file.Text("node_name");
  settings->zone = file.Text("site");
  settings->listen_address = file.Address("serve_on");
  settings->peer_listen_address = file.Address("mesh_addr");
}

void ReadPeers(const JsonSection& file, ClusterSettings* settings) {
  std::set<std::string> names{settings->node};
  for (const JsonSection& item : file.Sections("siblings")) {
    Peer peer{item.Text("node_name"), item.Text("site"), item.Address("addr")};
    if (!names.insert(peer.name).second)
      item.Report("node_name",
                  "must differ from this node's and all other siblings' names, "
                  "got \"" +
                      peer.name + "\" twice");
    settings->peers.push_back(std::move(peer));
  }
}

// 0 or a missing field means that the team has no limit.
double ReadLimit(const JsonSection& team, const char* name) {
  const double limit = team.OptionalNumber(name, kCount, 0);
  if (limit <= 0) return kNoLimit;
  return limit;
}

void ReadTeams(const JsonSection& cluster, ClusterSettings* settings) {
  std::set<std::string> names;
  for (const JsonSection& item : cluster.Sections("teams")) {
    Team team;
    team.name = item.Text("name");
    team.cpus = item.OptionalNumber("cpus", kCount, 0);
    team.cpus_max = ReadLimit(item, "cpus_max");
    team.gpus = item.OptionalNumber("gpus", kCount, 0);
    team.gpus_max = ReadLimit(item, "gpus_max");
    if (!names.insert(team.name).second)
      item.Report("name", "must differ from all other teams' names, got \"" +
                              team.name + "\" twice");
    settings->teams.push_back(std::move(team));
  }
}

// An invalid objective is ignored and listed in `ignored_objectives`, since the
// scheduler works without it; it does not make the file invalid.
void ReadObjectives(const JsonSection& cluster, ClusterSettings* settings) {
  for (const JsonSection& section : cluster.Sections("objectives")) {
    SettingsErrorCollector errors;
    const JsonSection item = section.WithErrors(&errors);
    Objective objective;
    objective.kind = item.Text("kind");
    objective.job_class = item.OptionalText("class");
    objective.within_s = item.OptionalNumber("within_s", kSeconds, 0);
    objective.deadline_factor = item.OptionalNumber("times", kCount, 1);
    if (errors.first())
      settings->ignored_objectives.push_back(errors.first()->Message());
    else
      settings->objectives.push_back(std::move(objective));
  }
}

void ReadStateLimits(const JsonSection& state, ClusterSettings* settings) {
  ReadNumbers(state, kStateFields, settings);
  settings->state_max_mutations_per_transaction =
      state.Count("txn_ops", kMutationsPerTransaction);
  if (!state.Has("next")) return;
  // Limits that the service has announced; those that are missing keep their
  // present values.
  const JsonSection next = state.Section("next");
  settings->next_state_limits = StateLimits{
      next.OptionalNumber("write_rps", kRatePerS,
                          settings->state_mutations_per_s),
      next.OptionalNumber("value_kb", kValueKib, settings->state_max_value_kib),
      static_cast<int>(
          next.OptionalNumber("txn_ops", kMutationsPerTransaction,
                              settings->state_max_mutations_per_transaction))};
}

void ReadMachineLimits(const JsonSection& limits, ClusterSettings* settings) {
  settings->socket_limit = limits.Count(
      "sockets", {kOutboundSockets + kMinConnections, kMaxSockets});
  settings->memory_limit_mib = limits.OptionalNumber("ram_mb", kCount, 0);
  const size_t threads = MaxRequestThreads(*settings);
  if (threads < kMinRequestThreads)
    limits.Report("ram_mb", "must leave memory for at least " +
                                std::to_string(kMinRequestThreads) +
                                " concurrent requests, got " +
                                FormatNumber(settings->memory_limit_mib) +
                                ", which leaves memory for " +
                                std::to_string(threads));
}

}  // namespace

SettingsResult<ClusterSettings> ParseClusterSettings(const std::string& text) {
  const auto document =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded())
    return tl::unexpected(SettingsError{"", "", "is not valid JSON"});
  if (!document.is_object())
    return tl::unexpected(SettingsError{
        "", "", "must be a JSON object, got " + DescribeJsonValue(document)});
  SettingsErrorCollector errors;
  const JsonSection file(&document, "", &errors);
  ClusterSettings settings;
  ReadAddresses(file, &settings);
  ReadPeers(file, &settings);
  const JsonSection services = file.Section("outside");
  settings.cloud_address = services.Address("cloud");
  settings.state_address = services.Address("state");
  const JsonSection cluster = file.Section("cluster");
  ReadTeams(cluster, &settings);
  ReadObjectives(cluster, &settings);
  ReadNumbers(cluster.Section("workers"), kWorkerFields, &settings);
  ReadStateLimits(cluster.Section("state"), &settings);
  ReadNumbers(cluster.Section("cloud"), kCloudFields, &settings);
  ReadMachineLimits(cluster.Section("machine_limits"), &settings);
  if (errors.first()) return tl::unexpected(*errors.first());
  return settings;
}

SettingsResult<ClusterSettings> LoadClusterSettings(const std::string& path) {
  return LoadSettingsFile(path, &ParseClusterSettings);
}

}  // namespace sorrelwood
