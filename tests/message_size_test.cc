// The sizes of messages to and from workers stay within the protocol's bounds,
// whatever users submit.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/jobs/task_resources.h"
#include "protocol/worker_codec.h"
#include "protocol/worker_message_size.h"
#include "scripted_leader.h"
#include "simulation/worker_report.h"

namespace sorrelwood::test {
namespace {

constexpr size_t kMaxLineBytes = size_t{64} * 1024;  // protocol
constexpr size_t kMaxBodyBytes = size_t{64} * 1024;  // protocol
constexpr uint64_t kLargestNumber = std::numeric_limits<uint64_t>::max();

// A report of the tasks with the largest numbers that the protocol allows.
std::string EncodeReportOf(const std::string& machine,
                           const std::vector<TaskStatus>& tasks) {
  Heartbeat report;
  report.machine = machine;
  report.address = machine + ":1";
  report.type = "big";
  report.zone = "a";
  report.incarnation = report.sequence = report.fencing_token = kLargestNumber;
  report.tasks = tasks;
  return EncodeReport(report);
}

// A machine whose worker executes the commands that it is sent, and neither
// reads a line nor sends a report over the bounds.
class ScriptedWorker {
 public:
  explicit ScriptedWorker(std::string name) : name_(std::move(name)) {}

  // Reports to the leader and executes its commands.
  void Exchange(ScriptedLeader* leader) {
    const std::vector<TaskStatus> tasks = ListTasks();
    const std::string report = EncodeReportOf(name_, tasks);
    largest_report_bytes_ = std::max(largest_report_bytes_, report.size());
    if (report.size() > kMaxBodyBytes) return;
    const HeartbeatResponse response =
        leader->OnHeartbeat(name_, 1, ++sequence_, token_, tasks);
    const std::string line = protocol::EncodeHeartbeatResponse(response);
    largest_line_bytes_ = std::max(largest_line_bytes_, line.size());
    if (line.size() > kMaxLineBytes || response.status != 200) return;
    token_ = response.fencing_token;
    for (const Command& command : response.commands) Execute(command);
  }

  // Ends all running tasks.
  void CompleteTasks() {
    for (auto& [id, task] : tasks_) {
      if (task.state == TaskState::kExited) continue;
      task.state = TaskState::kExited;
      task.reason = ExitReason::kDone;
    }
  }

  size_t task_count() const { return tasks_.size(); }
  size_t starts() const { return starts_; }
  size_t largest_line_bytes() const { return largest_line_bytes_; }
  size_t largest_report_bytes() const { return largest_report_bytes_; }

 private:
  std::vector<TaskStatus> ListTasks() const {
    std::vector<TaskStatus> tasks;
    for (const auto& [id, task] : tasks_) tasks.push_back(task);
    return tasks;
  }

  void Execute(const Command& command) {
    const TaskId id{command.job, command.task};
    switch (command.kind) {
      case CommandKind::kStart:
        tasks_[id] = {command.job, command.task, command.attempt};
        ++starts_;
        return;
      case CommandKind::kStop:
        tasks_.at(id).state = TaskState::kExited;
        tasks_.at(id).reason = ExitReason::kStopped;
        return;
      case CommandKind::kForget: tasks_.erase(id); return;
    }
  }

  const std::string name_;
  uint64_t sequence_ = 0, token_ = 0;
  std::map<TaskId, TaskStatus> tasks_;
  size_t starts_ = 0, largest_line_bytes_ = 0, largest_report_bytes_ = 0;
};

std::vector<TaskStatus> MakeRunningTasks(const std::string& job,
                                         uint32_t count) {
  std::vector<TaskStatus> tasks;
  for (uint32_t task = 0; task < count; ++task)
    tasks.push_back({job, task, 1, TaskState::kRunning});
  return tasks;
}

std::string LongestJobId() { return "job-" + std::string(96, 'x'); }

// A leader with one idle machine of the given type.
class MessageSizeTest : public ::testing::Test {
 protected:
  MessageSizeTest() {
    leader_.types = {{"big", 64, 0, 256, 100, 1, 1, 0.4, 10, {"a"}}};
    leader_.AddMachineRecord("n-1");
    leader_.Run(3);
    while (!leader_.leading()) leader_.Run(0.5);
  }

  void AddArray(const std::string& id, uint32_t tasks, double cpus) {
    LiveJob job;
    job.spec.id = id;
    job.spec.job_class = "class";
    job.spec.team = "team";
    job.spec.tasks = tasks;
    job.spec.cpus = cpus;
    job.spec.memory_gb = 0.0001;
    job.spec.spot = true;
    job.spec.estimate_s = 30;
    leader_.AddLiveJob(job);
  }

