// The cases of the review. Usage:
//   review_driver CASE TROUBLE FOLDER RECORD COMMAND...
// Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

#include "cluster.h"

namespace review {
namespace {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

struct Arguments {
  bool trouble = true;
  std::string folder;
  std::vector<std::string> command;
};

int Conclude(int code, const std::string& text) {
  Record::Line("RESULT %d: %s", code, text.c_str());
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
  return code;
}

// Never deleted: its threads run until the process ends.
Cluster* the_cluster = nullptr;

Cluster& NewCluster(const ClusterOptions& options, const Arguments& arguments) {
  the_cluster = new Cluster(options, arguments.command, arguments.folder);
  return *the_cluster;
}

MachineType Kudyapi(double ready_s) {
  MachineType type;
  type.name = "kudyapi";
  type.cores = 16;
  type.memory_gb = 32;
  type.price = 0.72;
  type.spot_price = 0.31;
  type.ready_s = ready_s;
  type.pull_gb_per_s = 0.2;
  type.cache_gb = 40;
  type.rooms = {"a", "b"};
  return type;
}

MachineType Rondalla(double ready_s) {
  MachineType type = Kudyapi(ready_s);
  type.name = "rondalla";
  type.cores = 64;
  type.memory_gb = 256;
  type.price = 3.6;
  type.spot_price = 1.54;
  type.pull_gb_per_s = 0.5;
  type.cache_gb = 60;
  return type;
}

// --- Case 1: ran_twice -------------------------------------------------------

// Stays of the same task on two machines at one time, where the later one
// starts while the task is on the other machine.
std::string FindTwice(const std::vector<Stay>& stays) {
  for (const Stay& later : stays)
    for (const Stay& other : stays) {
      if (&later == &other || later.part != other.part ||
          later.machine == other.machine || later.from < other.from)
        continue;
      if (other.to >= 0 && other.to <= later.from) continue;
      char text[200];
      std::snprintf(text, sizeof(text),
                    "%s starts on %s at %.2f s while it is on %s since %.2f s",
                    later.part.c_str(), later.machine.c_str(), later.from,
                    other.machine.c_str(), other.from);
      return text;
    }
  return "";
}

// A zone with the leader and workers is cut off from everything; the cut ends
// for a moment after the old leader has stopped answering its workers.
int RanTwice(const Arguments& arguments) {
  ClusterOptions options;
  options.types = {Kudyapi(2)};
  options.teams = {
      {{"name", "visayas-lessons"}, {"cpus", 160.0}, {"cpus_max", 440.0}}};
  options.report_s = 2;
  options.lease_s = 14;
  options.cancel_s = 44;
  options.state = {150, 60, 8, 16, 0.005};
  options.cloud_rps = 4;
  options.list_lag_s = 5;
  options.ram_mb = 72;
  options.sockets = 1000;
  options.lone_zone = true;
  options.ordinary = 0;
  options.cheap = 4;
  Cluster& cluster = NewCluster(options, arguments);
  SleepFor(2);
  if (!cluster.FindEnded().empty())
    return Conclude(kCouldNotRun, "a controller did not start");
  if (cluster.FindLeader() != 0)
    return Conclude(kCouldNotRun, "the controller of zone a does not lead");
  const auto count_running = [&](int job) {
    int count = 0;
    for (const Stay& stay : cluster.history.stays())
      if (stay.to < 0 && stay.part.rfind(JobId(job) + "/", 0) == 0) ++count;
    return count;
  };
  const auto run = [&](int number, const json& changes) {
    json job = MakeJob(
        JobId(number),
        {{"crew", "visayas-lessons"}, {"parts", 4}, {"expected_s", 300.0}});
    job.update(changes);
    if (cluster.Submit(job, 300).status != 201) return false;
    for (const double ends_at = Now() + 14; Now() < ends_at; SleepFor(0.2))
      if (count_running(number) == 4) return true;
    return false;
  };
  // The four machines of zone a hold a task of job 1 each, those of zone b one
  // of job 2. Job 3 may run anywhere; it fits best beside job 1.
  if (!run(1, {{"cores", 10.0}, {"room", "a"}}) ||
      !run(2, {{"cores", 9.0}, {"room", "b"}}) || !run(3, {{"cores", 6.0}}))
    return Conclude(kCouldNotRun, "the jobs did not start in time");
  SleepFor(3);
  // So that the old leader has looked at the jobs just before the cut.
  cluster.Submit(MakeJob(JobId(4), {{"crew", "visayas-lessons"},
                                    {"cores", 0.5},
                                    {"room", "b"},
                                    {"expected_s", 1.0}}),
                 1);
  SleepFor(0.15);
  const double cut_at = Now();
  if (arguments.trouble) {
    cluster.CutZone(true);
    Record::Line("TROUBLE: zone a is cut off");
    int next_leader = -1;
    while (next_leader < 1 && Now() < cut_at + 12) {
      SleepFor(0.05);
      next_leader = cluster.FindLeader();
    }
    if (next_leader < 1) return Conclude(kCouldNotRun, "no other leader");
    const std::string next_name = "perch-" + std::to_string(next_leader);
    Record::Line("%s leads since %.1f s after the cut", next_name.c_str(),
                 Now() - cut_at);
    // The old leader has stopped answering its workers; they try the nodes in
    // turn. The cut ends just before one of them tries the new leader, and is
    // back once the new leader has answered it.
    SleepFor(cut_at + 38 - Now());
    std::string which;
    while (which.empty() && Now() < cut_at + 42) {
      SleepFor(0.002);
      const std::vector<Stay> stays = cluster.history.stays();
      cluster.cloud->ForEachUp([&](const std::string& name,
                                   const std::string& room, Worker* worker) {
        const auto [node, at] = worker->next_report();
        if (room != "a" || node != next_name || at < Now() || at > Now() + 0.05)
          return;
        for (const Stay& stay : stays)
          if (stay.to < 0 && stay.machine == name &&
              stay.part.rfind(JobId(3) + "/", 0) == 0)
            which = name;
      });
    }
    if (which.empty()) return Conclude(kCouldNotRun, "no worker is left");
    const double ended_at = Now();
    cluster.CutZone(false);
    bool answered = false;
    while (!answered && Now() < ended_at + 0.3) {
      SleepFor(0.001);
      cluster.cloud->ForEachUp(
          [&](const std::string& name, const std::string&, Worker* worker) {
            if (name == which) answered = worker->answered_by() == next_name;
          });
    }
    cluster.CutZone(true);
    Record::Line(
        "TROUBLE: %.1f s after its begin the cut ends for %.0f ms; %s was %s",
        ended_at - cut_at, (Now() - ended_at) * 1000, which.c_str(),
        answered ? "answered" : "not answered");
  }
  while (Now() < cut_at + 62) {
    SleepFor(0.1);
    const std::string twice = FindTwice(cluster.history.stays());
    if (twice.empty()) continue;
    SleepFor(1);  // the record shows what follows
    return Conclude(kBroken, "ran_twice: " + twice);
  }
  return Conclude(kHeld, "no task was on two machines");
}

// --- Case 2: ran_cancelled ---------------------------------------------------

// Runs `action` for 0 .. count-1 on several threads, `rate` of them a second.
void Paced(int count, double rate, const std::function<void(int)>& action) {
  const double begin = Now();
  std::atomic<int> next{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < 48; ++i)
    threads.emplace_back([&] {
      for (;;) {
        const int index = next++;
        if (index >= count) return;
        SleepFor(begin + index / rate - Now());
        action(index);
      }
    });
  for (std::thread& thread : threads) thread.join();
}

// A controller is cut from the state service while many jobs are cancelled;
// when the cut ends, the other controllers crash and it leads.
int RanCancelled(const Arguments& arguments) {
  constexpr int kJobs = 5500;
  constexpr double kSubmitRate = 285, kCancelRate = 142;
  constexpr double kCutS = 41.5;
  ClusterOptions options;  // the settings of the README's example
  options.types = {Kudyapi(2)};
  options.teams = {{{"name", "batch"}, {"cpus", 8.0}, {"cpus_max", 16.0}}};
  options.state.latency_s = 0.002;
  const double cancel_s = options.cancel_s;
  Cluster& cluster = NewCluster(options, arguments);
  const int leader = cluster.WaitForLeader(15);
  if (leader < 0) return Conclude(kCouldNotRun, "no leader");
  SleepFor(2);
  if (!cluster.FindEnded().empty())
    return Conclude(kCouldNotRun, "a controller did not start");

  std::atomic<int> accepted{0};
  Paced(kJobs, kSubmitRate, [&](int i) {
    const json job = MakeJob(JobId(i), {{"cores", 2.0}, {"expected_s", 300.0}});
    if (cluster.Submit(job, 300).status / 100 == 2) ++accepted;
  });
  Record::Line("%d of %d jobs are accepted, state epoch %lu", accepted.load(),
               kJobs, cluster.state->epoch());
  SleepFor(1);

  const int cut = (leader + 1) % cluster.size();
  const double cut_at = Now();
  if (arguments.trouble) {
    cluster.state_proxy(cut).Set(Proxy::Mode::kSilent);
    Record::Line("TROUBLE: perch-%d is cut from the state service", cut);
  }
  // Used by the users' threads until the process ends.
  auto& told = *new std::vector<std::atomic<double>>(kJobs);
  for (auto& time : told) time = -1;
  auto& cancelled = *new std::atomic<int>(0);
  std::thread users([&cluster, &told, &cancelled] {
    Paced(kJobs, kCancelRate, [&](int i) {
      const double told_at = cluster.Cancel(JobId(i));
      told[static_cast<size_t>(i)] = told_at;
      if (told_at >= 0) ++cancelled;
    });
  });
  SleepFor(cut_at + kCutS - Now());
  Record::Line("%d jobs are told cancelled, state epoch %lu", cancelled.load(),
               cluster.state->epoch());
  if (arguments.trouble) {
    for (int i = 0; i < cluster.size(); ++i)
      if (i != cut) cluster.Kill(i);
    cluster.state_proxy(cut).Set(Proxy::Mode::kPass);
    Record::Line("TROUBLE: the cut ends after %.1f s, the others crash",
                 Now() - cut_at);
  }
  users.detach();

  const double ends_at = std::min(Now() + 32, 112.0);
  size_t broken = 0;
  std::string first;
  while (Now() < ends_at && broken == 0) {
    SleepFor(0.5);
    for (const Stay& stay : cluster.history.stays()) {
      const int job = std::atoi(stay.part.c_str() + std::strlen("job-"));
      const double told_at = told[static_cast<size_t>(job)];
      const double until = stay.to < 0 ? Now() : stay.to;
      if (told_at < 0 || until <= told_at + cancel_s) continue;
      ++broken;
      char text[200];
      std::snprintf(text, sizeof(text),
                    "%s, told cancelled at %.1f s, is on %s from %.1f s, "
                    "cancel_s is %.0f",
                    stay.part.c_str(), told_at, stay.machine.c_str(), stay.from,
                    cancel_s);
      Record::Line("BROKEN %s", text);
      if (first.empty()) first = text;
    }
  }
  Record::Line("%d jobs are told cancelled", cancelled.load());
  for (const auto& [status, count] : cluster.state->answers())
    Record::Line("the state service answered %d to %ld requests", status,
                 count);
  if (broken > 0) return Conclude(kBroken, "ran_cancelled: " + first);
  if (arguments.trouble &&
      (cluster.state->gone() == 0 || cluster.FindLeader() != cut))
    return Conclude(kCouldNotRun,
                    "the cut controller got no 410, or does not "
                    "lead");
  return Conclude(kHeld, "no task of a cancelled job ran after cancel_s");
}

// --- Case 3: nothing_ran -----------------------------------------------------

// An array of small tasks; the brief's settings for musika-ph.
int NothingRan(const Arguments& arguments) {
  ClusterOptions options;
  options.types = {Kudyapi(4), Rondalla(4)};
  options.teams = {
      {{"name", "luzon-lessons"}, {"cpus", 104.0}, {"cpus_max", 176.0}},
      {{"name", "visayas-lessons"}, {"cpus", 160.0}, {"cpus_max", 440.0}}};
  options.report_s = 2;
  options.lease_s = 14;
  options.cancel_s = 44;
  options.state = {150, 60, 8, 16, 0.005};
  options.cloud_rps = 4;
  options.list_lag_s = 5;
  options.ram_mb = 72;
  options.sockets = 1000;
  Cluster& cluster = NewCluster(options, arguments);
  if (cluster.WaitForLeader(15) < 0) return Conclude(kCouldNotRun, "no leader");
  SleepFor(2);
  if (!cluster.FindEnded().empty())
    return Conclude(kCouldNotRun, "a controller did not start");
  const json job =
      MakeJob(JobId(412), {{"crew", "luzon-lessons"},
                           {"roster", "recital-marking"},
                           {"parts", 3000},
                           {"cores", arguments.trouble ? 0.01 : 0.25},
                           {"memory_gb", 0.01},
                           {"size_gb", 0.1},
                           {"expected_s", 15.0}});
  const Answer answer = cluster.Submit(job, 15);
  if (answer.status != 201)
    return Conclude(kCouldNotRun, "the array was not accepted");
  double up_since = -1;
  while (Now() < 110) {
    SleepFor(2);
    if (up_since < 0 && cluster.cloud->CountUp() > 0) up_since = Now();
    cluster.Poll(JobId(412));
    if (!cluster.history.stays().empty() && !arguments.trouble) break;
  }
  const size_t starts = cluster.history.stays().size();
  Record::Line("%zu starts; a machine is up since %.1f s", starts, up_since);
  if (up_since < 0) return Conclude(kCouldNotRun, "no machine came up");
  if (starts > 0)
    return Conclude(kHeld, std::to_string(starts) + " tasks started");
  return Conclude(kBroken,
                  "nothing_ran: no task of the accepted array was started");
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  if (argc < 6) return 2;
  signal(SIGPIPE, SIG_IGN);
  Arguments arguments;
  arguments.trouble = std::strcmp(argv[2], "0") != 0;
  arguments.folder = argv[3];
  Record::Open(argv[4]);
  for (int i = 5; i < argc; ++i) arguments.command.emplace_back(argv[i]);
  Record::Line("case %s, TROUBLE=%d", argv[1], arguments.trouble ? 1 : 0);
  int code = kCouldNotRun;
  switch (std::atoi(argv[1])) {
    case 1: code = RanTwice(arguments); break;
    case 2: code = RanCancelled(arguments); break;
    case 3: code = NothingRan(arguments); break;
    default: break;
  }
  if (the_cluster) the_cluster->KillAll();
  _exit(code);
}
