// The clients: they submit, poll and cancel jobs through any controller, and
// record the reported states.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/interval_set.h"
#include "core/engine/actions.h"
#include "core/model/job.h"
#include "simulation/controllers.h"

namespace sorrelwood::test {

class SimulatedCluster;

// A job and its client's view of it. Times are seconds since the start of the
// run; 0: not yet.
struct ClientJob {
  JobSpec spec;
  double run_s = 10;              // of each task
  bool fails_everywhere = false;  // every attempt at its tasks fails
  bool crash_loops = false;       // a service whose replicas exit at once
  bool replicas_exit = false;     // a service whose replicas exit after a while

  // The actual progress on the workers.
  IntervalSet completed;               // tasks with a result
  std::map<uint32_t, double> saved_s;  // saved progress by task
  double first_start_s = 0, last_start_s = 0;

  // What the client requested and what controllers reported.
  bool submitted = false, accepted = false, cancel_requested = false;
  bool final_state_reported = false;
  double accepted_s = 0;
  double reported_done_s = 0, reported_cancelled_s = 0;
  double last_answer_s = 0;
  double last_poll_everywhere_s = 0;

  // State of the periodic checks.
  double waits_since_s = 0;     // although free capacity fits
  double degraded_since_s = 0;  // a service lacks replicas
};

struct ClientRequest {
  enum class Kind { kSubmit, kPoll, kCancel };

  std::string job;
  Kind kind = Kind::kPoll;
  bool answered = false;
  double sent_s = 0;
};

// The final states in a controller's response.
struct ReportedState {
  bool done = false, cancelled = false;
};

class SimulatedClients {
 public:
  using JobsById = std::map<std::string, std::unique_ptr<ClientJob>>;

  explicit SimulatedClients(SimulatedCluster& cluster) : cluster_(cluster) {}

  // Submits the job at `at_s`, and cancels it at `cancel_at_s` unless that is
  // 0.
  ClientJob& AddJob(double at_s, JobSpec spec, double run_s,
                    double cancel_at_s = 0);
  // Cancels the job, with retries until a final state is reported.
  void Cancel(const std::string& id);
  // Polls the job, or cancels it, once, at this controller.
  void PollAt(int controller, const std::string& id);
  void CancelAt(int controller, const std::string& id);
  // Up to `count` jobs with running tasks that no client has cancelled.
  std::vector<std::string> FindRunningJobs(size_t count);
  // Cancels up to `count` running jobs; if `hang_s` is not 0, machines that run
  // them hang for this duration.
  void CancelRunningJobs(size_t count, double hang_s);
  // Sends unusual requests as long as kUnusualRequests is active.
  void SendUnusualRequests();
  void OnResponse(const ClientResponse& response);

  ClientJob& Get(const std::string& id) { return *jobs_.at(id); }
  // Null: no such job.
  ClientJob* Find(const std::string& id);
  JobsById& all() { return jobs_; }

  // The mean time from the acceptance of a job until it is reported done (s).
  double MeanJobTime() const;
  // The number of accepted services whose cancellation is not confirmed.
  int ServicesLeft() const;
  // Describes the jobs without a reported final state, for test failures.
  std::string DescribeUnfinished() const;

 private:
  using Kind = ClientRequest::Kind;

  void Submit(const std::string& id);
  void Poll(const std::string& id);
  // Sends a request, unless the controller is not reachable.
  void Send(int controller, Kind kind, const JobSpec& spec, uint64_t request);
  uint64_t NewRequest(const std::string& id, Kind kind);
  // Sends an additional request, which is not repeated.
  void SendOnceAfter(double delay_s, int controller, Kind kind,
                     const std::string& id);
  // Polls all controllers several times and repeats the submission to each, all
  // within 50 ms.
  void PollEverywhere(ClientJob& job);
  // Submits a job that no controller may accept.
  void SubmitInvalidJob(int controller, JobSpec spec);

  void OnAccepted(ClientJob& job);
  void OnReportedDone(ClientJob& job);
  void OnReportedCancelled(ClientJob& job);
  bool PollsOnChange() const;

  SimulatedCluster& cluster_;
  JobsById jobs_;
  std::map<uint64_t, ClientRequest> requests_;
};

}  // namespace sorrelwood::test
