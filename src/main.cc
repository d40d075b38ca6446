#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "base/constants.h"
#include "config/settings.h"
#include "server/app.h"
#include "version.h"

namespace sorrelwood {
namespace {

// Settings that can't be used.
constexpr int kBadSettings = 2;

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

uint64_t NewIncarnation() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

int Main(int argc, char** argv) {
  // Few arenas: each one more costs memory that a small machine lacks.
  mallopt(M_ARENA_MAX, kMallocArenas);
  signal(SIGPIPE, SIG_IGN);

  CLI::App cli("sorrelwood: a cluster scheduler for rented machines");
  std::string config, operator_config;
  bool check = false;
  cli.add_option("--config", config, "settings file of the platform (JSON)")
      ->required();
  cli.add_option("--operator-config", operator_config,
                 "the operators' own settings (protobuf text format)");
  cli.add_flag("--check", check, "read the settings, say what is wrong, exit");
  cli.set_version_flag("--version", std::string("sorrelwood ") + kVersion);
  try {
    cli.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = cli.exit(e);
    return code == 0 ? 0 : kBadSettings;
  }

  ClusterSettings settings;
  PolicySettings policy;
  std::string error;
  if (!LoadClusterSettings(config, &settings, &error) ||
      (!operator_config.empty() &&
       !LoadOperatorSettings(operator_config, &policy, &error))) {
    std::cerr << "sorrelwood: " << error << "\n";
    return kBadSettings;
  }
  if (check) {
    std::cout << "the settings are good\n";
    return 0;
  }
  if (!StartLog())
    spdlog::error("LOG_LEVEL must be error, info or debug: it is info now");
  for (const std::string& ignored : settings.ignored_objectives)
    spdlog::error("left out of the settings: {}", ignored);
  App app(settings, policy, NewIncarnation());
  return app.Run() ? 0 : 1;
}

}  // namespace
}  // namespace sorrelwood

int main(int argc, char** argv) { return sorrelwood::Main(argc, argv); }
