#include "protocol/cloud_codec.h"

#include <utility>

#include "protocol/field_names.h"
#include "protocol/json_reader.h"

namespace sorrelwood::protocol {
namespace {

ParseResult<MachineType> ReadMachineType(const Json& object) {
  JsonReader reader(object);
  MachineType type;
  type.name = reader.ReadString(field::kTypeName);
  type.cpus = reader.ReadNumber(field::kCpus, 0);
  type.gpus = reader.ReadNumber(field::kGpus, 0, Presence::kOptional);
  type.memory_gb = reader.ReadNumber(field::kMemoryGb, 0);
  type.cache_gb = reader.ReadNumber(field::kCacheGb, 0, Presence::kOptional);
  type.fetch_gb_per_s =
      reader.ReadNumber(field::kFetchGbPerS, 0, Presence::kOptional);
  type.price = reader.ReadNumber(field::kPrice, 0);
  type.spot_price = reader.Find(field::kSpotPrice)
                        ? reader.ReadNumber(field::kSpotPrice, 0)
                        : type.price;
  type.boot_s = reader.ReadNumber(field::kBootS, 0);
  type.zones = reader.ReadStrings(field::kZones);
  return reader.Finish(std::move(type));
}

MachineStatus ParseMachineStatus(const std::string& name) {
  if (name == enum_name::kRunning) return MachineStatus::kRunning;
  if (name == enum_name::kFailed) return MachineStatus::kFailed;
  return MachineStatus::kBooting;
}

ParseResult<ListedMachine> ReadListedMachine(const Json& object) {
  JsonReader reader(object);
  ListedMachine machine;
  machine.name = reader.ReadString(field::kId);
  machine.address = reader.ReadString(field::kAddress, Presence::kOptional);
  machine.type = reader.ReadString(field::kMachineType);
  machine.zone = reader.ReadString(field::kZone);
  machine.spot = reader.ReadBool(field::kSpot, Presence::kOptional);
  machine.status = ParseMachineStatus(reader.ReadString(field::kStatus));
  machine.age_s = reader.ReadNumber(field::kAgeS, 0, Presence::kOptional);
  return reader.Finish(std::move(machine));
}

}  // namespace

std::string MachinePageTarget(const std::string& after, size_t limit) {
  std::string target = std::string(path::kMachines) + "?" + query::kLimit +
                       "=" + std::to_string(limit);
  if (!after.empty()) target += std::string("&") + query::kAfter + "=" + after;
  return target;
}

std::string EncodeProvisionRequest(const ProvisioningRecord& request) {
  return WriteJson({{field::kProvisioningName, request.name},
                    {field::kMachineType, request.type},
                    {field::kZone, request.zone},
                    {field::kSpot, request.spot},
                    {field::kMachineCount, request.count}});
}

std::string EncodeReleaseRequest(const std::vector<std::string>& machines) {
  return WriteJson({{field::kMachines, machines}});
}

ParseResult<std::vector<MachineType>> ParseCatalog(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  auto types =
      ReadObjects<MachineType>(*object, field::kMachineTypes, ReadMachineType);
  if (types && types->empty())
    return MakeParseError(field::kMachineTypes, "must not be empty");
  return types;
}

ParseResult<std::vector<std::string>> ParseMachineNames(
    const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  if (!reader.Find(field::kMachines))
    return MakeParseError(field::kMachines, "is missing");
  return reader.Finish(reader.ReadStrings(field::kMachines));
}

ParseResult<MachinePage> ParseMachinePage(const std::string& body) {
  const ParseResult<Json> object = ParseJsonObject(body);
  if (!object) return tl::unexpected(object.error());
  JsonReader reader(*object);
  MachinePage page;
  page.has_more = reader.ReadBool(field::kHasMore, Presence::kOptional);
  if (!reader.ok()) return tl::unexpected(reader.error());
  auto machines =
      ReadObjects<ListedMachine>(*object, field::kMachines, ReadListedMachine);
  if (!machines) return tl::unexpected(machines.error());
  page.machines = std::move(*machines);
  return page;
}

}  // namespace sorrelwood::protocol
