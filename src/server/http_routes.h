// The HTTP interface of a controller: what users, workers and probes may ask,
// turned into inputs of the core and its responses.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "http/server.h"
#include "server/input_queue.h"
#include "server/metrics.h"
#include "server/pending_responses.h"

namespace sorrelwood {

// The kind of client that asks for a path.
ClientKind ClassifyClient(const std::string& path);

class HttpRoutes {
 public:
  HttpRoutes(InputQueue* inputs, PendingResponses* responses, Metrics* metrics)
      : inputs_(inputs), responses_(responses), metrics_(metrics) {}

  // Answers a request; called by many threads at once. Waits for the core, but
  // for probes.
  HttpReply Handle(const HttpRequest& request);
  // What /up answers from now on.
  void set_healthy(bool healthy) { healthy_ = healthy; }

 private:
  // Makes the input for the request with this identifier.
  using InputMaker = std::function<Input(uint64_t request)>;

  HttpReply HandleHealth() const;
  HttpReply HandleMetrics() const;
  HttpReply HandleHeartbeat(const HttpRequest& request);
  HttpReply HandleUser(const HttpRequest& request);
  HttpReply HandleSubmission(const HttpRequest& request);
  HttpReply HandlePoll(const std::string& job);
  HttpReply HandleCancel(const std::string& job);
  // Hands an input to the core and waits for the response to it.
  HttpReply Call(InputPriority priority, const InputMaker& make_input);

  InputQueue* const inputs_;
  PendingResponses* const responses_;
  Metrics* const metrics_;
  std::atomic<bool> healthy_{true};
};

}  // namespace sorrelwood
