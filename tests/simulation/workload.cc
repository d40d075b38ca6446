#include "simulation/workload.h"

#include <iterator>
#include <string>
#include <utility>

#include "base/constants/user_requests.h"

namespace sorrelwood::test {
namespace {

constexpr uint32_t kLongArrayTasks = 3000;
constexpr int kBestEffortProbes = 60;
constexpr double kSingleTaskJobsFromS = 20, kSingleTaskJobsForS = 120;

const char* TeamForIndex(int index) { return index % 2 ? "blue" : "green"; }

// Each kind of job has its own first digit, so that all identifiers differ.
std::string JobId(int first_digit, int index) {
  return "job-" + std::to_string(first_digit) + std::to_string(10000 + index);
}

}  // namespace

void Workload::AddArrays() {
  for (int i = 0; i < options_.jobs; ++i) AddArray(i);
}

JobSpec Workload::DrawArray(int index) {
  JobSpec spec;
  // Identifiers are not in the order of submission.
  spec.id = "job-" + std::to_string(100000 + index * 7919 % 90000);
  spec.job_class = index % 3 ? "short" : "long";
  spec.team = random_.Chance(0.5) ? "blue" : "green";
  spec.priority = static_cast<Priority>(random_.Below(4));
  spec.tasks = options_.staggered_task_ends
                   ? 2 + static_cast<uint32_t>(random_.Below(2))
                   : 1 + static_cast<uint32_t>(random_.Below(14));
  spec.cpus = 1 + static_cast<double>(random_.Below(3));
  spec.memory_gb = 2 + 3 * random_.Uniform();
  spec.image = "img-" + std::to_string(random_.Below(5));
  spec.image_gb = 1;
  spec.spot = random_.Chance(0.8);
  DrawPlacement(spec);
  if (options_.large_fleet) DrawLargeArray(spec);
  return spec;
}

void Workload::DrawPlacement(JobSpec& spec) {
  spec.one_zone = random_.Chance(options_.one_zone_share);
  spec.spread = !spec.one_zone && random_.Chance(0.2);
  if (random_.Chance(0.2)) spec.zone = "b";
  if (random_.Chance(0.2)) spec.types = {"large"};
  if (!spec.zone.empty()) spec.spread = false;
}

void Workload::DrawLargeArray(JobSpec& spec) {
  spec.tasks = random_.Below(8) == 0
                   ? 1500 + static_cast<uint32_t>(random_.Below(1501))
                   : 20 + static_cast<uint32_t>(random_.Below(300));
  spec.types.clear();
}

void Workload::AddArray(int index) {
  JobSpec spec = DrawArray(index);
  const double run_s =
      options_.run_time_factor * (spec.job_class == "short"
                                      ? 5 + 10 * random_.Uniform()
                                      : 20 + 20 * random_.Uniform());
  spec.estimate_s = run_s * (0.5 + random_.Uniform());
  if (random_.Chance(options_.checkpoint_share)) {
    spec.checkpoint_interval_s = 10;
    spec.save_s = 1;
  }
  const double at_s =
      index < 4 ? 0.5 : options_.submit_until_s * random_.Uniform();
  const double cancel_at_s =
      random_.Chance(options_.cancel_share) ? at_s + 40 * random_.Uniform() : 0;
  ClientJob& job = clients_.AddJob(at_s, spec, run_s, cancel_at_s);
  if (options_.failing_job_share <= 0 ||
      !random_.Chance(options_.failing_job_share))
    return;
  job.fails_everywhere = true;
  if (cancel_at_s > 0) return;
  const double give_up_at_s = at_s + 60 + 60 * random_.Uniform();
  events_.At(give_up_at_s,
             [&clients = clients_, id = spec.id] { clients.Cancel(id); });
}

void Workload::AddBestEffortTeam() {
  JobSpec spec;
  spec.team = "guests";
  spec.priority = Priority::kLow;
  spec.spot = true;
  spec.image = "img-guests";
  spec.image_gb = 0.5;
  spec.memory_gb = 0.5;
  for (int i = 0; i <= kBestEffortProbes; ++i) {
    const bool large_array = i == 0;
    spec.id = JobId(9, i);
    spec.job_class = large_array ? "corpus" : "probes";
    spec.tasks = large_array ? 600 : 1;
    spec.cpus = large_array ? 0.25 : 1;
    spec.estimate_s = large_array ? 2 : 4;
    clients_.AddJob(30 + (large_array ? 0 : 40 * random_.Uniform()), spec,
                    spec.estimate_s);
  }
}

void Workload::AddSingleTaskJobs() {
  const double rate = options_.single_task_jobs_per_s;
  for (int i = 0; i < rate * kSingleTaskJobsForS; ++i) {
    JobSpec spec;
    spec.id = JobId(3, i);
    spec.job_class = "single";
    spec.team = TeamForIndex(i);
    spec.tasks = 1;
    spec.cpus = 1;
    spec.memory_gb = 1;
    spec.image = "img-single";
    spec.image_gb = 0.1;
    spec.spot = true;
    spec.estimate_s = 3;
    const double at_s = kSingleTaskJobsFromS + i / rate;
    const double cancel_at_s =
        random_.Chance(0.25) ? at_s + 6 * random_.Uniform() : 0;
    const double run_s = 2 + 2 * random_.Uniform();
    clients_.AddJob(at_s, spec, run_s, cancel_at_s);
  }
}

void Workload::AddServices() {
  for (int i = 0; i < options_.services; ++i) {
    JobSpec spec;
    spec.id = JobId(4, i);
    spec.job_class = "service";
    spec.team = TeamForIndex(i);
    spec.shape = JobShape::kService;
    spec.priority = Priority::kProduction;
    spec.tasks = 3 + static_cast<uint32_t>(random_.Below(3));
    spec.cpus = 1;
    spec.memory_gb = 3;
    spec.image = "img-service";
    spec.image_gb = 1;
    spec.spread = random_.Chance(0.7);
    spec.spot = random_.Chance(0.3);
    const double at_s = options_.services_from_s + 60 * random_.Uniform();
    const double cancel_at_s = random_.Chance(options_.cancel_share)
                                   ? at_s + 20 + 120 * random_.Uniform()
                                   : 0;
    ClientJob& job = clients_.AddJob(at_s, spec, /*run_s=*/0, cancel_at_s);
    job.replicas_exit = random_.Chance(options_.exiting_service_share);
    job.crash_loops = options_.crash_looping_service && i == 0;
  }
}

void Workload::AddLongArray() {
  JobSpec spec;
  spec.id = "job-500000";
  spec.job_class = "long array";
  spec.team = "green";
  spec.priority = Priority::kHigh;
  spec.tasks = kLongArrayTasks;
  spec.cpus = 0.1;
  spec.memory_gb = 0.1;
  spec.image = "img-array";
  spec.image_gb = 0.1;
  spec.spot = true;
  spec.estimate_s = 2;
  clients_.AddJob(10, spec, spec.estimate_s);
}

void Workload::AddSmallTaskArrays() {
  constexpr double kCpus[] = {0.002, 0.005, 0.01, 0.05};
  for (int i = 0; i < options_.small_task_arrays; ++i) {
    JobSpec spec;
    spec.id = JobId(7, i);
    // Every other id is as long as an id may be.
    if (i % 2) spec.id.resize(kMaxIdBytes, 'x');
    spec.job_class = "small tasks";
    spec.team = TeamForIndex(i);
    spec.tasks = 800 + static_cast<uint32_t>(random_.Below(1601));
    spec.cpus = kCpus[i % std::size(kCpus)];
    spec.memory_gb = 0.001;
    spec.image = "img-small";
    spec.image_gb = 0.1;
    spec.spot = true;
    if (random_.Chance(options_.checkpoint_share)) {
      spec.checkpoint_interval_s = 5;
      spec.save_s = 1;
    }
    spec.estimate_s = 4 + 20 * random_.Uniform();
    const double at_s = 5 + 40 * random_.Uniform();
    const double cancel_at_s = random_.Chance(options_.cancel_share)
                                   ? at_s + 10 + 20 * random_.Uniform()
                                   : 0;
    clients_.AddJob(at_s, spec, spec.estimate_s, cancel_at_s);
  }
}

void Workload::AddBurst() {
  for (int i = 0; i < options_.burst_jobs; ++i) {
    JobSpec spec;
    spec.id = JobId(6, i);
    spec.job_class = "burst";
    spec.team = "green";
    spec.tasks = options_.burst_tasks;
    spec.cpus = 1;
    spec.memory_gb = 1;
    spec.image = "img-burst-" + std::to_string(i % 3);
    spec.image_gb = 1;
    spec.spot = true;
    spec.checkpoint_interval_s = 10;
    spec.save_s = 1;
    spec.estimate_s = 60 + 120 * random_.Uniform();
    clients_.AddJob(
        options_.burst_at_s + options_.burst_for_s * random_.Uniform(), spec,
        spec.estimate_s);
  }
}

}  // namespace sorrelwood::test
