#include "quetzallift/edge/internal/peersessioncallbacks.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace Quetzallift
{
namespace
{
constexpr std::uint32_t MaximumStreams = 64;
constexpr std::int32_t ConnectionWindow = 4 * 1024 * 1024;
// The total size of the incomplete messages on all streams of a connection.
constexpr std::size_t MaximumPartialBytes = 4U * 1024U * 1024U;

PeerSession &sessionOf(void *context)
{
    return *static_cast<PeerSession *>(context);
}
}

std::unique_ptr<nghttp2_session, PeerSession::SessionDeleter> PeerSessionCallbacks::makeSession(PeerSession &session, PeerSide side)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &onStreamClosed);
    nghttp2_session *raw = nullptr;
    if (side == PeerSide::Sender) {
        nghttp2_session_client_new(&raw, callbacks, &session);
    } else {
        nghttp2_session_server_new(&raw, callbacks, &session);
    }
    nghttp2_session_callbacks_del(callbacks);
    std::unique_ptr<nghttp2_session, PeerSession::SessionDeleter> nghttp2Session(raw);
    if (!nghttp2Session) {
        return nghttp2Session;
    }
    const std::array<nghttp2_settings_entry, 3> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaximumStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, MaximumPeerMessageSize},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // Only a client may send ENABLE_PUSH, which is the last setting.
    nghttp2_submit_settings(raw, NGHTTP2_FLAG_NONE, settings.data(), side == PeerSide::Sender ? settings.size() : settings.size() - 1);
    nghttp2_session_set_local_window_size(raw, NGHTTP2_FLAG_NONE, 0, ConnectionWindow);
    return nghttp2Session;
}

ssize_t PeerSessionCallbacks::readBody(
    nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *context)
{
    auto &messages = sessionOf(context).m_messages;
    const auto found = messages.find(stream);
    if (found == messages.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    PeerSession::Message &message = found->second;
    const std::size_t count = std::min(length, message.bytes.size() - message.offset);
    std::copy_n(message.bytes.data() + message.offset, count, buffer);
    message.offset += count;
    if (message.offset == message.bytes.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

int PeerSessionCallbacks::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *context)
{
    PeerSession &session = sessionOf(context);
    if (session.m_side == PeerSide::Receiver) {
        session.m_messages.try_emplace(frame->hd.stream_id);
    }
    return 0;
}

int PeerSessionCallbacks::onHeader(nghttp2_session *,
                                   const nghttp2_frame *frame,
                                   const std::uint8_t *name,
                                   std::size_t nameLength,
                                   const std::uint8_t *value,
                                   std::size_t valueLength,
                                   std::uint8_t,
                                   void *context)
{
    PeerSession &session = sessionOf(context);
    const std::string_view nameText(reinterpret_cast<const char *>(name), nameLength);
    const auto found = session.m_messages.find(frame->hd.stream_id);
    if (session.m_side == PeerSide::Receiver && nameText == FromHeader && found != session.m_messages.end()) {
        found->second.from.assign(reinterpret_cast<const char *>(value), valueLength);
        return session.isSenderAllowed(found->second.from) ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    return 0;
}

int PeerSessionCallbacks::onData(nghttp2_session *raw, std::uint8_t, std::int32_t stream, const std::uint8_t *data, std::size_t length, void *context)
{
    PeerSession &session = sessionOf(context);
    const auto found = session.m_messages.find(stream);
    if (session.m_side != PeerSide::Receiver || found == session.m_messages.end()) {
        return 0;
    }
    std::string &bytes = found->second.bytes;
    if (bytes.size() + length > MaximumPeerMessageSize || session.m_queuedBytes + length > MaximumPartialBytes) {
        session.removeMessage(stream);
        nghttp2_submit_rst_stream(raw, NGHTTP2_FLAG_NONE, stream, NGHTTP2_ENHANCE_YOUR_CALM);
        return 0;
    }
    bytes.append(reinterpret_cast<const char *>(data), length);
    session.m_queuedBytes += length;
    return 0;
}

int PeerSessionCallbacks::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *context)
{
    PeerSession &session = sessionOf(context);
    const bool carriesMessage = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (frame->hd.type == NGHTTP2_GOAWAY) {
        session.m_goingAway = true;
    } else if (session.m_side == PeerSide::Receiver && carriesMessage && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        completeMessage(session, frame->hd.stream_id);
    }
    return 0;
}

int PeerSessionCallbacks::onStreamClosed(nghttp2_session *, std::int32_t stream, std::uint32_t error, void *context)
{
    PeerSession &session = sessionOf(context);
    if (session.m_side == PeerSide::Sender && error != NGHTTP2_NO_ERROR) {
        session.m_messageLost = true;
    }
    session.removeMessage(stream);
    return 0;
}

void PeerSessionCallbacks::completeMessage(PeerSession &session, std::int32_t stream)
{
    const auto found = session.m_messages.find(stream);
    if (found == session.m_messages.end()) {
        return;
    }
    PeerSession::Message message = std::move(found->second);
    session.m_queuedBytes -= message.bytes.size();
    session.m_messages.erase(found);
    if (message.from.empty()) {
        nghttp2_submit_rst_stream(session.m_session.get(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_PROTOCOL_ERROR);
        return;
    }
    session.m_received.push_back({std::move(message.from), std::move(message.bytes)});
    const std::string_view name = ":status";
    const std::string_view value = "204";
    const nghttp2_nv status = {const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data())),
                               const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data())),
                               name.size(),
                               value.size(),
                               NGHTTP2_NV_FLAG_NONE};
    nghttp2_submit_response(session.m_session.get(), stream, &status, 1, nullptr);
}
}
