#include "loopback/clients.h"

#include <httplib.h>

#include <chrono>
#include <iterator>
#include <thread>

#include "http/endpoint.h"

namespace sorrelwood::test {
namespace {

using nlohmann::json;

constexpr int kSubmitAttempts = 60;
constexpr auto kSubmitRetryPause = std::chrono::milliseconds(500);
constexpr int kConnectTimeoutS = 1;
constexpr int kResponseTimeoutS = 2;
constexpr double kSaveS = 0.3;

json MakeSubmission(const JobRequest& request) {
  return {{"uid", request.id},
          {"roster", "burst"},
          {"crew", request.team},
          {"shape", "sweep"},
          {"urgency", "high"},
          {"parts", request.tasks},
          {"cores", request.cpus},
          {"cards", 0.0},
          {"memory_gb", request.memory_gb},
          {"bundle", "img-1"},
          {"size_gb", 0.1},
          {"builds", nullptr},
          {"room", request.zone.empty() ? json() : json(request.zone)},
          {"one_zone", false},
          {"scatter", false},
          {"loaners", true},
          {"expected_s", request.run_s},
          {"bookmark_s", 5.0},
          {"stash_s", kSaveS},
          {"due_s", nullptr}};
}

std::string JobPath(const std::string& id) { return "/submissions/" + id; }

}  // namespace

bool Clients::Submit(const JobRequest& request) {
  progress_->AddJob(request.id, {request.run_s, kSaveS, true});
  const json submission = MakeSubmission(request);
  for (int attempt = 0; attempt < kSubmitAttempts; ++attempt) {
    const int status = SendRequest("/submissions", &submission).first;
    if (status == 200 || status == 201) return true;
    std::this_thread::sleep_for(kSubmitRetryPause);
  }
  return false;
}

bool Clients::Cancel(const std::string& id) {
  const json empty = json::object();
  for (int attempt = 0; attempt < kSubmitAttempts; ++attempt) {
    const int status = SendRequest(JobPath(id) + "/cancel", &empty).first;
    if (status == 200) return true;
    std::this_thread::sleep_for(kSubmitRetryPause);
  }
  return false;
}

std::string Clients::Status(const std::string& id) {
  const auto [status, body] = SendRequest(JobPath(id), nullptr);
  return status == 200 ? body.value("status", "") : "";
}

std::string Clients::StatusAt(int controller, const std::string& id) const {
  const auto [status, body] =
      SendRequestTo(static_cast<size_t>(controller), JobPath(id), nullptr);
  return status == 200 ? body.value("status", "") : "";
}

bool Clients::CancelAt(int controller, const std::string& id) const {
  const json empty = json::object();
  const auto [status, body] = SendRequestTo(static_cast<size_t>(controller),
                                            JobPath(id) + "/cancel", &empty);
  return status == 200 && body.value("status", "") == "cancelled";
}

Clients::Response Clients::SendRequest(const std::string& path,
                                       const json* body) {
  return SendRequestTo(next_++ % controllers_->size(), path, body);
}

Clients::Response Clients::SendRequestTo(size_t index, const std::string& path,
                                         const json* body) const {
  auto controller = controllers_->addresses().begin();
  std::advance(controller, index);
  Endpoint endpoint;
  ParseEndpoint(controller->second, &endpoint);
  httplib::Client client(endpoint.host, endpoint.port);
  client.set_connection_timeout(kConnectTimeoutS);
  client.set_read_timeout(kResponseTimeoutS);
  const auto result =
      body ? client.Post(path.c_str(), body->dump(), "application/json")
           : client.Get(path.c_str());
  if (!result) return {0, json::object()};
  json parsed = json::parse(result->body, nullptr, false);
  if (!parsed.is_object()) parsed = json::object();
  return {result->status, std::move(parsed)};
}

}  // namespace sorrelwood::test
