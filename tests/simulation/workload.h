// Draws the jobs of a run and adds them to the clients.
#pragma once

#include "core/model/job.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

// The methods draw random numbers, so the order of calls determines the run.
class Workload {
 public:
  explicit Workload(SimulatedCluster& cluster)
      : options_(cluster.options()),
        random_(cluster.random()),
        clients_(cluster.clients()),
        events_(cluster.events()) {}

  // Adds the array jobs of two teams.
  void AddArrays();
  // Adds one large array and many single-task jobs of a team without guarantee
  // or limit.
  void AddBestEffortTeam();
  void AddSingleTaskJobs();
  void AddServices();
  // Adds an array whose progress record exceeds the dropped limit of a value.
  void AddLongArray();
  void AddSmallTaskArrays();
  void AddBurst();

 private:
  JobSpec DrawArray(int index);
  void DrawPlacement(JobSpec& spec);
  // Draws arrays that together need the whole large fleet.
  void DrawLargeArray(JobSpec& spec);
  void AddArray(int index);

  const SimulationOptions& options_;
  RandomSource& random_;
  SimulatedClients& clients_;
  EventQueue& events_;
};

}  // namespace sorrelwood::test
