// Encodes and decodes the status messages between controllers
// (peer_status.capnp).
#pragma once

#include <string>

#include "base/parse_error.h"
#include "core/model/peer_status.h"

namespace sorrelwood {

// Returns the encoded message; its size is a multiple of 8 bytes.
std::string EncodePeerStatus(const PeerStatus& status);

// Returns the decoded message, or an error without a field if `bytes` are not a
// valid message.
ParseResult<PeerStatus> DecodePeerStatus(const std::string& bytes);

}  // namespace sorrelwood
