#include "cloud/cloud_client.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>
#include <utility>

#include "base/constants.h"
#include "protocol/cloud_codec.h"
#include "protocol/field_names.h"
#include "protocol/status_codes.h"

namespace sorrelwood {
namespace {

namespace path = protocol::path;
namespace status = protocol::status;

// Tells whether the cloud has carried out a request. Its errors all mean that
// it has not.
Outcome OutcomeOfAnswer(const HttpAnswer& answer) {
  if (answer.status == status::kOk) return Outcome::kOk;
  if (answer.status >= status::kBadRequest || answer.not_sent)
    return Outcome::kRefused;
  return Outcome::kUnknown;
}

// An outage has the same status as a lack of machines; the error's text tells
// them apart.
bool IsNoCapacity(const HttpAnswer& answer) {
  return answer.status == status::kServiceUnavailable &&
         answer.body.find("no capacity") != std::string::npos;
}

// Guards against a process that stood still between deciding and sending: by
// now another leader may act on the same machines. The clock is read right
// before sending; what a stop between the two does is in docs/design.md, "Late
// actions".
bool IsTooLate(double not_after) {
  const double now = std::chrono::duration<double>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
  return now > not_after;
}

// The result of an action that was not sent.
CloudResult RefusedAsTooLate(uint64_t id) {
  CloudResult result;
  result.id = id;
  result.outcome = Outcome::kRefused;
  result.too_late = true;
  return result;
}

}  // namespace

CloudClient::CloudClient(const std::string& address, double timeout_s)
    : http_(address, timeout_s) {}

CloudResult CloudClient::GetCatalog(const FetchCatalog& catalog) {
  CloudResult result;
  result.id = catalog.id;
  const HttpAnswer answer = http_.Get(path::kCatalog);
  result.outcome = OutcomeOfAnswer(answer);
  if (result.outcome != Outcome::kOk) return result;
  if (auto types = protocol::ParseCatalog(answer.body))
    result.types = std::move(*types);
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Provision(const ProvisionMachines& provision) {
  if (IsTooLate(provision.not_after)) return RefusedAsTooLate(provision.id);
  CloudResult result;
  result.id = provision.id;
  const HttpAnswer answer = http_.Post(
      path::kMachines, protocol::EncodeProvisionRequest(provision.record));
  result.outcome = OutcomeOfAnswer(answer);
  result.no_capacity = IsNoCapacity(answer);
  if (result.outcome != Outcome::kOk) return result;
  if (auto machines = protocol::ParseMachineNames(answer.body))
    result.machines = std::move(*machines);
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Release(const ReleaseMachines& release) {
  if (IsTooLate(release.not_after)) return RefusedAsTooLate(release.id);
  CloudResult result;
  result.id = release.id;
  const HttpAnswer answer = http_.Post(
      path::kReleaseMachines, protocol::EncodeReleaseRequest(release.machines));
  result.outcome = OutcomeOfAnswer(answer);
  if (result.outcome == Outcome::kOk) result.machines = release.machines;
  return result;
}

CloudResult CloudClient::ListMachines(const ListCloudMachines& list) {
  CloudResult result;
  result.id = list.id;
  std::string after;
  for (bool has_more = true; has_more;) {
    const HttpAnswer answer =
        http_.Get(protocol::MachinePageTarget(after, kInventoryPageMachines));
    result.outcome = OutcomeOfAnswer(answer);
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
    has_more = page->has_more;
    if (has_more)
      std::this_thread::sleep_for(
          std::chrono::duration<double>(list.page_pause_s));
  }
  return result;
}

}  // namespace sorrelwood