  // Reports and responses alternate for `rounds` heartbeats; in each the tasks
  // of the last one end if `complete`.
  void Exchange(int rounds, bool complete) {
    for (int i = 0; i < rounds; ++i) {
      worker_.Exchange(&leader_);
      if (complete) worker_.CompleteTasks();
      leader_.Run(1);
    }
  }

  void ExpectBoundedMessages() const {
    EXPECT_LE(worker_.largest_line_bytes(), kMaxLineBytes);
    EXPECT_LE(worker_.largest_report_bytes(), kMaxBodyBytes);
  }

  ScriptedLeader leader_;
  ScriptedWorker worker_{"n-1"};
};

// Guards against an array that never starts, because the start commands for one
// machine take a line of over 64 KiB (review/3): for any number and size of
// tasks and any length of names.
TEST_F(MessageSizeTest, ArraysOfAnyShapeStartWithinTheBounds) {
  std::mt19937_64 random(44);
  const std::vector<uint32_t> sizes = {1, 400, 700, 1100, 3000, 8000, 100000};
  const std::vector<double> cpus = {0.001, 0.002, 0.01, 0.05, 0.25, 1};
  int next_job = 0;
  for (const uint32_t tasks : sizes) {
    for (const double task_cpus : cpus) {
      std::string id = "job-" + std::to_string(300000 + next_job++);
      if (random() % 2) id.resize(kMaxIdBytes, 'x');
      SCOPED_TRACE(id + ": " + std::to_string(tasks) + " tasks of " +
                   std::to_string(task_cpus) + " cores");
      const size_t starts_before = worker_.starts();
      AddArray(id, tasks, task_cpus);
      Exchange(6, /*complete=*/true);
      EXPECT_GE(
          worker_.starts() - starts_before,
          std::min<size_t>(tasks, static_cast<size_t>(1 / task_cpus)) / 4);
      leader_.Cancel(id);
      Exchange(4, /*complete=*/true);
      EXPECT_EQ(worker_.task_count(), 0u);
      ExpectBoundedMessages();
    }
  }
}

// Guards against a report that the worker cannot send: exited tasks that wait
// for their result to be stored stay in it beside the tasks that follow them.
TEST_F(MessageSizeTest, ExitedTasksTakeTheirPartOfTheReport) {
  AddArray(LongestJobId(), 100000, 0.001);
  Exchange(3, /*complete=*/false);
  const size_t running = worker_.task_count();
  EXPECT_GT(running, 100u);
  worker_.CompleteTasks();
  // Their results are not stored yet, so the worker keeps all of them.
  worker_.Exchange(&leader_);
  EXPECT_EQ(worker_.starts(), running);
  Exchange(3, /*complete=*/false);
  EXPECT_GT(worker_.starts(), running);
  ExpectBoundedMessages();
}

// Guards against starts that are taken for lost, or wait for a lease, because
// the response had no room left for their commands: here after the stops of
// tasks that an unknown leader has left on the machine.
TEST_F(MessageSizeTest, StartsThatDoNotFitFollowWithTheNextResponse) {
  Exchange(2, /*complete=*/false);
  AddArray("job-300001", 400, 0.01);
  leader_.Run(1.5);  // a pass places them; they wait for a heartbeat
  const HeartbeatResponse full = leader_.OnHeartbeat(
      "n-1", 1, 100, leader_.token(), MakeRunningTasks("job-1", 1300));
  EXPECT_LE(protocol::EncodeHeartbeatResponse(full).size(), kMaxLineBytes);
  EXPECT_EQ(ScriptedLeader::CountStarts(full), 0);
  const HeartbeatResponse next =
      leader_.OnHeartbeat("n-1", 1, 101, leader_.token(), {});
  EXPECT_EQ(ScriptedLeader::CountStarts(next), 400);
}

// Guards against a machine that gets no tasks any more once its report was
// full.
TEST_F(MessageSizeTest, TasksFollowOnAFullMachine) {
  AddArray("job-300001", 100000, 0.001);
  Exchange(2, /*complete=*/false);
  const size_t first = worker_.starts();
  EXPECT_GT(first, 250u);
  worker_.CompleteTasks();
  Exchange(6, /*complete=*/false);
  EXPECT_GE(worker_.starts(), 2 * first);
  // No task was started a second time.
  EXPECT_LE(worker_.starts(), 100000u);
  ExpectBoundedMessages();
}

// Guards against cores that stay idle for as long as small tasks run, because
// these fill the report of the worker.
TEST_F(MessageSizeTest, SmallTasksLeaveTheOtherCoresUsable) {
  AddArray("job-300001", 100000, 0.001);
  Exchange(3, /*complete=*/false);
  const size_t small = worker_.starts();
  EXPECT_GT(small, 200u);
  AddArray(LongestJobId(), 63, 1);
  Exchange(3, /*complete=*/false);
  EXPECT_EQ(worker_.starts() - small, 63u);
  ExpectBoundedMessages();
}

// Guards against an answer to a user that is longer than a line may be:
// whatever a submission holds, the answer repeats no more than an id or a
// team's name.
TEST_F(MessageSizeTest, AnswersToUsersAreBounded) {
  const std::string long_text(60000, 'x');
  for (const std::string& team : {std::string("team"), std::string(100, '"')}) {
    for (const std::string& id : {std::string("job-1"), LongestJobId()}) {
      JobSpec spec;
      spec.id = id;
      spec.team = team;
      spec.tasks = kMaxTasksPerJob;
      spec.cpus = 0.001;
      spec.types = {long_text};
      leader_.Resubmit(spec);
      EXPECT_GE(leader_.user_status(), 400);
      EXPECT_LE(leader_.user_answer_bytes(), 1024u);
    }
  }
  const ClientResponse poll = leader_.SubmitOrPoll(false, "job-" + long_text);
  EXPECT_EQ(poll.status, 404);
  EXPECT_LE(poll.body.size(), 1024u);
}

// Guards against small tasks that start on no machine, because so many cores
// are free there.
TEST(MessageSize, SmallTasksFitOnAMachineOfAnySize) {
  for (const double cpus : {1.0, 64.0, 300.0, 4000.0}) {
    const MachineType type{"huge", cpus, 0, 1e6, 100, 1, 1, 0.4, 10, {"a"}};
    JobSpec spec;
    spec.id = LongestJobId();
    spec.cpus = 0.001;
    EXPECT_TRUE(ResourcesPerTask(spec).FitInto(ResourcesOf(type))) << cpus;
  }
}

// Guards against a response over 64 KiB to a worker that was given more tasks
// by a leader of an earlier version: the stop commands of a whole report.
TEST_F(MessageSizeTest, StopsOfAFullReportAreBounded) {
  worker_.Exchange(&leader_);
  std::vector<TaskStatus> tasks = MakeRunningTasks("job-1", 1300);
  const HeartbeatResponse first =
      leader_.OnHeartbeat("n-1", 1, 100, leader_.token(), tasks);
  EXPECT_LE(protocol::EncodeHeartbeatResponse(first).size(), kMaxLineBytes);
  EXPECT_GT(first.commands.size(), 400u);
  tasks.erase(tasks.begin(),
              tasks.begin() + static_cast<ptrdiff_t>(first.commands.size()));
  const HeartbeatResponse second =
      leader_.OnHeartbeat("n-1", 1, 101, leader_.token(), tasks);
  EXPECT_LE(protocol::EncodeHeartbeatResponse(second).size(), kMaxLineBytes);
  EXPECT_GT(second.commands.size(), 0u);
  // A report with an older token is answered with stops as well.
  const HeartbeatResponse old_token =
      leader_.OnHeartbeat("n-1", 1, 102, kOldToken, tasks);
  EXPECT_LE(protocol::EncodeHeartbeatResponse(old_token).size(), kMaxLineBytes);
}

// The bounds that the leader counts with hold for each command and each report
// that the codecs and workers write.
TEST(MessageSize, BoundsCoverEveryCommandAndReport) {
  const std::vector<std::string> ids = {
      "job-1", LongestJobId(), std::string(20, '"'), std::string(20, '\x01'),
      "job-\xff\xfe"};
  for (const std::string& id : ids) {
    for (const CommandKind kind :
         {CommandKind::kStart, CommandKind::kStop, CommandKind::kForget}) {
      for (const double grace_s :
           {0.0, 1.0 / 3, 1e12, 1.2345678901234567e-100}) {
        const Command command{kind, id, 99999, kLargestNumber, grace_s};
        PushedCommands none, one;
        one.commands = {command, command};
        const size_t bytes = protocol::EncodePushedCommands(one).size() -
                             protocol::EncodePushedCommands(none).size();
        EXPECT_LE(bytes, 2 * protocol::MaxCommandBytes(command)) << id;
      }
    }
  }
  for (const TaskState state : {TaskState::kFetching, TaskState::kRunning,
                                TaskState::kSaving, TaskState::kExited}) {
    const TaskStatus task{LongestJobId(),       99999, kLargestNumber, state,
                          ExitReason::kStopped, true};
    const size_t bytes = EncodeReportOf("n-1", {task, task}).size() -
                         EncodeReportOf("n-1", {task}).size();
    EXPECT_LE(bytes, protocol::MaxReportedTaskBytes(task.job));
  }
  const std::string longest_name(kMaxIdBytes, 'x');
  EXPECT_LE(EncodeReportOf(longest_name, {}).size() + 3 * kMaxIdBytes,
            kReportOverheadBytes);
  PushedCommands empty;
  empty.fencing_token = empty.incarnation = kLargestNumber;
  EXPECT_LE(protocol::EncodePushedCommands(empty).size(),
            kCommandListOverheadBytes);
}

}  // namespace
}  // namespace sorrelwood::test
