#include "protocol/job_spec_codec.h"

#include <optional>
#include <string>

#include "base/constants/user_requests.h"
#include "protocol/field_names.h"
#include "protocol/identifiers.h"

namespace sorrelwood::protocol {
namespace {

const char* PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kProduction: return enum_name::kProduction;
    case Priority::kHigh: return enum_name::kHigh;
    case Priority::kStandard: return enum_name::kStandard;
    case Priority::kLow: return enum_name::kLow;
  }
  return enum_name::kStandard;
}

const char* ShapeName(JobShape shape) {
  switch (shape) {
    case JobShape::kArray: return enum_name::kArray;
    case JobShape::kService: return enum_name::kService;
  }
  return enum_name::kArray;
}

std::optional<JobShape> ParseShape(const std::string& name) {
  for (const JobShape shape : {JobShape::kArray, JobShape::kService})
    if (name == ShapeName(shape)) return shape;
  return std::nullopt;
}

std::optional<Priority> ParsePriority(const std::string& name) {
  for (const Priority priority : {Priority::kLow, Priority::kStandard,
                                  Priority::kHigh, Priority::kProduction})
    if (name == PriorityName(priority)) return priority;
  return std::nullopt;
}

void ReadIdentity(JsonReader* reader, JobSpec* spec) {
  spec->id = reader->ReadString(field::kId);
  if (reader->ok() && !IsValidJobId(spec->id))
    reader->Fail(field::kId, "is not a job id");
  spec->job_class = reader->ReadString(field::kJobClass);
  spec->team = reader->ReadString(field::kTeam);
}

void ReadShape(JsonReader* reader, JobSpec* spec) {
  const std::optional<JobShape> shape =
      ParseShape(reader->ReadString(field::kShape));
  if (shape)
    spec->shape = *shape;
  else
    reader->Fail(field::kShape, std::string("must be ") + enum_name::kArray +
                                    " or " + enum_name::kService);
}

void ReadPriority(JsonReader* reader, JobSpec* spec) {
  const std::optional<Priority> priority =
      ParsePriority(reader->ReadString(field::kPriority));
  if (priority)
    spec->priority = *priority;
  else
    reader->Fail(field::kPriority,
                 std::string("must be ") + enum_name::kProduction + ", " +
                     enum_name::kHigh + ", " + enum_name::kStandard + " or " +
                     enum_name::kLow);
}

// Reads the number of tasks and the resources of each.
void ReadResources(JsonReader* reader, Presence newer_fields, JobSpec* spec) {
  const uint64_t tasks = reader->ReadCount(field::kTasks);
  if (tasks < 1 || tasks > kMaxTasksPerJob)
    reader->Fail(field::kTasks,
                 "must be from 1 to " + std::to_string(kMaxTasksPerJob));
  spec->tasks = static_cast<uint32_t>(tasks);
  spec->cpus = reader->ReadNumber(field::kCpus, 0);
  spec->gpus = reader->ReadNumber(field::kGpus, 0, newer_fields);
  spec->memory_gb = reader->ReadNumber(field::kMemoryGb, 0);
  if (spec->cpus <= 0 && spec->gpus <= 0)
    reader->Fail(field::kCpus, std::string("must be more than 0 where no ") +
                                   field::kGpus + " are asked for");
}

// Reads the image and the constraints on machines.
void ReadPlacement(JsonReader* reader, Presence newer_fields, JobSpec* spec) {
  spec->image = reader->ReadString(field::kImage, newer_fields);
  spec->image_gb = reader->ReadNumber(field::kImageGb, 0, newer_fields);
  spec->types = reader->ReadStrings(field::kMachineTypes);
  if (reader->Find(field::kMachineTypes) && spec->types.empty())
    reader->Fail(field::kMachineTypes, "must be null or name a machine type");
  spec->zone = reader->ReadString(field::kZone, Presence::kOptional);
  spec->one_zone = reader->ReadBool(field::kOneZone, newer_fields);
  spec->spread = reader->ReadBool(field::kSpread, newer_fields);
  spec->spot = reader->ReadBool(field::kSpot, newer_fields);
}

// Reads the run time estimate, the checkpoint times and the deadline.
void ReadTimes(JsonReader* reader, Presence newer_fields, JobSpec* spec) {
  spec->estimate_s = reader->ReadNumber(field::kEstimateS, 0, newer_fields);
  spec->checkpoint_interval_s =
      reader->ReadNumber(field::kCheckpointIntervalS, 0, newer_fields);
  spec->save_s = reader->ReadNumber(field::kSaveS, 0, newer_fields);
  if (reader->Find(field::kDeadlineS))
    spec->deadline_s = reader->ReadNumber(field::kDeadlineS, 0);
}

}  // namespace

ParseResult<JobSpec> ReadJobSpec(const Json& object, JobSpecSource source) {
  // Fields that records of earlier versions lack.
  const Presence newer_fields = source == JobSpecSource::kSubmission
                                    ? Presence::kRequired
                                    : Presence::kOptional;
  JsonReader reader(object);
  JobSpec spec;
  ReadIdentity(&reader, &spec);
  ReadShape(&reader, &spec);
  ReadPriority(&reader, &spec);
  ReadResources(&reader, newer_fields, &spec);
  ReadPlacement(&reader, newer_fields, &spec);
  ReadTimes(&reader, newer_fields, &spec);
  return reader.Finish(std::move(spec));
}

Json WriteJobSpec(const JobSpec& spec) {
  Json object = {{field::kId, spec.id},
                 {field::kJobClass, spec.job_class},
                 {field::kTeam, spec.team},
                 {field::kShape, ShapeName(spec.shape)},
                 {field::kPriority, PriorityName(spec.priority)},
                 {field::kTasks, spec.tasks},
                 {field::kCpus, spec.cpus},
                 {field::kGpus, spec.gpus},
                 {field::kMemoryGb, spec.memory_gb},
                 {field::kImageGb, spec.image_gb},
                 {field::kOneZone, spec.one_zone},
                 {field::kSpread, spec.spread},
                 {field::kSpot, spec.spot},
                 {field::kEstimateS, spec.estimate_s},
                 {field::kCheckpointIntervalS, spec.checkpoint_interval_s},
                 {field::kSaveS, spec.save_s}};
  if (!spec.image.empty()) object[field::kImage] = spec.image;
  if (!spec.types.empty()) object[field::kMachineTypes] = spec.types;
  if (!spec.zone.empty()) object[field::kZone] = spec.zone;
  if (spec.deadline_s) object[field::kDeadlineS] = *spec.deadline_s;
  return object;
}

}  // namespace sorrelwood::protocol
