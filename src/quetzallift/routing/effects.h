#pragma once

#include "quetzallift/model/clientanswer.h"
#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
// Forwards a request to a searcher.
struct ForwardRequest {
    AttemptId attempt;
    // The id and the address of the searcher that must execute the request.
    std::string searcher;
    std::string address;
    ClientRequestPtr content;
    // The time that the searcher has for the request.
    Duration timeLeft = Duration::zero();
};

// Closes the connection of an attempt, on which the searcher stops its work.
struct CancelForward {
    AttemptId attempt;
};

// Closes the idle connections to a searcher that is gone or ejected, or whose address belongs to another searcher.
struct CloseIdleConnections {
    std::string searcher;
};

// Stops accepting connections of clients; open connections stay in service.
struct StopListening {
};

// Answers the client.
struct AnswerRequest {
    QueryId request;
    ClientAnswer answer;
};
}
