#pragma once

#include "quetzallift/edge/peersession.h"

namespace Quetzallift
{
// The nghttp2 callbacks of a PeerSession. The callbacks only update the session and submit frames; the owner's hooks are
// called after nghttp2 has returned, since nghttp2_session_mem_recv() and nghttp2_session_mem_send() must not be called from
// a callback.
class PeerSessionCallbacks
{
public:
    // The header with the sender's listening address, to which a reply is sent.
    static constexpr std::string_view FromHeader = "quetzallift-peer";

    // Makes the nghttp2 session of one side with its settings queued; null if memory cannot be allocated.
    static std::unique_ptr<nghttp2_session, PeerSession::SessionDeleter> makeSession(PeerSession &session, PeerSide side);

    static ssize_t
    readBody(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *context);

private:
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *context);
    static int onHeader(nghttp2_session *,
                        const nghttp2_frame *frame,
                        const std::uint8_t *name,
                        std::size_t nameLength,
                        const std::uint8_t *value,
                        std::size_t valueLength,
                        std::uint8_t flags,
                        void *context);
    static int onData(nghttp2_session *, std::uint8_t flags, std::int32_t stream, const std::uint8_t *data, std::size_t length, void *context);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *context);
    static int onStreamClosed(nghttp2_session *, std::int32_t stream, std::uint32_t error, void *context);

    static void completeMessage(PeerSession &session, std::int32_t stream);
};
}
