#include "quetzallift/app/blockingcall.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpclient.h"
#include "quetzallift/model/error.h"

namespace Quetzallift
{
CallResponse call(const BlockingCall &request)
{
    EventLoop loop;
    HttpClient client(loop);
    HttpRequest http{request.method, "http://" + request.peer + request.path, request.body, request.headers, request.timeout};
    HttpResult result;
    client.send(std::move(http), [&](HttpResult ended) {
        result = std::move(ended);
        loop.stop();
    });
    loop.run();
    if (result.outcome != HttpOutcome::Responded) {
        throw Error(Step::Connect, request.peer, result.error);
    }
    return {result.status, std::move(result.body), std::move(result.etag)};
}
}
