#include "server/command_push_workers.h"

#include <utility>

#include "base/constants.h"
#include "concurrency/threads.h"
#include "http/client.h"
#include "protocol/field_names.h"
#include "protocol/worker_codec.h"

namespace sorrelwood {
namespace {

// The statuses with which a worker accepts commands, and refuses those of an
// older leader; with both it sends a heartbeat.
constexpr int kAccepted = 200;
constexpr int kStaleToken = 409;

// Sends the commands over a new connection: a worker is pushed to rarely.
PushResult PushCommands(const PushedCommands& commands) {
  HttpClient client(commands.address, kPushTimeoutS);
  const HttpAnswer answer = client.Post(
      protocol::path::kPushCommands, protocol::EncodePushedCommands(commands));
  PushResult result;
  result.id = commands.id;
  result.accepted = answer.status == kAccepted;
  if (answer.status != kAccepted && answer.status != kStaleToken) return result;
  if (auto heartbeat = protocol::ParseHeartbeat(answer.body)) {
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
