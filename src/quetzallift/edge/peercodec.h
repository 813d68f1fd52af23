#pragma once

#include "quetzallift/model/peermessage.h"

#include <string>
#include <string_view>

namespace Quetzallift
{
// The longest message that a peer may send: a bundle of a megabyte and its envelope.
constexpr std::size_t MaximumPeerMessage = std::size_t{1280} * 1024;

// Writes a message between entry hosts as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

// Reads a message between entry hosts. Throws Error that names the peer and the field.
PeerMessage decodePeerMessage(std::string_view bytes, const std::string &peer);
}
