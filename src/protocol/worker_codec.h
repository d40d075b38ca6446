// Messages between workers and controllers: heartbeats and their responses
// (POST /agent/beat), and commands pushed to a worker (POST /commands).
#pragma once

#include <string>

#include "base/parse_error.h"
#include "core/engine/actions.h"
#include "core/model/heartbeat.h"

namespace sorrelwood::protocol {

// Parses a heartbeat: the body of a heartbeat request, or of a worker's answer
// to pushed commands. The error's message becomes the text of the 400 response.
ParseResult<Heartbeat> ParseHeartbeat(const std::string& body);

// Returns the body for the response's status. 200: commands; 421: the leader's
// node name, or an empty object if it is unknown; any other: an error.
std::string EncodeHeartbeatResponse(const HeartbeatResponse& response);

// Returns the body of a request that pushes commands to a worker.
std::string EncodePushedCommands(const PushedCommands& pushed);

}  // namespace sorrelwood::protocol
