// The sorrelwood process: reads its options and settings and runs a controller.
#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <tl/expected.hpp>

#include "base/constants.h"
#include "config/cluster_settings.h"
#include "config/operator_settings.h"
#include "server/controller_server.h"
#include "version.h"

namespace sorrelwood {
namespace {

// The exit codes of the process.
constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;  // can't listen on an address
constexpr int kExitBadSettings = 2;   // options or settings can't be used

struct Options {
  std::string cluster_settings;   // path
  std::string operator_settings;  // path; empty: the defaults
  bool check_only = false;
};

// False when LOG_LEVEL names no level: then it is `info`.
bool StartLog() {
  auto logger = spdlog::stderr_logger_mt("sorrelwood");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level ? level : "info";
  if (name == "error")
    spdlog::set_level(spdlog::level::err);
  else if (name == "info")
    spdlog::set_level(spdlog::level::info);
  else if (name == "debug")
    spdlog::set_level(spdlog::level::debug);
  else
    return false;
  return true;
}

// Differs between processes of one node.
uint64_t NewIncarnation() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

// Reads the command line; an exit code instead when the process is to end.
tl::expected<Options, int> ParseOptions(int argc, char** argv) {
  Options options;
  CLI::App cli("sorrelwood: a cluster scheduler for rented machines");
  cli.add_option("--config", options.cluster_settings,
                 "settings file of the platform (JSON)")
      ->required();
  cli.add_option("--operator-config", options.operator_settings,
                 "the operators' own settings (protobuf text format)");
  cli.add_flag("--check", options.check_only,
               "read the settings, say what is wrong, exit");
  cli.set_version_flag("--version", std::string("sorrelwood ") + kVersion);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = cli.exit(error);
    return tl::unexpected(code == 0 ? kExitOk : kExitBadSettings);
  }
  return options;
}

SettingsResult<PolicySettings> LoadPolicy(const Options& options) {
  if (options.operator_settings.empty()) return PolicySettings();
  return LoadOperatorSettings(options.operator_settings);
}

int RejectSettings(const SettingsError& error) {
  std::cerr << "sorrelwood: " << error.Message() << "\n";
  return kExitBadSettings;
}

int Main(int argc, char** argv) {
  mallopt(M_ARENA_MAX, kMallocArenas);
  // A peer that closes its connection must not end the process.
  signal(SIGPIPE, SIG_IGN);

  const auto options = ParseOptions(argc, argv);
  if (!options) return options.error();
  const auto settings = LoadClusterSettings(options->cluster_settings);
  if (!settings) return RejectSettings(settings.error());
  const auto policy = LoadPolicy(*options);
  if (!policy) return RejectSettings(policy.error());
  if (options->check_only) {
    std::cout << "the settings are good\n";
    return kExitOk;
  }
  if (!StartLog())
    spdlog::error("LOG_LEVEL must be error, info or debug: it is info now");
  for (const std::string& ignored : settings->ignored_objectives)
    spdlog::error("left out of the settings: {}", ignored);
  ControllerServer server(*settings, *policy, NewIncarnation());
  return server.Run() ? kExitOk : kExitCannotListen;
}

}  // namespace
}  // namespace sorrelwood

int main(int argc, char** argv) { return sorrelwood::Main(argc, argv); }
