// Reads and checks the platform's settings file (JSON) and the operators' own
// (protobuf text format).
#pragma once

#include <string>

#include "core/model/settings.h"

namespace sorrelwood {

// Each returns false and says in one line which file and field is wrong.
bool LoadClusterSettings(const std::string& path, ClusterSettings* settings,
                         std::string* error);
bool ParseClusterSettings(const std::string& text, ClusterSettings* settings,
                          std::string* error);
// How many connections the sockets of the machine carry, and how many requests
// at once, each with a thread, its memory.
size_t MostConnections(const ClusterSettings& settings);
size_t MostThreads(const ClusterSettings& settings);
// How many of the connections workers may hold.
size_t MostWorkers(const ClusterSettings& settings);
// How many machines a leader with these settings carries: each needs a
// connection and some memory.
size_t MostMachines(const ClusterSettings& settings);
// One line for the log: how many machines the settings carry, what bounds it,
// and how long the records of so many take at the state service's rate.
std::string DescribeCapacity(const ClusterSettings& settings);
bool LoadOperatorSettings(const std::string& path, PolicySettings* settings,
                          std::string* error);
bool ParseOperatorSettings(const std::string& text, PolicySettings* settings,
                           std::string* error);

}  // namespace sorrelwood
