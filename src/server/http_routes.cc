#include "server/http_routes.h"

#include <string_view>
#include <utility>

#include "base/constants/threads.h"
#include "concurrency/clocks.h"
#include "protocol/client_codec.h"
#include "protocol/field_names.h"
#include "protocol/worker_codec.h"

namespace sorrelwood {
namespace {

constexpr char kHealthPath[] = "/up";
constexpr char kMetricsPath[] = "/metrics";
constexpr std::string_view kJobsPath = "/submissions";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr char kMetricsContentType[] = "text/plain; version=0.0.4";

HttpResponse MakeError(int status, const std::string& message,
                       double retry_after_s = 0) {
  return {status, protocol::EncodeError(message), "application/json",
          retry_after_s};
}

// Removes `prefix` from the start of `text`; false if `text` does not start
// with it.
bool RemovePrefix(std::string_view prefix, std::string_view* text) {
  if (text->substr(0, prefix.size()) != prefix) return false;
  text->remove_prefix(prefix.size());
  return true;
}

// Removes `suffix` from the end of `text`; false if `text` does not end with it
// or consists only of it.
bool RemoveSuffix(std::string_view suffix, std::string_view* text) {
  if (text->size() <= suffix.size()) return false;
  if (text->substr(text->size() - suffix.size()) != suffix) return false;
  text->remove_suffix(suffix.size());
  return true;
}

}  // namespace

ClientKind ClassifyClient(const std::string& path) {
  if (path == protocol::path::kHeartbeat) return ClientKind::kWorker;
  if (path == kHealthPath || path == kMetricsPath) return ClientKind::kOther;
  return ClientKind::kUser;
}

HttpResponse HttpRoutes::Handle(const HttpRequest& request) {
  if (request.path == kHealthPath) return HandleHealth();
  if (request.path == kMetricsPath) return HandleMetrics();
  const double started_at = SteadyNow();
  const bool is_heartbeat = request.path == protocol::path::kHeartbeat;
  HttpResponse response =
      is_heartbeat ? HandleHeartbeat(request) : HandleUser(request);
  metrics_->CountRequest(is_heartbeat ? "worker" : "user", response.status,
                         SteadyNow() - started_at);
  return response;
}

HttpResponse HttpRoutes::HandleHealth() const {
  if (healthy_) return {200, "{\"up\":true}"};
  return MakeError(503, "the state service serves other nodes, not this one");
}

HttpResponse HttpRoutes::HandleMetrics() const {
  return {200, metrics_->Text(), kMetricsContentType};
}

HttpResponse HttpRoutes::HandleHeartbeat(const HttpRequest& request) {
  if (request.method != "POST") return MakeError(405, "use POST");
  auto heartbeat = protocol::ParseHeartbeat(request.body);
  if (!heartbeat) return MakeError(400, heartbeat.error().Message());
  HttpResponse response =
      CallCore(InputPriority::kSystem, [&](uint64_t id) -> Input {
        return [id, heartbeat = std::move(*heartbeat)](Controller& controller,
                                                       Controller::Time time) {
          return controller.OnHeartbeat(time, id, heartbeat);
        };
      });
  // Workers ignore Retry-After: they send heartbeats at their own interval.
  response.retry_after_s = 0;
  return response;
}

HttpResponse HttpRoutes::HandleUser(const HttpRequest& request) {
  std::string_view remaining_path = request.path;
  if (!RemovePrefix(kJobsPath, &remaining_path))
    return MakeError(404, "no such path");
  if (remaining_path.empty()) return HandleSubmission(request);
  if (!RemovePrefix("/", &remaining_path))
    return MakeError(404, "no such path");
  const bool is_cancellation = RemoveSuffix(kCancelSuffix, &remaining_path);
  const std::string job(remaining_path);
  if (job.find('/') != std::string::npos) return MakeError(404, "no such path");
  if (request.method != (is_cancellation ? "POST" : "GET"))
    return MakeError(405, is_cancellation ? "use POST" : "use GET");
  return is_cancellation ? HandleCancel(job) : HandlePoll(job);
}

HttpResponse HttpRoutes::HandleSubmission(const HttpRequest& request) {
  if (request.method != "POST") return MakeError(405, "use POST");
  auto spec = protocol::ParseSubmission(request.body);
  if (!spec) return MakeError(400, spec.error().Message());
  return CallCore(InputPriority::kUser, [&](uint64_t id) -> Input {
    return [id, spec = std::move(*spec)](Controller& controller,
                                         Controller::Time time) {
      return controller.Submit(time, id, spec);
    };
  });
}

HttpResponse HttpRoutes::HandlePoll(const std::string& job) {
  // Users repeat polls, so they are rejected first under load. Otherwise they
  // would delay submissions and cancellations.
  if (inputs_->IsOverloaded())
    return MakeError(429, "too many requests are waiting",
                     kInputQueueFullRetryAfterS);
  return CallCore(InputPriority::kUser, [&](uint64_t id) -> Input {
    return [id, job](Controller& controller, Controller::Time time) {
      return controller.Poll(time, id, job);
    };
  });
}

HttpResponse HttpRoutes::HandleCancel(const std::string& job) {
  return CallCore(InputPriority::kUser, [&](uint64_t id) -> Input {
    return [id, job](Controller& controller, Controller::Time time) {
      return controller.Cancel(time, id, job);
    };
  });
}

HttpResponse HttpRoutes::CallCore(InputPriority priority,
                                  const InputMaker& make_input) {
  const uint64_t request = responses_->Register();
  inputs_->Push(make_input(request), priority);
  auto response = responses_->Wait(request, kCoreAnswerTimeoutS);
  if (!response)
    return MakeError(503, "the controller is busy", kCoreLateRetryAfterS);
  return {response->status, std::move(response->body), "application/json",
          response->retry_after_s};
}

}  // namespace sorrelwood
