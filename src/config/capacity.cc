#include "config/capacity.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "base/constants/controller_capacity.h"
#include "base/constants/state_service.h"

namespace sorrelwood {
namespace {

constexpr double kKibPerMib = 1024;

// Memory that remains after the process's own needs and all connections (KiB);
// negative if the limit does not cover these. Only meaningful with a memory
// limit.
double MemoryBeyondConnectionsKib(const ClusterSettings& settings) {
  return (settings.memory_limit_mib - kBaseMemoryMib) * kKibPerMib -
         static_cast<double>(MaxConnections(settings)) * kConnectionMemoryKib;
}

}  // namespace

size_t MaxConnections(const ClusterSettings& settings) {
  return static_cast<size_t>(
      std::max(0, settings.socket_limit - kOutboundSockets));
}

size_t MaxWorkerConnections(const ClusterSettings& settings) {
  return static_cast<size_t>(static_cast<double>(MaxConnections(settings)) *
                             kWorkerConnectionShare);
}

size_t MaxRequestThreads(const ClusterSettings& settings) {
  double threads = kMaxRequestThreads;
  if (settings.memory_limit_mib > 0) {
    threads = std::min(
        threads, MemoryBeyondConnectionsKib(settings) / kRequestMemoryKib);
  }
  return static_cast<size_t>(std::max(0.0, threads));
}

size_t MaxMachines(const ClusterSettings& settings) {
  const size_t by_connections = MaxWorkerConnections(settings);
  if (settings.memory_limit_mib <= 0) return by_connections;
  const double machine_memory_kib =
      MemoryBeyondConnectionsKib(settings) -
      static_cast<double>(kMinRequestThreads) * kRequestMemoryKib;
  const double by_memory =
      std::max(0.0, machine_memory_kib / kMachineMemoryKib);
  return std::min(by_connections, static_cast<size_t>(by_memory));
}

std::string DescribeCapacity(const ClusterSettings& settings) {
  const size_t machines = MaxMachines(settings);
  const char* limiting_resource =
      machines < MaxWorkerConnections(settings) ? "memory" : "sockets";
  const double machine_records_per_s =
      settings.state_mutations_per_s * kLeaderWriteShare;
  std::ostringstream text;
  text << "the settings allow up to " << machines << " machines, bounded by "
       << limiting_resource << "; writing the records of " << machines
       << " new machines to the state service takes "
       << std::lround(static_cast<double>(machines) / machine_records_per_s)
       << " s";
  return text.str();
}

}  // namespace sorrelwood
