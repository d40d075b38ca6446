// Encodes and decodes the message that controllers send each other
// (peer_status.capnp).
#pragma once

#include <string>

#include "base/parse_error.h"
#include "core/model/peer_status.h"

namespace sorrelwood {

// Returns the message's bytes, a whole number of 8-byte words.
std::string EncodePeerStatus(const PeerStatus& status);

// Returns the message, or an error without a field if `bytes` hold none.
ParseResult<PeerStatus> DecodePeerStatus(const std::string& bytes);

}  // namespace sorrelwood
