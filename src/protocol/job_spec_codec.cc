#include "protocol/job_spec_codec.h"

#include <optional>
#include <string>

#include "base/constants.h"
#include "protocol/field_names.h"
#include "protocol/identifiers.h"

namespace sorrelwood::protocol {
namespace {

const char* PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kProduction: return word::kProduction;
    case Priority::kHigh: return word::kHigh;
    case Priority::kStandard: return word::kStandard;
    case Priority::kLow: return word::kLow;
  }
  return word::kStandard;
}

const char* ShapeName(JobShape shape) {
  switch (shape) {
    case JobShape::kArray: return word::kArray;
    case JobShape::kService: return word::kService;
  }
  return word::kArray;
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
  spec->id = reader->String(field::kId);
  if (reader->ok() && !IsValidJobId(spec->id))
    reader->Fail(field::kId, "is not a job id");
  spec->job_class = reader->String(field::kJobClass);
  spec->team = reader->String(field::kTeam);
}

void ReadShape(JsonReader* reader, JobSpec* spec) {
  const std::optional<JobShape> shape =
      ParseShape(reader->String(field::kShape));
  if (shape)
    spec->shape = *shape;
  else
    reader->Fail(field::kShape, std::string("must be ") + word::kArray +
                                    " or " + word::kService);
}

void ReadPriority(JsonReader* reader, JobSpec* spec) {
  const std::optional<Priority> priority =
      ParsePriority(reader->String(field::kPriority));
  if (priority)
    spec->priority = *priority;
  else
    reader->Fail(field::kPriority, std::string("must be ") + word::kProduction +
                                       ", " + word::kHigh + ", " +
                                       word::kStandard + " or " + word::kLow);
}

// Number of tasks, and what each takes of its machine.
void ReadResources(JsonReader* reader, Presence newer_fields, JobSpec* spec) {
  const uint64_t tasks = reader->Count(field::kTasks);
  if (tasks < 1 || tasks > kMaxTasksPerJob)
    reader->Fail(field::kTasks,
                 "must be from 1 to " + std::to_string(kMaxTasksPerJob));
  spec->tasks = static_cast<uint32_t>(tasks);
  spec->cpus = reader->Number(field::kCpus, 0);
  spec->gpus = reader->Number(field::kGpus, 0, newer_fields);
  spec->memory_gb = reader->Number(field::kMemoryGb, 0);
  if (spec->cpus <= 0 && spec->gpus <= 0)
    reader->Fail(field::kCpus, std::string("must be more than 0 where no ") +
                                   field::kGpus + " are asked for");
}

// The image, and the machines that the tasks may run on.
void ReadPlacement(JsonReader* reader, Presence newer_fields, JobSpec* spec) {
  spec->image = reader->String(field::kImage, newer_fields);
  spec->image_gb = reader->Number(field::kImageGb, 0, newer_fields);
  spec->types = reader->Strings(field::kMachineTypes);
  if (reader->Find(field::kMachineTypes) && spec->types.empty())
    reader->Fail(field::kMachineTypes, "must be null or name a machine type");
  spec->zone = reader->String(field::kZone, Presence::kOptional);
  spec->one_zone = reader->Bool(field::kOneZone, newer_fields);
  spec->spread = reader->Bool(field::kSpread, newer_fields);
  spec->spot = reader->Bool(field::kSpot, newer_fields);
}

void ReadTimes(JsonReader* reader, Presence newer_fields, JobSpec* spec) {
  spec->estimate_s = reader->Number(field::kEstimateS, 0, newer_fields);
  spec->checkpoint_s = reader->Number(field::kCheckpointS, 0, newer_fields);
  spec->save_s = reader->Number(field::kSaveS, 0, newer_fields);
  if (reader->Find(field::kDeadlineS))
    spec->deadline_s = reader->Number(field::kDeadlineS, 0);
}

}  // namespace

ParseResult<JobSpec> ReadJobSpec(const Json& object, JobSpecSource source) {
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
                 {field::kCheckpointS, spec.checkpoint_s},
                 {field::kSaveS, spec.save_s}};
  if (!spec.image.empty()) object[field::kImage] = spec.image;
  if (!spec.types.empty()) object[field::kMachineTypes] = spec.types;
  if (!spec.zone.empty()) object[field::kZone] = spec.zone;
  if (spec.deadline_s) object[field::kDeadlineS] = *spec.deadline_s;
  return object;
}

}  // namespace sorrelwood::protocol
