#include "protocol/stored_records_codec.h"

#include <utility>

#include "base/constants/user_requests.h"
#include "protocol/job_spec_codec.h"
#include "protocol/json_reader.h"

namespace sorrelwood::protocol {
namespace {

// Fields of several records.
constexpr char kName[] = "name";
constexpr char kType[] = "type";
constexpr char kZone[] = "zone";
constexpr char kSpot[] = "spot";
constexpr char kTerm[] = "term";

// LiveJob
constexpr char kSpec[] = "spec";
constexpr char kSubmittedWallS[] = "at";

// LeaderRecord
constexpr char kNode[] = "node";

// ProvisioningRecord
constexpr char kCount[] = "count";
constexpr char kAnswered[] = "answered";
constexpr char kMachines[] = "machines";

// MachineRecord
constexpr char kAddress[] = "address";

// CompletionRecord
constexpr char kFirstTask[] = "from";
constexpr char kBitsHex[] = "bits";
constexpr char kHexDigits[] = "0123456789abcdef";

// FinalState, as JSON text.
constexpr char kDoneJson[] = "\"done\"";
constexpr char kCancelledJson[] = "\"cancelled\"";

// Reads a record for a part of a job's tasks, which contains its first task.
ParseResult<CompletionRecord> ReadCompletionPart(const Json& object) {
  JsonReader reader(object);
  const uint64_t first_task = reader.ReadCount(kFirstTask);
  if (!reader.ok()) return tl::unexpected(reader.error());
  if (first_task >= kMaxTasksPerJob)
    return MakeParseError(kFirstTask, "is out of range");
  const Json* bits = reader.Find(kBitsHex);
  if (!bits || !bits->is_string())
    return MakeParseError(kBitsHex, "must be a string");
  return CompletionRecord{static_cast<uint32_t>(first_task),
                          bits->get<std::string>()};
}

ParseResult<CompletionRecord> ReadCompletionRecord(const Json& value) {
  if (value.is_string())
    return CompletionRecord{std::nullopt, value.get<std::string>()};
  if (value.is_object()) return ReadCompletionPart(value);
  return MakeParseError("", "the record is neither a string nor an object");
}

}  // namespace

std::string EncodeLiveJob(const LiveJob& job) {
  return WriteJson({{kSpec, WriteJobSpec(job.spec)},
                    {kSubmittedWallS, job.submitted_wall_s}});
}

ParseResult<LiveJob> ParseLiveJob(const std::string& text) {
  const ParseResult<Json> object = ParseJsonObject(text);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  LiveJob job;
  job.submitted_wall_s = reader.ReadNumber(kSubmittedWallS, 0);
  if (!reader.ok()) return tl::unexpected(reader.error());
  const Json* spec_object = reader.Find(kSpec);
  if (!spec_object || !spec_object->is_object())
    return MakeParseError(kSpec, "must be an object");
  ParseResult<JobSpec> spec = ReadJobSpec(*spec_object, JobSpecSource::kRecord);
  if (!spec) return tl::unexpected(spec.error());
  job.spec = std::move(*spec);
  return job;
}

std::string EncodeFinalState(FinalState state) {
  return state == FinalState::kDone ? kDoneJson : kCancelledJson;
}

ParseResult<FinalState> ParseFinalState(const std::string& text) {
  if (text == kDoneJson) return FinalState::kDone;
  if (text == kCancelledJson) return FinalState::kCancelled;
  return MakeParseError("", "the record is no final state");
}

std::string EncodeLeaderRecord(const LeaderRecord& leader) {
  return WriteJson({{kNode, leader.node}, {kTerm, leader.term}});
}

ParseResult<LeaderRecord> ParseLeaderRecord(const std::string& text) {
  const ParseResult<Json> object = ParseJsonObject(text);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  LeaderRecord leader;
  leader.node = reader.ReadString(kNode);
  leader.term = reader.ReadCount(kTerm);
  return reader.Finish(std::move(leader));
}

std::string EncodeTerm(uint64_t term) { return WriteJson({{kTerm, term}}); }

ParseResult<uint64_t> ParseTerm(const std::string& text) {
  const ParseResult<Json> object = ParseJsonObject(text);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  return reader.Finish(reader.ReadCount(kTerm));
}

std::string EncodeProvisioningRecord(const ProvisioningRecord& request) {
  return WriteJson({{kName, request.name},
                    {kType, request.type},
                    {kZone, request.zone},
                    {kSpot, request.spot},
                    {kCount, request.count},
                    {kAnswered, request.answered},
                    {kMachines, request.machines}});
}

ParseResult<ProvisioningRecord> ParseProvisioningRecord(
    const std::string& text) {
  const ParseResult<Json> object = ParseJsonObject(text);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  ProvisioningRecord request;
  request.name = reader.ReadString(kName);
  request.type = reader.ReadString(kType);
  request.zone = reader.ReadString(kZone);
  request.spot = reader.ReadBool(kSpot);
  request.count = static_cast<int>(reader.ReadCount(kCount));
  request.answered = reader.ReadBool(kAnswered);
  request.machines = reader.ReadStrings(kMachines);
  return reader.Finish(std::move(request));
}

std::string EncodeMachineRecord(const MachineRecord& machine) {
  return WriteJson({{kName, machine.name},
                    {kType, machine.type},
                    {kZone, machine.zone},
                    {kAddress, machine.address},
                    {kSpot, machine.spot}});
}

ParseResult<MachineRecord> ParseMachineRecord(const std::string& text) {
  const ParseResult<Json> object = ParseJsonObject(text);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  MachineRecord machine;
  machine.name = reader.ReadString(kName);
  machine.type = reader.ReadString(kType);
  machine.zone = reader.ReadString(kZone);
  machine.address = reader.ReadString(kAddress, Presence::kOptional);
  machine.spot = reader.ReadBool(kSpot);
  return reader.Finish(std::move(machine));
}

std::string EncodeCompletionRecord(const CompletionRecord& record) {
  if (!record.first_task) return WriteJson(record.bits_hex);
  return WriteJson(
      {{kFirstTask, *record.first_task}, {kBitsHex, record.bits_hex}});
}

ParseResult<CompletionRecord> ParseCompletionRecord(const std::string& text) {
  ParseResult<CompletionRecord> record = ReadCompletionRecord(ParseJson(text));
  if (record &&
      record->bits_hex.find_first_not_of(kHexDigits) != std::string::npos)
    return MakeParseError(kBitsHex, "must be hexadecimal digits");
  return record;
}

}  // namespace sorrelwood::protocol
