#include "protocol/worker_codec.h"

#include <optional>
#include <utility>
#include <vector>

#include "protocol/client_codec.h"
#include "protocol/field_names.h"
#include "protocol/identifiers.h"
#include "protocol/json_reader.h"
#include "protocol/status_codes.h"

namespace sorrelwood::protocol {
namespace {

// Bounds a notice that is long over.
constexpr double kMinPreemptionNoticeS = -1e9;

TaskState ParseTaskState(const std::string& name) {
  if (name == word::kExited) return TaskState::kExited;
  if (name == word::kSaving) return TaskState::kSaving;
  if (name == word::kRunning) return TaskState::kRunning;
  return TaskState::kFetching;  // unknown states count as holding the machine
}

ExitReason ParseExitReason(const std::string& name) {
  if (name == word::kDone) return ExitReason::kDone;
  if (name == word::kStopped) return ExitReason::kStopped;
  if (name == word::kNoRoom) return ExitReason::kNoRoom;
  if (name == word::kBusy) return ExitReason::kBusy;
  if (name == word::kUnknown) return ExitReason::kUnknown;
  return ExitReason::kError;
}

ParseResult<TaskStatus> ReadTaskStatus(const Json& object) {
  JsonReader reader(object);
  const std::optional<TaskId> id = ParseTaskName(reader.String(field::kTask));
  if (!id) return MakeParseError(field::kTask, "is not a task's name");
  TaskStatus task;
  task.job = id->job;
  task.task = id->task;
  task.attempt = reader.Count(field::kAttempt);
  task.state = ParseTaskState(reader.String(field::kStatus));
  if (task.state == TaskState::kExited)
    task.reason =
        ParseExitReason(reader.String(field::kExitReason, Presence::kOptional,
                                      JsonReader::EmptyString::kAllowed));
  task.saved = reader.Bool(field::kSaved, Presence::kOptional);
  return reader.Finish(std::move(task));
}

Json WriteCommand(const Command& command) {
  Json object = {{field::kTask, TaskName(command.job, command.task)},
                 {field::kAttempt, command.attempt}};
  switch (command.kind) {
    case CommandKind::kStart: object[field::kCommandKind] = word::kStart; break;
    case CommandKind::kStop:
      object[field::kCommandKind] = word::kStop;
      object[field::kGraceS] = command.grace_s;
      break;
    case CommandKind::kForget:
      object[field::kCommandKind] = word::kForget;
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
  heartbeat.machine = reader.String(field::kMachine);
  heartbeat.address = reader.String(field::kAddress, Presence::kOptional);
  heartbeat.type = reader.String(field::kMachineType);
  heartbeat.zone = reader.String(field::kZone);
  heartbeat.spot = reader.Bool(field::kSpot, Presence::kOptional);
  heartbeat.incarnation = reader.Count(field::kIncarnation);
  heartbeat.sequence = reader.Count(field::kSequence);
  heartbeat.fencing_token =
      reader.Count(field::kFencingToken, Presence::kOptional);
  if (reader.Find(field::kPreemptionNoticeS))
    heartbeat.preemption_notice_s =
        reader.Number(field::kPreemptionNoticeS, kMinPreemptionNoticeS);
  if (!reader.ok()) return tl::unexpected(reader.error());
  if (!reader.Find(field::kTasks)) return heartbeat;  // nothing runs there
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
