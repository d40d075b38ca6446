#include "cloud/cloud_client.h"

#include <chrono>
#include <thread>

#include "base/constants.h"
#include "protocol/json.h"

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
  const HttpAnswer answer = http_.Get("/catalog");
  result.outcome = OutcomeOf(answer);
  if (result.outcome == Outcome::kOk &&
      !wire::ParseCatalog(answer.body, &result.types))
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Rent(const ProvisionMachines& rent) {
  CloudResult result;
  result.id = rent.id;
  if (TooLate(rent.not_after, &result)) return result;
  const HttpAnswer answer = http_.Post("/hosts", wire::EncodeRent(rent.rent));
  result.outcome = OutcomeOf(answer);
  // "no capacity" and "trouble" share a status.
  result.no_capacity = answer.status == 503 &&
                       answer.body.find("no capacity") != std::string::npos;
  if (result.outcome == Outcome::kOk &&
      !wire::ParseMachineNames(answer.body, &result.machines))
    result.outcome = Outcome::kUnknown;
  return result;
}

CloudResult CloudClient::Release(const ReleaseMachines& release) {
  CloudResult result;
  result.id = release.id;
  if (TooLate(release.not_after, &result)) return result;
  const HttpAnswer answer =
      http_.Post("/hosts/release", wire::EncodeRelease(release.machines));
  result.outcome = OutcomeOf(answer);
  if (result.outcome == Outcome::kOk) result.machines = release.machines;
  return result;
}

CloudResult CloudClient::List(const ListCloudMachines& list) {
  CloudResult result;
  result.id = list.id;
  std::string after;
  for (bool more = true; more;) {
    std::string path = "/hosts?most=" + std::to_string(kMachinePage);
    if (!after.empty()) path += "&after=" + after;
    const HttpAnswer answer = http_.Get(path);
    result.outcome = OutcomeOf(answer);
    if (result.outcome != Outcome::kOk) return result;
    const size_t before = result.listed.size();
    if (!wire::ParseMachineList(answer.body, &result.listed, &more)) {
      result.outcome = Outcome::kUnknown;
      return result;
    }
    if (result.listed.size() == before) break;
    after = result.listed.back().name;
    if (more)
      std::this_thread::sleep_for(
          std::chrono::duration<double>(list.page_pause_s));
  }
  return result;
}

}  // namespace sorrelwood
