// The HTTP interface of a controller: converts the requests of users, workers
// and probes to inputs of the core, and the core's responses to HTTP.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "http/server.h"
#include "server/input_queue.h"
#include "server/metrics.h"
#include "server/pending_responses.h"

namespace sorrelwood {

// Returns the kind of client that requests this path.
ClientKind ClassifyClient(const std::string& path);

class HttpRoutes {
 public:
  HttpRoutes(InputQueue* inputs, PendingResponses* responses, Metrics* metrics)
      : inputs_(inputs), responses_(responses), metrics_(metrics) {}

  // Answers a request; may be called by many threads at once. Waits for the
  // core except for health and metrics requests.
  HttpResponse Handle(const HttpRequest& request);
  // Sets the answer of the health path, /up.
  void set_healthy(bool healthy) { healthy_ = healthy; }

 private:
  // Makes the core's input for the request with this identifier.
  using InputMaker = std::function<Input(uint64_t request)>;

  HttpResponse HandleHealth() const;
  HttpResponse HandleMetrics() const;
  HttpResponse HandleHeartbeat(const HttpRequest& request);
  HttpResponse HandleUser(const HttpRequest& request);
  HttpResponse HandleSubmission(const HttpRequest& request);
  HttpResponse HandlePoll(const std::string& job);
  HttpResponse HandleCancel(const std::string& job);
  // Passes an input to the core and waits for its response.
  HttpResponse CallCore(InputPriority priority, const InputMaker& make_input);

  InputQueue* const inputs_;
  PendingResponses* const responses_;
  Metrics* const metrics_;
  std::atomic<bool> healthy_{true};
};

}  // namespace sorrelwood
