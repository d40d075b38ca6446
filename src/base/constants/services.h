// Constants of services and their replicas.
#pragma once

#include <cstddef>

namespace sorrelwood {

// A replica that has run for this long is stable: a fetch and a start are over,
// and a fault of the machine or of the job shows within half a second.
inline constexpr double kReplicaStableS = 10.0;

// A replica on a departing machine is stopped when no more than this remains
// until the cloud reclaims the machine, even if the replica has no place
// elsewhere: time for a heartbeat and the stop.
inline constexpr double kReplicaForcedStopS = 3.0;

// Headroom for future replicas: arrivals of a class are counted over this
// period.
inline constexpr double kArrivalWindowS = 60.0;

// Shortest period from which a rate of arrivals is computed.
inline constexpr double kMinArrivalSpanS = 20.0;

// Headroom holds the arrivals of one boot time and this many jobs more.
inline constexpr double kHeadroomExtraJobs = 2.0;

// A class without arrivals for this duration gets no headroom.
inline constexpr double kHeadroomRetentionS = 600.0;

// A class whose tasks must start at once and which has had no job yet may need
// any machine: the capacity of this many machines of the cheapest type is kept,
// spread over the zones.
inline constexpr double kUnseenClassHeadroomMachines = 6.0;

// Latest arrivals remembered of each class.
inline constexpr size_t kMaxArrivalsPerClass = 200;

// How often tasks are stopped in favour of waiting replicas.
inline constexpr double kPreemptionIntervalS = 0.5;

}  // namespace sorrelwood
