#include "config/capacity.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "base/constants.h"

namespace sorrelwood {
namespace {

constexpr double kKibPerMib = 1024;

// Memory left when the process itself and all connections have theirs (KiB);
// below 0 when it is too little even for these.
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
  const double left_kib =
      MemoryBeyondConnectionsKib(settings) -
      static_cast<double>(kMinRequestThreads) * kRequestMemoryKib;
  const double by_memory = std::max(0.0, left_kib / kMachineMemoryKib);
  return std::min(by_connections, static_cast<size_t>(by_memory));
}

std::string DescribeCapacity(const ClusterSettings& settings) {
  const size_t machines = MaxMachines(settings);
  const char* bound =
      machines < MaxWorkerConnections(settings) ? "memory" : "sockets";
  const double records_per_s =
      settings.state_mutations_per_s * kLeaderWriteShare;
  std::ostringstream text;
  text << "the settings carry up to " << machines << " machines, bounded by "
       << bound << "; the records of so many new ones take "
       << std::lround(static_cast<double>(machines) / records_per_s) << " s";
  return text.str();
}

}  // namespace sorrelwood
