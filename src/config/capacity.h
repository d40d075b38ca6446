// Computes what one controller can handle within the socket and memory limits
// of its machine: each open connection needs a socket and memory, each request
// in progress a thread, and each machine of the cluster a connection and memory
// for its records.
#pragma once

#include <cstddef>
#include <string>

#include "core/model/settings.h"

namespace sorrelwood {

// Connections from users, workers and probes that the socket limit allows.
size_t MaxConnections(const ClusterSettings& settings);
// The workers' share of MaxConnections.
size_t MaxWorkerConnections(const ClusterSettings& settings);
// Concurrent requests, each with a thread, that the memory limit allows; at
// most kMaxRequestThreads.
size_t MaxRequestThreads(const ClusterSettings& settings);
// Machines that a leader can manage: each needs a connection and memory.
size_t MaxMachines(const ClusterSettings& settings);
// A log line: MaxMachines, whether sockets or memory bound it, and how long a
// leader takes to write the records of that many machines at its share of the
// state service's write rate.
std::string DescribeCapacity(const ClusterSettings& settings);

}  // namespace sorrelwood
