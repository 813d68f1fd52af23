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
    // The latest time at which the reply is of use. The time that is left until then is stated to the searcher when the
    // first byte is written, since a new connection takes time to open.
    TimePoint deadline;
};

// Closes the connection of an attempt, so that the searcher stops working on it.
struct CancelForward {
    AttemptId attempt;
};

// Closes the idle connections to a searcher that is gone, restarted or moved, that is ejected, since its connections may
// have gone silent, or whose address another process uses.
struct CloseIdleConnections {
    std::string searcher;
};

// Stops accepting connections of clients; open connections are still served.
struct StopListening {
};

// Reports to the control thread whether requests wait too long for this thread.
struct ReportBusy {
    bool busy = false;
};

// Answers the client.
struct AnswerRequest {
    QueryId request;
    ClientAnswer answer;
};
}
