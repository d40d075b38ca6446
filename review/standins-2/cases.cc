// The tests of the second review. Usage: cases NAME FOLDER. Exits with 1 if the
// rule was broken, 0 if it held, 2 if the case could not run.
#include <unistd.h>

#include <cstdio>
#include <cstring>

#include "cluster.h"

namespace review {
namespace {

// Delays of single requests in a spell in which the state service is slow.
constexpr double kSlowListS = 0.3, kSlowGetS = 0.8, kSlowWatchS = 0.15;

enum Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

std::string Uid(int number) {
  char uid[16];
  std::snprintf(uid, sizeof(uid), "job-%06d", number);
  return uid;
}

Verdict Say(Verdict verdict, const std::string& text) {
  const char* word = verdict == kHeld     ? "HELD"
                     : verdict == kBroken ? "BROKEN"
                                          : "COULD NOT RUN";
  Record(std::string(word) + ": " + text);
  std::printf("%s: %s\n", word, text.c_str());
  return verdict;
}

size_t CountOnMachines(Cluster& cluster, const std::string& uid) {
  size_t count = 0;
  for (const Stay& stay : cluster.history().stays())
    if (stay.to < 0 && stay.part.rfind(uid + "/", 0) == 0) ++count;
  return count;
}

// Watches an accepted job of one task until it starts (the rule holds), or
// until it has waited for more than 90 s while a machine that fits had room all
// along (the rule is broken).
Verdict WatchWaiting(Cluster& cluster, const std::string& uid,
                     const std::string& zone, const std::string& type,
                     double cores, double until) {
  const double accepted_at = Now();
  double room_since = -1;
  double next_line = 0;
  while (Now() < until) {
    SleepFor(0.1);
    if (cluster.history().EverStarted(uid))
      return Say(kHeld, uid + " started " +
                            std::to_string(Now() - accepted_at) +
                            " s after it was accepted");
    double free = 0;
    for (const auto& worker : cluster.cloud().Workers())
      if (worker->zone() == zone && !worker->gone() &&
          worker->type().name == type)
        free = std::max(free, worker->FreeCores());
    if (free < cores)
      room_since = -1;
    else if (room_since < 0)
      room_since = Now();
    if (Now() >= next_line) {
      next_line = Now() + 5;
      Record("waiting: " + uid + "; a machine that fits has " +
             std::to_string(free) + " cores free");
      User(&cluster, 0).Poll(uid);
    }
    if (room_since >= 0 && Now() - room_since > 90)
      return Say(kBroken,
                 uid + " has waited for " +
                     std::to_string(Now() - accepted_at) +
                     " s although a machine that fits had room for it for " +
                     std::to_string(Now() - room_since) + " s");
  }
  return Say(kCouldNotRun, uid + " waited, but not for 90 s beside free room");
}

// --- Mistaken jobs and the room beside them
// -----------------------------------

Verdict MistakenJobs(Cluster& cluster) {
  if (!cluster.Start(20)) return Say(kCouldNotRun, "no leader");
  // An array of long tasks takes one of the two ordinary machines of the zone
  // and a part of the other.
  JobPlan archive{MakeSubmission(Uid(1), "archive-transcode", "luzon-lessons"),
                  250, false};
  archive.submission.update({{"urgency", "low"},
                             {"parts", 12},
                             {"memory_gb", 3.7},
                             {"room", "quezon-hall"},
                             {"builds", {"kudyapi"}},
                             {"expected_s", 250.0},
                             {"bookmark_s", 20.0},
                             {"stash_s", 2.0}});
  if (!SubmitUntilAccepted(&cluster, Uid(1), archive, 10))
    return Say(kCouldNotRun, "the array was not accepted");
  if (!WaitFor(15, [&] { return CountOnMachines(cluster, Uid(1)) == 12; }))
    return Say(kCouldNotRun, "the array does not run");

  // The other work of the evening, in another zone: 76 jobs, so that the three
  // mistaken ones are fewer than 4 in 100.
  std::thread others([&] {
    for (int i = 0; i < 76; ++i) {
      JobPlan plan{
          MakeSubmission(Uid(100 + i), "recital-marking", "visayas-lessons"), 2,
          false};
      plan.submission["room"] = "cebu-annex";
      plan.submission["expected_s"] = 2.0;
      SubmitUntilAccepted(&cluster, Uid(100 + i), plan, 20);
      SleepFor(0.1);
    }
  });

  const auto marking = [](int number, bool mistaken) {
    JobPlan plan{
        MakeSubmission(Uid(number), "recital-marking", "recital-office"), 5,
        mistaken};
    plan.submission["room"] = "quezon-hall";
    plan.submission["builds"] = {"kudyapi"};
    return plan;
  };
  bool accepted = true;
  for (int number = 11; number <= 13; ++number)
    accepted = SubmitUntilAccepted(&cluster, Uid(number),
                                   marking(number, WithTrouble()), 10) &&
               accepted;
  if (!accepted) return Say(kCouldNotRun, "a job was not accepted");
  const bool all_started = WaitFor(10, [&] {
    return cluster.history().EverStarted(Uid(11)) &&
           cluster.history().EverStarted(Uid(12)) &&
           cluster.history().EverStarted(Uid(13));
  });
  if (!all_started) return Say(kCouldNotRun, "the three jobs did not start");
  SleepFor(2);
  if (WithTrouble())
    for (int number = 11; number <= 13; ++number)
      if (CancelUntilConfirmed(&cluster, Uid(number), {0, 1, 2}, 10) < 0)
        return Say(kCouldNotRun, "a cancellation was not confirmed");
  Record("the mistaken jobs are cancelled: the trouble is over");
  SleepFor(1);

  if (!SubmitUntilAccepted(&cluster, Uid(20), marking(20, false), 10))
    return Say(kCouldNotRun, "the last job was not accepted");
  others.join();
  return WatchWaiting(cluster, Uid(20), "quezon-hall", "kudyapi", 2, 118);
}

// --- A burst of jobs that wait for one zone
// -------------------------------------

Verdict Burst(Cluster& cluster) {
  if (!cluster.Start(20)) return Say(kCouldNotRun, "no leader");
  const auto archive = [](int number, const char* zone) {
    JobPlan plan{
        MakeSubmission(Uid(number), "archive-transcode", "luzon-lessons"), 250,
        false};
    plan.submission.update({{"urgency", "low"},
                            {"memory_gb", 3.7},
                            {"room", zone},
                            {"builds", {"kudyapi"}},
                            {"expected_s", 250.0},
                            {"bookmark_s", 20.0},
                            {"stash_s", 2.0}});
    return plan;
  };
  // A long task keeps a machine in the other zone, with room beside it.
  if (!SubmitUntilAccepted(&cluster, Uid(1), archive(1, "cebu-annex"), 10) ||
      !WaitFor(15, [&] { return CountOnMachines(cluster, Uid(1)) == 1; }))
    return Say(kCouldNotRun, "the first task does not run");
  // An array of long tasks fills both machines of one zone.
  JobPlan array = archive(3, "quezon-hall");
  array.submission["parts"] = 16;
  if (!SubmitUntilAccepted(&cluster, Uid(3), array, 10) ||
      !WaitFor(15, [&] { return CountOnMachines(cluster, Uid(3)) == 16; }))
    return Say(kCouldNotRun, "the array does not run");
  // One-task jobs that may run in that zone only, four a second, a quarter of
  // them cancelled.
  if (WithTrouble()) {
    const double from = Now();
    for (int i = 0; i < 86; ++i) {
      SleepUntil(from + 0.25 * i);
      if (!SubmitUntilAccepted(&cluster, Uid(100 + i),
                               archive(100 + i, "quezon-hall"), 5))
        return Say(kCouldNotRun, "a job was not accepted");
      if (i % 4 == 3 &&
          CancelUntilConfirmed(&cluster, Uid(100 + i), {0, 1, 2}, 5) < 0)
        return Say(kCouldNotRun, "a cancellation was not confirmed");
    }
    Record("the burst is over");
  }
  if (!SubmitUntilAccepted(&cluster, Uid(2), archive(2, "cebu-annex"), 10))
    return Say(kCouldNotRun, "the job was not accepted");
  return WatchWaiting(cluster, Uid(2), "cebu-annex", "kudyapi", 2, 118);
}

// --- Room that is kept for a class
// ----------------------------------------------

Verdict KeptRoom(Cluster& cluster) {
  if (!cluster.Start(20)) return Say(kCouldNotRun, "no leader");
  const auto plan = [](int number, const char* roster, int parts, double cores,
                       double run_s) {
    JobPlan made{MakeSubmission(Uid(number), roster, "recital-office"), run_s,
                 false};
    made.submission.update({{"parts", parts},
                            {"room", "quezon-hall"},
                            {"cores", cores},
                            {"builds", {"kudyapi"}},
                            {"expected_s", run_s}});
    return made;
  };
  const auto machine_of = [&](const std::string& uid) {
    std::string machine;
    for (const Stay& stay : cluster.history().stays())
      if (stay.to < 0 && stay.part.rfind(uid + "/", 0) == 0)
        machine = stay.machine;
    return machine;
  };
  // Four long tasks on a machine of 16 cores.
  JobPlan archive = plan(1, "archive-transcode", 4, 2, 200);
  archive.submission["room"] = "quezon-hall";
  if (!SubmitUntilAccepted(&cluster, Uid(1), archive, 10) ||
      !WaitFor(15, [&] { return CountOnMachines(cluster, Uid(1)) == 4; }))
    return Say(kCouldNotRun, "the array does not run");
  const std::string first = machine_of(Uid(1));
  // Other work, in the other zone.
  JobPlan others = plan(5, "archive-transcode", 3, 2, 200);
  others.submission["room"] = "cebu-annex";
  if (!SubmitUntilAccepted(&cluster, Uid(5), others, 10))
    return Say(kCouldNotRun, "the other job was not accepted");
  // Short arrays fill it, so that the next task, of a class that shall start
  // within 3 s, goes to another machine.
  const auto worker = cluster.cloud().Find(first);
  for (int number = 10; worker->FreeCores() >= 4; ++number) {
    if (number == 14)
      return Say(kCouldNotRun, "the short arrays run elsewhere");
    if (!SubmitUntilAccepted(&cluster, Uid(number),
                             plan(number, "recital-marking", 3, 2, 9), 10) ||
        !WaitFor(10,
                 [&] { return CountOnMachines(cluster, Uid(number)) == 3; }))
      return Say(kCouldNotRun, "a short array does not run");
  }
  JobPlan tracks = plan(3, "morning-tracks", 1, 4, 119);
  tracks.submission["urgency"] = "high";
  tracks.submission["room"] = "quezon-hall";
  if (!SubmitUntilAccepted(&cluster, Uid(3), tracks, 10) ||
      !WaitFor(15, [&] { return CountOnMachines(cluster, Uid(3)) == 1; }))
    return Say(kCouldNotRun, "the third job does not run");
  const std::string second = machine_of(Uid(3));
  if (second == first) return Say(kCouldNotRun, "one machine holds all jobs");
  if (WithTrouble()) {
    cluster.cloud().Die(second);
    if (!WaitFor(20, [&] { return machine_of(Uid(3)) == first; }))
      return Say(kCouldNotRun, "the lost task did not go to the first machine");
  }
  SleepFor(1);
  if (!SubmitUntilAccepted(&cluster, Uid(4),
                           plan(4, "recital-marking", 1, 2, 5), 10))
    return Say(kCouldNotRun, "the last job was not accepted");
  return WatchWaiting(cluster, Uid(4), "quezon-hall", "kudyapi", 2, 118);
}

// --- A slow answer and a restart
// ------------------------------------------------

Verdict CancelledJobReturns(Cluster& cluster) {
  if (!cluster.Start(20)) return Say(kCouldNotRun, "no leader");
  const auto archive = [](int number, int parts) {
    JobPlan plan{
        MakeSubmission(Uid(number), "archive-transcode", "luzon-lessons"), 250,
        false};
    plan.submission.update({{"urgency", "low"},
                            {"parts", parts},
                            {"memory_gb", 3.7},
                            {"room", "quezon-hall"},
                            {"builds", {"kudyapi"}},
                            {"expected_s", 250.0},
                            {"bookmark_s", 20.0},
                            {"stash_s", 2.0}});
    return plan;
  };
  for (const int number : {1, 2})
    if (!SubmitUntilAccepted(&cluster, Uid(number), archive(number, 3), 10))
      return Say(kCouldNotRun, "a job was not accepted");
  if (!WaitFor(20, [&] {
        return CountOnMachines(cluster, Uid(1)) == 3 &&
               CountOnMachines(cluster, Uid(2)) == 3;
      }))
    return Say(kCouldNotRun, "the jobs do not run");
  SleepFor(2);
  const int node = cluster.Leader();
  const int other = cluster.OtherThanLeader();
  const std::string read = "/keys/sw/w/live/" + Uid(2);
  if (WithTrouble()) {
    cluster.state().AddSlow(node, {"/keys?under=sw/w/live/", kSlowListS, 0});
    cluster.state().AddSlow(node, {read, 0, kSlowGetS});
    for (int i = 0; i < cluster.site().controllers; ++i)
      if (i != node) cluster.state().SetWatchDelay(i, kSlowWatchS);
  }
  // The leader ends and is back at once.
  cluster.Kill(node);
  cluster.StartController(node);
  // Somebody asks there about the second job, and its user cancels it.
  std::thread asks([&] {
    const double end = Now() + 5;
    while (Now() < end && User(&cluster, node).Poll(Uid(2)).status == 0)
      SleepFor(0.01);
  });
  if (WithTrouble())
    (void)WaitFor(3, [&] { return cluster.state().IsSlowDone(node, read); });
  else
    SleepFor(0.1);
  const double confirmed = CancelUntilConfirmed(&cluster, Uid(2), {other}, 5);
  asks.join();
  if (confirmed < 0) return Say(kCouldNotRun, "not cancelled");
  Record("the user was told that " + Uid(2) + " is cancelled at " +
         std::to_string(confirmed));
  SleepFor(4);
  for (int i = 0; i < cluster.site().controllers; ++i)
    cluster.state().SetWatchDelay(i, 0);
  Record("the state service answers quickly again; leader: " +
         cluster.state().Leader());
  if (!cluster.IsRunning(node)) return Say(kCouldNotRun, "a process ended");
  SleepUntil(confirmed + cluster.site().cancel_s + 2);
  int on_machines = 0, started = 0;
  for (const Stay& stay : cluster.history().stays()) {
    if (stay.part.rfind(Uid(2) + "/", 0) != 0) continue;
    if (stay.from > confirmed) ++started;
    if (stay.to < 0 || stay.to > confirmed + cluster.site().cancel_s)
      ++on_machines;
  }
  if (on_machines > 0)
    return Say(kBroken, std::to_string(on_machines) + " tasks of " + Uid(2) +
                            " are on machines more than cancel_s after its "
                            "user was told that it is cancelled; " +
                            std::to_string(started) + " began after that");
  return Say(kHeld, "no task of the cancelled job is on a machine; " +
                        std::to_string(started) +
                        " began after the confirmation");
}

// --- What users are told while the controllers can't reach each other
// ---------

Verdict StaleStatus(Cluster& cluster) {
  if (!cluster.Start(20)) return Say(kCouldNotRun, "no leader");
  // Work before it, so that machines are up.
  JobPlan first{MakeSubmission(Uid(1), "archive-transcode", "luzon-lessons"),
                100, false};
  first.submission.update({{"parts", 6}, {"expected_s", 100.0}});
  if (!SubmitUntilAccepted(&cluster, Uid(1), first, 10) ||
      !WaitFor(15, [&] { return CountOnMachines(cluster, Uid(1)) == 6; }))
    return Say(kCouldNotRun, "the first job does not run");
  if (WithTrouble()) cluster.RefusePeers(true);
  const double trouble_from = Now();
  SleepFor(1);
  JobPlan plan{MakeSubmission(Uid(2), "archive-transcode", "luzon-lessons"),
               100, false};
  plan.submission.update({{"parts", 4}, {"expected_s", 100.0}});
  if (!SubmitUntilAccepted(&cluster, Uid(2), plan, 10) ||
      !WaitFor(20, [&] { return CountOnMachines(cluster, Uid(2)) == 4; }))
    return Say(kCouldNotRun, "the job does not run");
  Record("all four tasks of " + Uid(2) + " run");
  const int leader = cluster.Leader();
  int wrong = 0;
  double longest = 0;
  while (Now() < trouble_from + 35) {
    for (int node = 0; node < cluster.site().controllers; ++node) {
      const double since = cluster.history().OnMachinesSince(Uid(2));
      const double sent = Now();
      const Client::Answer answer = User(&cluster, node).Poll(Uid(2));
      if (answer.status != 200 || since < 0 || cluster.Leader() != leader ||
          CountOnMachines(cluster, Uid(2)) != 4)
        continue;
      if (answer.body.value("status", "") != "running" && sent - since > 4) {
        ++wrong;
        longest = std::max(longest, sent - since);
      }
    }
    SleepFor(2.5);
  }
  if (WithTrouble()) cluster.RefusePeers(false);
  if (wrong > 0)
    return Say(kBroken, std::to_string(wrong) +
                            " answers said that no task runs while all ran, up "
                            "to " +
                            std::to_string(longest) + " s old");
  return Say(kHeld, "every answer was at most 4 s old");
}

}  // namespace

int Main(int argc, char** argv) {
  if (argc < 3) return kCouldNotRun;
  OpenRecord(argv[2]);
  const std::string name = argv[1];
  Verdict verdict = kCouldNotRun;
  {
    Site site = MusikaSite();
    if (name == "kept-room") {
      // One small team, and a cloud without cheap machines.
      site.teams = {{{"name", "recital-office"},
                     {"cpus", 40.0},
                     {"cpus_max", 528.0},
                     {"gpus", 0.0},
                     {"gpus_max", 0.0}}};
      for (Capacity& capacity : site.capacity) capacity.spot = 0;
    }
    auto cluster = std::make_unique<Cluster>(site);
    if (name == "mistaken-jobs") verdict = MistakenJobs(*cluster);
    if (name == "cancelled-job-returns")
      verdict = CancelledJobReturns(*cluster);
    if (name == "kept-room") verdict = KeptRoom(*cluster);
    if (name == "burst") verdict = Burst(*cluster);
    if (name == "stale-status") verdict = StaleStatus(*cluster);
    cluster->KillAll();
    std::fflush(stdout);
    // Threads of the stand-ins are still running: the process ends here.
    _exit(verdict);
  }
}

}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv); }
