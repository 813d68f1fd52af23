#include "quetzallift/app/operatorplatform.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/platformhttp.h"
#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

namespace Quetzallift
{
OperatorPlatform::OperatorPlatform(std::string address)
    : m_address(std::move(address))
{
    parseAddress(m_address);
}

PlatformReply OperatorPlatform::call(const PlatformRequest &request) const
{
    EventLoop loop;
    HttpClient client(loop);
    PlatformReply reply;
    client.send(encodePlatformCall(m_address, request), [&](const HttpResult &result) {
        reply = decodePlatformReply(request, result);
        loop.stop();
    });
    loop.run();
    return reply;
}

PlatformValue OperatorPlatform::read(const std::string &object, Step step) const
{
    PlatformRequest request;
    request.object = object;
    request.timeout = std::chrono::seconds(5);
    PlatformReply reply = call(request);
    if (reply.outcome == PlatformOutcome::Unknown) {
        throw Error(step, m_address, object + " cannot be read: " + reply.detail);
    }
    return reply.value;
}

const std::string &OperatorPlatform::address() const
{
    return m_address;
}
}
