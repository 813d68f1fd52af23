#pragma once

namespace Quetzallift
{
// Why a request was refused before it was complete, or a connection closed.
enum class ClientRejection {
    // The bytes are not an HTTP request.
    Invalid,
    // The request line, the headers and the framing of the body exceed the limit.
    HeadTooLarge,
    BodyTooLarge,
    // The client did not send the request in time.
    TooSlow,
    // The connections of clients hold too many bytes.
    Memory,
    // Too many connections are open.
    Connections,
    // The client does not read the answer.
    AnswerNotRead,
};

// The name of a rejection in metrics and logs.
const char *rejectionName(ClientRejection rejection);
}
