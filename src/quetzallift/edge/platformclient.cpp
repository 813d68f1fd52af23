#include "quetzallift/edge/platformclient.h"

#include "quetzallift/edge/eventloop.h"

namespace Quetzallift
{
PlatformClient::PlatformClient(EventLoop &loop, std::string address, PlatformCodec codec)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_codec(std::move(codec))
    , m_http(loop)
{ }

void PlatformClient::call(const CallPlatform &effect)
{
    m_http.send(m_codec.encode(m_address, effect.request), [this, call = effect.call, request = effect.request](const HttpResult &result) {
        m_loop.dispatch(PlatformReplied{call, m_codec.decode(request, result)});
    });
}
}
