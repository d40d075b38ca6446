#include "cloud/cloud_client.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>
#include <utility>

#include "base/constants.h"
#include "protocol/cloud_codec.h"
#include "protocol/field_names.h"

namespace sorrelwood {
namespace {

Outcome OutcomeOf(const HttpAnswer& answer) {
  if (answer.status == 200) return Outcome::kOk;
  if (answer.status >= 400 || answer.not_sent) return Outcome::kRefused;
  return Outcome::kUnknown;
}

// Guards against a process that stood still between deciding and sending: by
// now another leader may act on the same machines. The look is right before
// sending; what a stop between the two does is in docs/design.md, "Late
// actions".
bool TooLate(double not_after, CloudResult* result) {
  const double now = std::chrono::duration<double>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
  if (now <= not_after) return false;
  result->outcome = Outcome::kRefused;
  result->too_late = true;
  return true;
}

}  // namespace

CloudClient::CloudClient(const std::string& address, double timeout_s)
    : http_(address, timeout_s) {}

CloudResult CloudClient::Catalog(const FetchCatalog& catalog) {
  CloudResult result;
  result.id = catalog.id;
  const HttpAnswer answer = http_.Get(protocol::path::kCatalog);
  result.outcome = OutcomeOf(answer);
  if (result.outcome != Outcome::kOk) return result;
  if (auto types = protocol::ParseCatalog(answer.body))
    result.types = std::move(*types);
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Rent(const ProvisionMachines& rent) {
  CloudResult result;
  result.id = rent.id;
  if (TooLate(rent.not_after, &result)) return result;
  const HttpAnswer answer = http_.Post(
      protocol::path::kMachines, protocol::EncodeProvisionRequest(rent.rent));
  result.outcome = OutcomeOf(answer);
  // "no capacity" and "trouble" share a status.
  result.no_capacity = answer.status == 503 &&
                       answer.body.find("no capacity") != std::string::npos;
  if (result.outcome != Outcome::kOk) return result;
  if (auto machines = protocol::ParseMachineNames(answer.body))
    result.machines = std::move(*machines);
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Release(const ReleaseMachines& release) {
  CloudResult result;
  result.id = release.id;
  if (TooLate(release.not_after, &result)) return result;
  const HttpAnswer answer =
      http_.Post(protocol::path::kReleaseMachines,
                 protocol::EncodeReleaseRequest(release.machines));
  result.outcome = OutcomeOf(answer);
  if (result.outcome == Outcome::kOk) result.machines = release.machines;
  return result;
}

CloudResult CloudClient::List(const ListCloudMachines& list) {
  CloudResult result;
  result.id = list.id;
  std::string after;
  for (bool more = true; more;) {
    std::string path = std::string(protocol::path::kMachines) + "?" +
                       protocol::query::kLimit + "=" +
                       std::to_string(kInventoryPageSize);
    if (!after.empty())
      path += std::string("&") + protocol::query::kAfter + "=" + after;
    const HttpAnswer answer = http_.Get(path);
    result.outcome = OutcomeOf(answer);
    if (result.outcome != Outcome::kOk) return result;
    auto page = protocol::ParseMachinePage(answer.body);
    if (!page) {
      result.outcome = Outcome::kUnknown;
      return result;
    }
    if (page->machines.empty()) break;
    std::move(page->machines.begin(), page->machines.end(),
              std::back_inserter(result.listed));
    after = result.listed.back().name;
    more = page->has_more;
    if (more)
      std::this_thread::sleep_for(
          std::chrono::duration<double>(list.page_pause_s));
  }
  return result;
}

}  // namespace sorrelwood
