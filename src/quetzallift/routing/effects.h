#pragma once

#include "quetzallift/model/clientanswer.h"
#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
// Passes a request on to a searcher.
struct ForwardRequest {
    AttemptId attempt;
    // The id of the searcher that must run it, and where it listens.
    std::string searcher;
    std::string address;
    ClientRequestPtr content;
    // How long the searcher may work.
    Duration timeLeft = Duration::zero();
};

// Closes the connection of an attempt, which tells the searcher to stop.
struct CancelForward {
    AttemptId attempt;
};

// Closes the idle connections to a searcher: it has gone, or connections to it have fallen silent.
struct CloseIdleConnections {
    std::string searcher;
};

// Accepts no more connections of clients; those that are open are served on.
struct StopListening {
};

// Answers the client.
struct AnswerRequest {
    QueryId request;
    ClientAnswer answer;
};
}
