// The clients: they submit jobs, poll and cancel them through any controller,
// and remember what they were told.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/interval_set.h"
#include "core/engine/actions.h"
#include "core/model/job.h"
#include "simulation/controllers.h"

namespace sorrelwood::test {

class SimulatedCluster;

// A job with its client. Times are seconds since the start of the run; 0: not
// yet.
struct ClientJob {
  JobSpec spec;
  double run_s = 10;              // of each task
  bool fails_everywhere = false;  // every task of it fails
  bool crash_loops = false;       // a service whose replicas exit at once
  bool replicas_exit = false;     // some time after their start

  // The true progress.
  IntervalSet completed;               // tasks; workers keep their results
  std::map<uint32_t, double> saved_s;  // progress of tasks that were stopped
  double first_start_s = 0, last_start_s = 0;

  // What the client asked for and was told.
  bool submitted = false, accepted = false, cancel_requested = false;
  bool final_state_reported = false;
  double accepted_s = 0;
  double reported_done_s = 0, reported_cancelled_s = 0;
  double last_answer_s = 0;
  double last_poll_everywhere_s = 0;

  // What the periodic checks remember of it.
  double waits_since_s = 0;     // beside free capacity that fits
  double degraded_since_s = 0;  // a service without all its replicas
};

struct ClientRequest {
  enum class Kind { kSubmit, kPoll, kCancel };

  std::string job;
  Kind kind = Kind::kPoll;
  bool answered = false;
  double sent_s = 0;
};

// The state of a job that a controller tells in its answer.
struct ReportedState {
  bool done = false, cancelled = false;
};

class SimulatedClients {
 public:
  using JobsById = std::map<std::string, std::unique_ptr<ClientJob>>;

  explicit SimulatedClients(SimulatedCluster& cluster) : cluster_(cluster) {}

  // The job is submitted at `at_s`, and cancelled at `cancel_at_s` unless that
  // is 0.
  ClientJob& AddJob(double at_s, JobSpec spec, double run_s,
                    double cancel_at_s = 0);
  // Cancels the job, again and again until a controller confirms it.
  void Cancel(const std::string& id);
  // Cancels up to `count` running jobs; for `hang_s` machines of theirs hang.
  void CancelRunningJobs(size_t count, double hang_s);
  // Sends unusual requests while that fault is active.
  void SendUnusualRequests();
  void OnResponse(const ClientResponse& response);

  ClientJob& Get(const std::string& id) { return *jobs_.at(id); }
  // Null: no such job.
  ClientJob* Find(const std::string& id);
  JobsById& all() { return jobs_; }

  // From the acceptance of a job to being told that it is done (s).
  double MeanJobTime() const;
  // Accepted services whose cancellation was not confirmed.
  int ServicesLeft() const;
  // The jobs that are neither done nor cancelled, for messages of tests.
  std::string DescribeUnfinished() const;

 private:
  using Kind = ClientRequest::Kind;

  void Submit(const std::string& id);
  void Poll(const std::string& id);
  // Sends a request of the kind, unless the controller can't be reached.
  void Send(int controller, Kind kind, const JobSpec& spec, uint64_t request);
  uint64_t NewRequest(const std::string& id, Kind kind);
  // One more request, beside those that the client repeats.
  void SendOnceAfter(double delay_s, int controller, Kind kind,
                     const std::string& id);
  // Polls all controllers, and repeats the submission, within milliseconds.
  void PollEverywhere(ClientJob& job);
  // A job that no controller may accept.
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
