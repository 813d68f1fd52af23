#include "quetzallift/edge/platformclient.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/platformhttp.h"

namespace Quetzallift
{
PlatformClient::PlatformClient(EventLoop &loop, std::string address)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_http(loop)
{ }

void PlatformClient::call(const CallPlatform &effect)
{
    m_http.send(encodePlatformCall(m_address, effect.request), [this, call = effect.call, request = effect.request](const HttpResult &result) {
        m_loop.dispatch(PlatformReplied{call, decodePlatformReply(request, result)});
    });
}
}
