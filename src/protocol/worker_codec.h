// Messages between workers and controllers: heartbeats and their responses
// (POST /agent/beat), and commands that are pushed to a worker (POST
// /commands).
#pragma once

#include <string>

#include "base/parse_error.h"
#include "core/engine/actions.h"
#include "core/model/heartbeat.h"

namespace sorrelwood::protocol {

// Returns the heartbeat in `body`: a request's, or the answer's to pushed
// commands. The error's message is the text of the 400 that the worker gets.
ParseResult<Heartbeat> ParseHeartbeat(const std::string& body);

// Returns the body that goes with the response's status: commands with 200, the
// node to report to with 421 (an empty object if it is not known), an error
// with any other.
std::string EncodeHeartbeatResponse(const HeartbeatResponse& response);

// Returns the body of a request to the worker's own address.
std::string EncodePushedCommands(const PushedCommands& pushed);

}  // namespace sorrelwood::protocol
