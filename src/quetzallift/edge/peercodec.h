#pragma once

#include "quetzallift/model/peermessage.h"

#include <string>
#include <string_view>

namespace Quetzallift
{
// The size limit of a message from a peer: a bundle of at most 1 MB, which is the platform's limit for a value, and its
// envelope.
constexpr std::size_t MaximumPeerMessageSize = std::size_t{1280} * 1024;

// Writes a message between entry hosts as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

// Reads a message between entry hosts. Throws Error that names the peer and the invalid field.
PeerMessage decodePeerMessage(std::string_view bytes, const std::string &peer);
}
