// The main program: reads the command line and the settings files and runs a
// controller.
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

#include "base/constants/threads.h"
#include "config/cluster_settings.h"
#include "config/operator_settings.h"
#include "server/controller_server.h"
#include "version.h"

namespace sorrelwood {
namespace {

// The exit codes of the process.
constexpr int kExitOk = 0;
constexpr int kExitCannotListen = 1;  // can't listen on an address
constexpr int kExitBadSettings = 2;   // invalid options or settings

struct Options {
  std::string cluster_settings_path;
  std::string operator_settings_path;  // empty: default settings
  bool check_only = false;
};

// Sets up the log on stderr. Returns false and uses `info` if LOG_LEVEL is not
// a valid level.
bool ConfigureLog() {
  auto logger = spdlog::stderr_logger_mt("sorrelwood");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(logger);
  const char* value = std::getenv("LOG_LEVEL");
  const std::string level = value ? value : "info";
  if (level == "error")
    spdlog::set_level(spdlog::level::err);
  else if (level == "info")
    spdlog::set_level(spdlog::level::info);
  else if (level == "debug")
    spdlog::set_level(spdlog::level::debug);
  else
    return false;
  return true;
}

// A random number, so that each process of the same node has a different one.
uint64_t NewIncarnation() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

// Parses the command line. Returns an exit code if the process should exit.
tl::expected<Options, int> ParseOptions(int argc, char** argv) {
  Options options;
  CLI::App cli("sorrelwood: a cluster scheduler for rented machines");
  cli.add_option("--config", options.cluster_settings_path,
                 "settings file of the platform (JSON)")
      ->required();
  cli.add_option("--operator-config", options.operator_settings_path,
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

SettingsResult<PolicySettings> LoadPolicyOrDefaults(const Options& options) {
  if (options.operator_settings_path.empty()) return PolicySettings();
  return LoadOperatorSettings(options.operator_settings_path);
}

// Prints the error and returns the exit code.
int RejectSettings(const SettingsError& error) {
  std::cerr << "sorrelwood: " << error.Message() << "\n";
  return kExitBadSettings;
}

int Main(int argc, char** argv) {
  mallopt(M_ARENA_MAX, kMallocArenas);
  // Writing to a connection that the other side has closed must not kill the
  // process.
  signal(SIGPIPE, SIG_IGN);

  const auto options = ParseOptions(argc, argv);
  if (!options) return options.error();
  const auto settings = LoadClusterSettings(options->cluster_settings_path);
  if (!settings) return RejectSettings(settings.error());
  const auto policy = LoadPolicyOrDefaults(*options);
  if (!policy) return RejectSettings(policy.error());
  if (options->check_only) {
    std::cout << "the settings are good\n";
    return kExitOk;
  }
  if (!ConfigureLog())
    spdlog::error("LOG_LEVEL must be error, info or debug; using info");
  for (const std::string& ignored : settings->ignored_objectives)
    spdlog::error("ignoring an invalid objective in the settings: {}", ignored);
  ControllerServer server(*settings, *policy, NewIncarnation());
  return server.Run() ? kExitOk : kExitCannotListen;
}

}  // namespace
}  // namespace sorrelwood

int main(int argc, char** argv) { return sorrelwood::Main(argc, argv); }
