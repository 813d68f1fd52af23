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
// Who asks where to connect, and what is known to answer it.
struct DirectoryQuestion {
    HttpExchange &exchange;
    // Null while nothing is known.
    const ControlSnapshotPtr &control;
};

// How requests and answers are written on the connections of clients and searchers.
struct ClientProtocol {
    // A client's request. Throws Error if it is not one.
    std::function<ClientRequestPtr(const HttpExchange &)> readRequest;
    std::function<void(HttpExchange &, const ClientAnswer &)> writeAnswer;

    // The request as a searcher gets it, for UpstreamClient::Request::bytes.
    std::function<std::string(const ForwardRequest &)> writeForward;
    // Whether a searcher's response belongs to the request, and what it says.
    std::function<bool(const ClientRequest &, const UpstreamResponse &)> belongs;
    std::function<ForwardReply(UpstreamResponse)> readReply;

    // Answers which hosts a client may use, and whether this host is ready.
    std::function<void(const DirectoryQuestion &)> answerDirectory;
    std::function<void(HttpExchange &, bool ready)> answerReadiness;
};
}
