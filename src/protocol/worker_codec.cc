#include "protocol/worker_codec.h"

#include <optional>
#include <utility>
#include <vector>

#include "base/constants/user_requests.h"
#include "protocol/client_codec.h"
#include "protocol/field_names.h"
#include "protocol/identifiers.h"
#include "protocol/json_reader.h"
#include "protocol/status_codes.h"

namespace sorrelwood::protocol {
namespace {

// The time left may be negative, after the machine should have been reclaimed;
// this only limits the range of the field.
constexpr double kMinPreemptionNoticeS = -1e9;

TaskState ParseTaskState(const std::string& name) {
  if (name == enum_name::kExited) return TaskState::kExited;
  if (name == enum_name::kSaving) return TaskState::kSaving;
  if (name == enum_name::kRunning) return TaskState::kRunning;
  return TaskState::kFetching;  // an unknown state must count as still present
}

ExitReason ParseExitReason(const std::string& name) {
  if (name == enum_name::kDone) return ExitReason::kDone;
  if (name == enum_name::kStopped) return ExitReason::kStopped;
  if (name == enum_name::kInsufficientResources)
    return ExitReason::kInsufficientResources;
  if (name == enum_name::kOtherAttemptPresent)
    return ExitReason::kOtherAttemptPresent;
  if (name == enum_name::kUnknownJob) return ExitReason::kUnknownJob;
  return ExitReason::kError;
}

ParseResult<TaskStatus> ReadTaskStatus(const Json& object) {
  JsonReader reader(object, kMaxTaskNameBytes);
  const std::optional<TaskId> id =
      ParseTaskName(reader.ReadString(field::kTask));
  if (!id) return MakeParseError(field::kTask, "is not a task's name");
  TaskStatus task;
  task.job = id->job;
  task.task = id->task;
  task.attempt = reader.ReadCount(field::kAttempt);
  task.state = ParseTaskState(reader.ReadString(field::kStatus));
  if (task.state == TaskState::kExited)
    task.reason = ParseExitReason(
        reader.ReadString(field::kExitReason, Presence::kOptional,
                          JsonReader::EmptyString::kAllowed));
  task.saved = reader.ReadBool(field::kSaved, Presence::kOptional);
  return reader.Finish(std::move(task));
}

Json WriteCommand(const Command& command) {
  Json object = {{field::kTask, FormatTaskName(command.job, command.task)},
                 {field::kAttempt, command.attempt}};
  switch (command.kind) {
    case CommandKind::kStart:
      object[field::kCommandKind] = enum_name::kStart;
      break;
    case CommandKind::kStop:
      object[field::kCommandKind] = enum_name::kStop;
      object[field::kGraceS] = command.grace_s;
      break;
    case CommandKind::kForget:
      object[field::kCommandKind] = enum_name::kForget;
      break;
  }
  return object;
}

Json WriteCommands(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) list.push_back(WriteCommand(command));
  return list;
}

}  // namespace

ParseResult<Heartbeat> ParseHeartbeat(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  Heartbeat heartbeat;
  heartbeat.machine = reader.ReadString(field::kMachine);
  heartbeat.address = reader.ReadString(field::kAddress, Presence::kOptional);
  heartbeat.type = reader.ReadString(field::kMachineType);
  heartbeat.zone = reader.ReadString(field::kZone);
  heartbeat.spot = reader.ReadBool(field::kSpot, Presence::kOptional);
  heartbeat.incarnation = reader.ReadCount(field::kIncarnation);
  heartbeat.sequence = reader.ReadCount(field::kSequence);
  heartbeat.fencing_token =
      reader.ReadCount(field::kFencingToken, Presence::kOptional);
  if (reader.Find(field::kPreemptionNoticeS))
    heartbeat.preemption_notice_s =
        reader.ReadNumber(field::kPreemptionNoticeS, kMinPreemptionNoticeS);
  if (!reader.ok()) return tl::unexpected(reader.error());
  if (!reader.Find(field::kTasks)) return heartbeat;  // no task attempts
  auto tasks = ReadObjects<TaskStatus>(*object, field::kTasks, ReadTaskStatus);
  if (!tasks) return tl::unexpected(tasks.error());
  heartbeat.tasks = std::move(*tasks);
  return heartbeat;
}

std::string EncodeHeartbeatResponse(const HeartbeatResponse& response) {
  if (response.status == status::kOk)
    return WriteJson({{field::kFencingToken, response.fencing_token},
                      {field::kCommands, WriteCommands(response.commands)}});
  if (response.status == status::kMisdirectedRequest) {
    if (response.redirect.empty()) return "{}";
    return WriteJson({{field::kRedirect, response.redirect}});
  }
  return EncodeError("not able to answer workers now");
}

std::string EncodePushedCommands(const PushedCommands& pushed) {
  return WriteJson({{field::kFencingToken, pushed.fencing_token},
                    {field::kIncarnation, pushed.incarnation},
                    {field::kCommands, WriteCommands(pushed.commands)}});
}

}  // namespace sorrelwood::protocol
