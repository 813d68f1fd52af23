#include "platform/clientprotocol.h"

#include <criterion/criterion.h>

#include <string>

using namespace Quetzallift;

namespace
{
UpstreamResponse response(unsigned status, std::vector<Header> headers)
{
    return {status, std::move(headers), "body"};
}

ForwardReply read(unsigned status, std::vector<Header> headers)
{
    return Platform::clientProtocol().readReply(response(status, std::move(headers)));
}
}

// Guards against a reply that passes for a success although its bytes are not the searcher's.
Test(clientprotocol, repliesAreToldApart)
{
    cr_assert(read(200, {{"Server-Stamp", "x"}}).kind == ForwardReplyKind::Success);
    cr_assert(read(200, {}).kind == ForwardReplyKind::Failure);
    cr_assert(read(200, {{"Server-Stamp", "x"}, {"Content-Encoding", "gzip"}}).kind == ForwardReplyKind::Failure);
    cr_assert(read(500, {{"Server-Stamp", "x"}}).kind == ForwardReplyKind::Failure);
    cr_assert(read(503, {{"not-executed", "1"}}).kind == ForwardReplyKind::NotExecuted);
    cr_assert(read(421, {}).kind == ForwardReplyKind::WrongInstance);
}

// Guards against a refusal passed on from a searcher that may have run the request: clients would send it again.
Test(clientprotocol, unfoundedPromisesAreNotPassedOn)
{
    cr_assert(read(503, {{"Server-Stamp", "x"}}).signature.empty());
    cr_assert(read(500, {{"Server-Stamp", "x"}}).signature == "x");
}

// Guards against headers of one connection that reach the client's connection.
Test(clientprotocol, connectionHeadersStayBehind)
{
    const ForwardReply reply = read(200, {{"Server-Stamp", "x"}, {"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"Keep-Alive", "timeout=5"}, {"X-End", "2"}});
    cr_assert_eq(reply.headers.size(), 2U);
    cr_assert(reply.headers.at(1).name == "X-End");
}

// Guards against an answer to an earlier request that is taken for this one's.
Test(clientprotocol, lateAnswersBelongToNoOtherRequest)
{
    ClientRequest request;
    request.id = "r1";
    cr_assert(Platform::clientProtocol().matchesRequest(request, response(200, {{"Request-Id", "r1"}})));
    cr_assert_not(Platform::clientProtocol().matchesRequest(request, response(200, {{"request-id", "r0"}})));
}

// Guards against a request that reaches another searcher's process, or a searcher that works beyond the client's time.
Test(clientprotocol, forwardNamesSearcherAndTimeLeft)
{
    RefPtr<ClientRequest> content(new ClientRequest);
    content->id = "r1";
    content->method = "POST";
    content->host = "h";
    content->target = "/a%2F/?q=1";
    content->body = "xy";
    content->headers = {{"X-End", "2"}};
    ForwardRequest forward;
    forward.searcher = "i-1";
    forward.content = content;
    const std::string text = Platform::clientProtocol().writeForward(forward, std::chrono::microseconds(150900)).head;
    cr_assert_str_eq(text.c_str(),
                     "POST /a%2F/?q=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 150\r\nExpect-Instance: i-1\r\nX-End: "
                     "2\r\nContent-Length: 2\r\n\r\nxy");
}

// Guards against a limit that is missed, and against one that is no usable number and stops all requests or ends the process.
Test(clientprotocol, unusableLimitsAreIgnored)
{
    cr_assert(read(200, {{"server-limit", " 12.5 "}}).statement.requestLimit == 12.5);
    cr_assert(read(503, {{"Server-Limit", "0"}}).statement.requestLimit == 0.0);
    cr_assert_not(read(200, {}).statement.requestLimit.has_value());
    for (const char *value : {"", "x", "-1", "1x", "inf", "nan", "1e999", "1,2"}) {
        cr_assert_not(read(200, {{"Server-Limit", value}}).statement.requestLimit.has_value(), "%s", value);
    }
    cr_assert_not(read(200, {{"Server-Limit", "1"}, {"Server-Limit", "2"}}).statement.requestLimit.has_value());
}

// Guards against a refusal or a departure that is missed, and against a time that blocks a searcher for good.
Test(clientprotocol, refusalsAndDeparturesAreRead)
{
    const auto refusal = [](unsigned status, const char *value) {
        return read(status, {{"Not-Executed", "1"}, {"retry-after", value}}).statement.refusesFor;
    };
    cr_assert(refusal(503, "1.5") == std::chrono::milliseconds(1500));
    cr_assert_not(refusal(200, "1.5").has_value());
    cr_assert(refusal(503, "1000000") == std::chrono::seconds(60));
    for (const char *value : {"", "-1", "nan", "1e999", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        cr_assert_not(refusal(503, value).has_value(), "%s", value);
    }
    cr_assert(read(200, {{"server-leaving", "1"}}).statement.leaving);
    cr_assert_not(read(200, {{"Server-Leaving", "0"}}).statement.leaving);
    cr_assert_not(read(200, {}).statement.leaving);
}
