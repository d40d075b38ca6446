#include "simulation/clients.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "simulation/invariants/invariants.h"
#include "simulation/simulated_cluster.h"

namespace sorrelwood::test {
namespace {

constexpr double kCancelIntervalS = 2;
// Poll interval for a job whose final state was reported.
constexpr double kEndedJobPollIntervalS = 15;
constexpr double kPollOverloadFactor = 10;
constexpr double kUnusualRequestIntervalS = 0.5;
constexpr int kPollsPerController = 3;
// The most machines that hang when running jobs are cancelled.
constexpr size_t kMaxHangingMachines = 8;

bool IsSuccess(const ClientResponse& response) {
  return response.status == 200 || response.status == 201;
}

ReportedState ParseState(const ClientResponse& response) {
  const auto says = [&](const char* text) {
    return response.body.find(text) != std::string::npos;
  };
  return {says("\"status\":\"done\""), says("\"status\":\"cancelled\"")};
}

}  // namespace

ClientJob& SimulatedClients::AddJob(double at_s, JobSpec spec, double run_s,
                                    double cancel_at_s) {
  const std::string id = spec.id;
  auto job = std::make_unique<ClientJob>();
  job->spec = std::move(spec);
  job->run_s = run_s;
  jobs_[id] = std::move(job);
  cluster_.events().At(at_s, [this, id] { Submit(id); });
  if (cancel_at_s > 0)
    cluster_.events().At(cancel_at_s, [this, id] { Cancel(id); });
  return Get(id);
}

ClientJob* SimulatedClients::Find(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

bool SimulatedClients::PollsOnChange() const {
  return cluster_.now() < cluster_.faults().poll_all_on_change_until_s;
}

uint64_t SimulatedClients::NewRequest(const std::string& id, Kind kind) {
  const uint64_t request = cluster_.NextRequestId();
  requests_[request] = {id, kind, false, cluster_.now()};
  return request;
}

void SimulatedClients::Send(int controller, Kind kind, const JobSpec& spec,
                            uint64_t request) {
  SimulatedControllers& controllers = cluster_.controllers();
  if (!controllers.IsReachableByClients(controller)) return;
  controllers.Deliver(
      controllers.CurrentProcess(controller),
      [request, kind, spec](Controller& receiver, Controller::Time time) {
        switch (kind) {
          case Kind::kSubmit: return receiver.Submit(time, request, spec);
          case Kind::kCancel: return receiver.Cancel(time, request, spec.id);
          case Kind::kPoll: break;
        }
        return receiver.Poll(time, request, spec.id);
      });
}

void SimulatedClients::Submit(const std::string& id) {
  ClientJob& job = Get(id);
  if (job.accepted) return;
  job.submitted = true;
  const int controller = cluster_.controllers().DrawIndex();
  Send(controller, Kind::kSubmit, job.spec, NewRequest(id, Kind::kSubmit));
  cluster_.events().After(1.5 + cluster_.random().Uniform(),
                          [this, id] { Submit(id); });
}

void SimulatedClients::Poll(const std::string& id) {
  const ClientJob& job = Get(id);
  const int controller = cluster_.controllers().DrawIndex();
  Send(controller, Kind::kPoll, job.spec, NewRequest(id, Kind::kPoll));
  const bool overload =
      cluster_.now() < cluster_.faults().poll_overload_until_s;
  if (overload) {
    JobSpec unknown;
    unknown.id =
        "job-7" + std::to_string(10000 + cluster_.random().Below(80000));
    Send(controller, Kind::kPoll, unknown, NewRequest(unknown.id, Kind::kPoll));
  }
  const double interval_s = job.final_state_reported
                                ? kEndedJobPollIntervalS
                                : 4 + 2 * cluster_.random().Uniform();
  cluster_.events().After(interval_s / (overload ? kPollOverloadFactor : 1),
                          [this, id] { Poll(id); });
}

void SimulatedClients::Cancel(const std::string& id) {
  ClientJob& job = Get(id);
  if (job.final_state_reported) return;
  if (job.accepted) {
    job.cancel_requested = true;
    const int controller = cluster_.controllers().DrawIndex();
    Send(controller, Kind::kCancel, job.spec, NewRequest(id, Kind::kCancel));
  }
  cluster_.events().After(kCancelIntervalS, [this, id] { Cancel(id); });
}

void SimulatedClients::OnResponse(const ClientResponse& response) {
  const auto sent = requests_.find(response.request);
  if (sent == requests_.end() || sent->second.answered) return;
  sent->second.answered = true;
  const ClientRequest request = sent->second;
  ClientJob* found = Find(request.job);
  if (!found) {
    if (request.kind == Kind::kSubmit && response.status == 422)
      ++cluster_.statistics().invalid_jobs_rejected;
    CheckUnknownJobIsNotServed(cluster_, request, response);
    return;
  }
  ClientJob& job = *found;
  CheckAcceptedJobIsNotRefused(cluster_, job, request, response);
  if (!IsSuccess(response)) {
    // The submission may have been recorded nevertheless.
    if (PollsOnChange() && request.kind == Kind::kSubmit && !job.accepted &&
        cluster_.now() > job.last_poll_everywhere_s + 1)
      PollEverywhere(job);
    return;
  }
  job.last_answer_s = cluster_.now();
  CheckJobIsAcceptedOnce(cluster_, job, request, response);
  if (!job.accepted) OnAccepted(job);
  const ReportedState reported = ParseState(response);
  CheckFinalStateIsKept(cluster_, job, request, response, reported);
  if (reported.done && job.reported_done_s == 0) OnReportedDone(job);
  if (reported.cancelled && job.reported_cancelled_s == 0)
    OnReportedCancelled(job);
}

void SimulatedClients::OnAccepted(ClientJob& job) {
  job.accepted = true;
  job.accepted_s = cluster_.now();
  ++cluster_.statistics().jobs_accepted;
  const std::string& id = job.spec.id;
  cluster_.events().After(5 * cluster_.random().Uniform(),
                          [this, id] { Poll(id); });
  if (!PollsOnChange()) return;
  PollEverywhere(job);
  if (cluster_.random().Chance(0.15))
    cluster_.events().After(0.02 * cluster_.random().Uniform(),
                            [this, id] { Cancel(id); });
}

void SimulatedClients::OnReportedDone(ClientJob& job) {
  job.reported_done_s = cluster_.now();
  job.final_state_reported = true;
  if (PollsOnChange()) PollEverywhere(job);
  ++cluster_.statistics().jobs_done;
  CheckDoneJobIsComplete(cluster_, job);
}

void SimulatedClients::OnReportedCancelled(ClientJob& job) {
  job.reported_cancelled_s = cluster_.now();
  job.final_state_reported = true;
  if (PollsOnChange()) PollEverywhere(job);
  ++cluster_.statistics().jobs_cancelled;
}

void SimulatedClients::SendOnceAfter(double delay_s, int controller, Kind kind,
                                     const std::string& id) {
  cluster_.events().After(delay_s, [this, controller, kind, id] {
    if (cluster_.controllers().IsReachableByClients(controller))
      Send(controller, kind, Get(id).spec, NewRequest(id, kind));
  });
}

void SimulatedClients::PollEverywhere(ClientJob& job) {
  job.last_poll_everywhere_s = cluster_.now();
  RandomSource& random = cluster_.random();
  for (int i = 0; i < cluster_.controllers().size(); ++i) {
    for (int poll = 0; poll < kPollsPerController; ++poll)
      SendOnceAfter(0.001 + 0.02 * poll * random.Uniform(), i, Kind::kPoll,
                    job.spec.id);
    SendOnceAfter(0.001 + 0.03 * random.Uniform(), i, Kind::kSubmit,
                  job.spec.id);
  }
}

void SimulatedClients::SendUnusualRequests() {
  if (cluster_.now() >= cluster_.faults().unusual_requests_until_s) return;
  cluster_.events().After(kUnusualRequestIntervalS,
                          [this] { SendUnusualRequests(); });
  const int controller = cluster_.controllers().DrawIndex();
  auto it = jobs_.begin();
  std::advance(it, cluster_.random().Below(jobs_.size()));
  const ClientJob& job = *it->second;
  if (job.reported_done_s > 0)
    SendOnceAfter(0, controller, Kind::kCancel, it->first);
  else if (job.accepted)
    SendOnceAfter(0, controller, Kind::kSubmit, it->first);
  if (cluster_.controllers().IsReachableByClients(controller))
    SubmitInvalidJob(controller, job.spec);
}

void SimulatedClients::SubmitInvalidJob(int controller, JobSpec spec) {
  RandomSource& random = cluster_.random();
  spec.id = "job-8" + std::to_string(10000 + random.Below(80000));
  switch (random.Below(4)) {
    case 0: spec.cpus = 1000; break;
    case 1: spec.team = "nobody"; break;
    case 2: spec.zone = "nowhere"; break;
    case 3: spec.types = {"none"}; break;
  }
  Send(controller, Kind::kSubmit, spec, NewRequest(spec.id, Kind::kSubmit));
}

void SimulatedClients::CancelRunningJobs(size_t count, double hang_s) {
  std::set<std::string> running;
  std::vector<Worker*> holders;
  for (auto& [name, worker] : cluster_.workers().all()) {
    if (!worker->up) continue;
    for (const auto& [id, task] : worker->tasks) {
      const ClientJob& job = Get(id.job);
      if (task.state != TaskState::kRunning || job.final_state_reported ||
          job.cancel_requested ||
          (running.size() >= count && !running.count(id.job)))
        continue;
      running.insert(id.job);
      if (holders.empty() || holders.back() != worker.get())
        holders.push_back(worker.get());
    }
  }
  for (const std::string& id : running)
    cluster_.events().After(0.2 * cluster_.random().Uniform(),
                            [this, id] { Cancel(id); });
  if (hang_s <= 0) return;
  if (holders.size() > kMaxHangingMachines) holders.resize(kMaxHangingMachines);
  for (Worker* worker : holders) worker->hung_until_s = cluster_.now() + hang_s;
}

void SimulatedClients::PollAt(int controller, const std::string& id) {
  Send(controller, Kind::kPoll, Get(id).spec, NewRequest(id, Kind::kPoll));
}

void SimulatedClients::CancelAt(int controller, const std::string& id) {
  ClientJob& job = Get(id);
  job.cancel_requested = true;
  Send(controller, Kind::kCancel, job.spec, NewRequest(id, Kind::kCancel));
}

std::vector<std::string> SimulatedClients::FindRunningJobs(size_t count) {
  std::set<std::string> running;
  for (const auto& [name, worker] : cluster_.workers().all()) {
    if (!worker->up) continue;
    for (const auto& [id, task] : worker->tasks) {
      const ClientJob& job = Get(id.job);
      if (task.state == TaskState::kRunning && running.size() < count &&
          !job.final_state_reported && !job.cancel_requested)
        running.insert(id.job);
    }
  }
  return {running.begin(), running.end()};
}

double SimulatedClients::MeanJobTime() const {
  double sum_s = 0;
  double count = 0;
  for (const auto& [id, job] : jobs_) {
    if (job->reported_done_s == 0) continue;
    sum_s += job->reported_done_s - job->accepted_s;
    ++count;
  }
  return count == 0 ? 0 : sum_s / count;
}

int SimulatedClients::ServicesLeft() const {
  return static_cast<int>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& item) {
        const ClientJob& job = *item.second;
        return job.spec.IsService() && job.accepted &&
               job.reported_cancelled_s == 0;
      }));
}

std::string SimulatedClients::DescribeUnfinished() const {
  std::string text;
  for (const auto& [id, job] : jobs_) {
    if (job->final_state_reported) continue;
    const JobSpec& spec = job->spec;
    text += id + " " + spec.team + " tasks " + std::to_string(spec.tasks) +
            " done " + std::to_string(job->completed.size()) + " cpus " +
            std::to_string(spec.cpus) + " run_s " + std::to_string(job->run_s) +
            (spec.spot ? " spot" : "") + (spec.one_zone ? " one_zone" : "") +
            (spec.spread ? " spread" : "") + " zone " + spec.zone + " types " +
            (spec.types.empty() ? "any" : spec.types[0]) + "; ";
  }
  return text;
}

}  // namespace sorrelwood::test
