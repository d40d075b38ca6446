// How much one controller carries within the limits of its machine: each open
// connection takes a socket and some memory, each request in hand a thread, and
// each machine of the cluster a connection and its records.
#pragma once

#include <cstddef>
#include <string>

#include "core/model/settings.h"

namespace sorrelwood {

// Connections of users, workers and probes that the sockets allow.
size_t MaxConnections(const ClusterSettings& settings);
// How many of them workers may hold.
size_t MaxWorkerConnections(const ClusterSettings& settings);
// Requests in hand at once, each with a thread, that the memory allows.
size_t MaxRequestThreads(const ClusterSettings& settings);
// Machines that a leader carries: each needs a connection and memory.
size_t MaxMachines(const ClusterSettings& settings);
// One line for the log: how many machines the settings carry, what bounds it,
// and how long the records of so many take at the state service's rate.
std::string DescribeCapacity(const ClusterSettings& settings);

}  // namespace sorrelwood
