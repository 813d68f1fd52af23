#pragma once

#include "quetzallift/edge/httpexchange.h"
#include "quetzallift/edge/upstreamclient.h"
#include "quetzallift/model/clientanswer.h"
#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/routing/effects.h"

#include <functional>
#include <string>

namespace Quetzallift
{
// A client's request for the addresses of entry hosts, and the control state from which it is answered.
struct DirectoryRequest {
    HttpExchange &exchange;
    // Null before the first control snapshot is published.
    const ControlSnapshotPtr &control;
};

// The encoding of requests and answers on the connections of clients and searchers.
struct ClientProtocol {
    // Reads a client's request. Throws Error if the request is invalid.
    // Takes the body out of the exchange.
    std::function<ClientRequestPtr(HttpExchange &)> readRequest;
    std::function<void(HttpExchange &, const ClientAnswer &)> writeAnswer;

    // Writes the request that a searcher receives, with the time that the searcher has for it.
    std::function<OutgoingRequest(const ForwardRequest &, Duration timeLeft)> writeForward;
    // Returns whether a searcher's response is for the request.
    std::function<bool(const ClientRequest &, const UpstreamResponse &)> matchesRequest;
    // Reads the reply from a searcher's response.
    std::function<ForwardReply(UpstreamResponse)> readReply;

    // Responds with the entry hosts that a client may use.
    std::function<void(const DirectoryRequest &)> answerDirectory;
    // Responds whether this host is ready.
    std::function<void(HttpExchange &, bool ready)> answerReadiness;
};
}
