#include "cloud/cloud_client.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>
#include <utility>

#include "base/constants/cloud.h"
#include "protocol/cloud_codec.h"
#include "protocol/field_names.h"
#include "protocol/status_codes.h"

namespace sorrelwood {
namespace {

namespace path = protocol::path;
namespace status = protocol::status;

// Returns whether the cloud has executed a request. All of its error statuses
// mean that it has not.
Outcome DetermineOutcome(const HttpResult& response) {
  if (response.status == status::kOk) return Outcome::kOk;
  if (response.status >= status::kBadRequest || response.not_sent)
    return Outcome::kRefused;
  return Outcome::kUnknown;
}

// The cloud answers an outage and a lack of machines with the same status; only
// the text of the error differs.
bool IsNoCapacity(const HttpResult& response) {
  return response.status == status::kServiceUnavailable &&
         response.body.find("no capacity") != std::string::npos;
}

// True if the deadline of an action has passed. A process that was suspended
// between the decision and the request must not send it any more, since another
// leader may manage the machines by now. The clock is read immediately before
// sending; docs/design.md, "Late actions", covers a suspension between the two.
bool IsPastDeadline(double not_after) {
  const double now = std::chrono::duration<double>(
                         std::chrono::steady_clock::now().time_since_epoch())
                         .count();
  return now > not_after;
}

// The result of an action that was not sent because its deadline has passed.
CloudResult MakeTooLateResult(uint64_t id) {
  CloudResult result;
  result.id = id;
  result.outcome = Outcome::kRefused;
  result.too_late = true;
  return result;
}

}  // namespace

CloudClient::CloudClient(const std::string& address, double timeout_s)
    : http_(address, timeout_s) {}

CloudResult CloudClient::GetCatalog(const FetchCatalog& fetch) {
  CloudResult result;
  result.id = fetch.id;
  const HttpResult response = http_.Get(path::kCatalog);
  result.outcome = DetermineOutcome(response);
  if (result.outcome != Outcome::kOk) return result;
  if (auto types = protocol::ParseCatalog(response.body))
    result.types = std::move(*types);
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Provision(const ProvisionMachines& provision) {
  if (IsPastDeadline(provision.not_after))
    return MakeTooLateResult(provision.id);
  CloudResult result;
  result.id = provision.id;
  const HttpResult response = http_.Post(
      path::kMachines, protocol::EncodeProvisionRequest(provision.record));
  result.outcome = DetermineOutcome(response);
  result.no_capacity = IsNoCapacity(response);
  if (result.outcome != Outcome::kOk) return result;
  if (auto machines = protocol::ParseMachineNames(response.body))
    result.machines = std::move(*machines);
  else
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Release(const ReleaseMachines& release) {
  if (IsPastDeadline(release.not_after)) return MakeTooLateResult(release.id);
  CloudResult result;
  result.id = release.id;
  const HttpResult response = http_.Post(
      path::kReleaseMachines, protocol::EncodeReleaseRequest(release.machines));
  result.outcome = DetermineOutcome(response);
  if (result.outcome == Outcome::kOk) result.machines = release.machines;
  return result;
}

CloudResult CloudClient::ListMachines(const ListCloudMachines& list) {
  CloudResult result;
  result.id = list.id;
  std::string last_machine;
  for (bool has_more = true; has_more;) {
    const HttpResult response = http_.Get(
        protocol::MachinePageTarget(last_machine, kInventoryPageMachines));
    result.outcome = DetermineOutcome(response);
    if (result.outcome != Outcome::kOk) return result;
    auto page = protocol::ParseMachinePage(response.body);
    if (!page) {
      result.outcome = Outcome::kUnknown;
      return result;
    }
    if (page->machines.empty()) break;
    std::move(page->machines.begin(), page->machines.end(),
              std::back_inserter(result.listed));
    last_machine = result.listed.back().name;
    has_more = page->has_more;
    if (has_more)
      std::this_thread::sleep_for(
          std::chrono::duration<double>(list.page_pause_s));
  }
  return result;
}

}  // namespace sorrelwood
