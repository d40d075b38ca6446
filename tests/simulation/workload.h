// Draws the jobs of a run and gives them to the clients.
#pragma once

#include "core/model/job.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {

// The methods draw, so that their order makes the run.
class Workload {
 public:
  explicit Workload(SimulatedCluster& cluster)
      : options_(cluster.options()),
        random_(cluster.random()),
        clients_(cluster.clients()),
        events_(cluster.events()) {}

  // The usual jobs of two teams.
  void AddArrays();
  // One large array and many jobs of a single task, of a team without
  // guarantee or limit.
  void AddBestEffortTeam();
  void AddSingleTaskJobs();
  void AddServices();
  // One array whose progress outgrows the smaller limit of a value.
  void AddLongArray();
  void AddBurst();

 private:
  JobSpec DrawArray(int index);
  void DrawPlacement(JobSpec& spec);
  // Arrays as large fleets have them; long enough together to need all of it.
  void DrawLargeArray(JobSpec& spec);
  void AddArray(int index);

  const SimulationOptions& options_;
  RandomSource& random_;
  SimulatedClients& clients_;
  EventQueue& events_;
};

}  // namespace sorrelwood::test
