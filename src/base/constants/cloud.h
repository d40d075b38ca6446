// Constants of requests to the cloud.
#pragma once

#include <cstddef>

namespace sorrelwood {

// Time-out of one call.
inline constexpr double kCloudTimeoutS = 5.0;

// Share of the cloud's call rate that the leader uses: calls beyond the rate
// are refused (429).
inline constexpr double kCloudRateShare = 0.8;

// How often the catalogue is read.
inline constexpr double kCatalogIntervalS = 60.0;

// How often the catalogue is read while none is known: until then nothing can
// be provisioned.
inline constexpr double kCatalogFirstRetryS = 1.0;

// How often the inventory is read.
inline constexpr double kInventoryIntervalS = 4.0;

// Largest share of the leader's calls that reads of the inventory take: at the
// usual interval the nine pages of 4,500 machines would take most of them from
// provisioning and releases.
inline constexpr double kInventoryCallShare = 0.25;

// The inventory may lag by twice the lag in the settings and this margin.
inline constexpr double kInventoryLagMarginS = 1.0;

// Machines on one page of the inventory: the cloud's maximum.
inline constexpr size_t kInventoryPageMachines = 500;

// Machines that one call provisions at most (protocol).
inline constexpr int kMaxMachinesPerProvisioning = 50;

// Machines that one call releases at most (protocol).
inline constexpr size_t kMaxMachinesPerRelease = 100;

// Pause before a provisioning call without an answer is repeated.
inline constexpr double kProvisioningRetryS = 1.0;

// How long an offer without enough capacity is suspended.
inline constexpr double kNoCapacityPauseS = 12.0;

// How long an offer is suspended after any other refusal, a 429 or an outage of
// the cloud.
inline constexpr double kCloudErrorPauseS = 3.0;

}  // namespace sorrelwood
