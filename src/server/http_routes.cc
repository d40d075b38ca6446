#include "server/http_routes.h"

#include <string_view>
#include <utility>

#include "base/constants.h"
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
constexpr char kMetricsType[] = "text/plain; version=0.0.4";

HttpReply Error(int status, const std::string& message,
                double retry_after_s = 0) {
  return {status, protocol::EncodeError(message), "application/json",
          retry_after_s};
}

// Removes `prefix` from the front of `text`; false when it is not there.
bool RemovePrefix(std::string_view prefix, std::string_view* text) {
  if (text->substr(0, prefix.size()) != prefix) return false;
  text->remove_prefix(prefix.size());
  return true;
}

// Removes `suffix` from the end of `text`; false when it is not there or is all
// of it.
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

HttpReply HttpRoutes::Handle(const HttpRequest& request) {
  if (request.path == kHealthPath) return HandleHealth();
  if (request.path == kMetricsPath) return HandleMetrics();
  const double started = SteadyNow();
  const bool worker = request.path == protocol::path::kHeartbeat;
  HttpReply reply = worker ? HandleHeartbeat(request) : HandleUser(request);
  metrics_->CountRequest(worker ? "worker" : "user", reply.status,
                         SteadyNow() - started);
  return reply;
}

HttpReply HttpRoutes::HandleHealth() const {
  if (healthy_) return {200, "{\"up\":true}"};
  return Error(503, "the state service serves other nodes, not this one");
}

HttpReply HttpRoutes::HandleMetrics() const {
  return {200, metrics_->Text(), kMetricsType};
}

HttpReply HttpRoutes::HandleHeartbeat(const HttpRequest& request) {
  if (request.method != "POST") return Error(405, "use POST");
  auto heartbeat = protocol::ParseHeartbeat(request.body);
  if (!heartbeat) return Error(400, heartbeat.error().Message());
  HttpReply reply = Call(InputPriority::kSystem, [&](uint64_t id) -> Input {
    return [id, heartbeat = std::move(*heartbeat)](Controller& controller,
                                                   Controller::Time time) {
      return controller.OnHeartbeat(time, id, heartbeat);
    };
  });
  // Workers keep their own interval of heartbeats.
  reply.retry_after_s = 0;
  return reply;
}

HttpReply HttpRoutes::HandleUser(const HttpRequest& request) {
  std::string_view rest = request.path;
  if (!RemovePrefix(kJobsPath, &rest)) return Error(404, "no such path");
  if (rest.empty()) return HandleSubmission(request);
  if (!RemovePrefix("/", &rest)) return Error(404, "no such path");
  const bool cancel = RemoveSuffix(kCancelSuffix, &rest);
  const std::string job(rest);
  if (job.find('/') != std::string::npos) return Error(404, "no such path");
  if (request.method != (cancel ? "POST" : "GET"))
    return Error(405, cancel ? "use POST" : "use GET");
  return cancel ? HandleCancel(job) : HandlePoll(job);
}

HttpReply HttpRoutes::HandleSubmission(const HttpRequest& request) {
  if (request.method != "POST") return Error(405, "use POST");
  auto spec = protocol::ParseSubmission(request.body);
  if (!spec) return Error(400, spec.error().Message());
  return Call(InputPriority::kUser, [&](uint64_t id) -> Input {
    return [id, spec = std::move(*spec)](Controller& controller,
                                         Controller::Time time) {
      return controller.Submit(time, id, spec);
    };
  });
}

HttpReply HttpRoutes::HandlePoll(const std::string& job) {
  // Guards against polls, which can be repeated, delaying submissions and
  // cancellations.
  if (inputs_->IsOverloaded())
    return Error(429, "too many requests are waiting",
                 kInputQueueFullRetryAfterS);
  return Call(InputPriority::kUser, [&](uint64_t id) -> Input {
    return [id, job](Controller& controller, Controller::Time time) {
      return controller.Poll(time, id, job);
    };
  });
}

HttpReply HttpRoutes::HandleCancel(const std::string& job) {
  return Call(InputPriority::kUser, [&](uint64_t id) -> Input {
    return [id, job](Controller& controller, Controller::Time time) {
      return controller.Cancel(time, id, job);
    };
  });
}

HttpReply HttpRoutes::Call(InputPriority priority,
                           const InputMaker& make_input) {
  const uint64_t request = responses_->Open();
  inputs_->Push(make_input(request), priority);
  auto response = responses_->Wait(request, kCoreAnswerTimeoutS);
  if (!response)
    return Error(503, "the controller is busy", kCoreLateRetryAfterS);
  return {response->status, std::move(response->body), "application/json",
          response->retry_after_s};
}

}  // namespace sorrelwood
