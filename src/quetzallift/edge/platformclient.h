#pragma once

#include "quetzallift/control/effects.h"
#include "quetzallift/edge/httpclient.h"

#include <string>

namespace Quetzallift
{
class EventLoop;

// Carries out CallPlatform and turns each result into one PlatformReplied event.
class PlatformClient
{
public:
    // The address is "ip:port".
    PlatformClient(EventLoop &loop, std::string address);

    void call(const CallPlatform &effect);

private:
    EventLoop &m_loop;
    std::string m_address;
    HttpClient m_http;
};
}
