#include "server/command_push_workers.h"

#include <utility>

#include "base/constants/workers.h"
#include "concurrency/threads.h"
#include "http/client.h"
#include "protocol/field_names.h"
#include "protocol/worker_codec.h"

namespace sorrelwood {
namespace {

// HTTP statuses of a worker that accepts the commands, and of one that rejects
// them because their fencing token is stale. The body of both is a heartbeat.
constexpr int kAcceptedStatus = 200;
constexpr int kStaleTokenStatus = 409;

// Sends the commands over a new connection, since pushes to one worker are too
// rare to keep connections open.
PushResult PushCommands(const PushedCommands& commands) {
  HttpClient client(commands.address, kPushTimeoutS);
  const HttpResult response = client.Post(
      protocol::path::kPushCommands, protocol::EncodePushedCommands(commands));
  PushResult result;
  result.id = commands.id;
  result.accepted = response.status == kAcceptedStatus;
  if (response.status != kAcceptedStatus &&
      response.status != kStaleTokenStatus)
    return result;
  if (auto heartbeat = protocol::ParseHeartbeat(response.body)) {
    result.answered = true;
    result.heartbeat = std::move(*heartbeat);
  }
  return result;
}

}  // namespace

void CommandPushWorkers::Start(size_t threads) {
  for (size_t i = 0; i < threads; ++i) {
    StartThread("push", [this] {
      for (;;) {
        const PushedCommands commands = commands_.Pop();
        inputs_->Push(
            [result = PushCommands(commands)](Controller& controller,
                                              Controller::Time time) {
              return controller.Deliver(time, result);
            },
            InputPriority::kSystem);
      }
    });
  }
}

}  // namespace sorrelwood
