#pragma once

#include "quetzallift/app/hostparts.h"
#include "quetzallift/app/metrics.h"
#include "quetzallift/app/settings.h"
#include "quetzallift/app/traffic.h"
#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/peerstreams.h"
#include "quetzallift/edge/platformclient.h"

#include <memory>
#include <vector>

namespace Quetzallift
{
// One entry host: the control loop on the calling thread and the traffic threads beside it.
class EntryHost
{
public:
    EntryHost(Settings settings, const HostParts &parts);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    // Serves until a graceful stop, or a second stop request, ends it. Returns the exit code of the process.
    int run();

    // Puts settings in force as far as they may change while the process runs. Any thread may call it.
    void reload(const Settings &settings);

    // Asks for a stop. Any thread may call it.
    void requestStop();

private:
    void carryOut(const Effect &effect);
    void log(const LogRecord &record) const;
    void receive(const std::string &from, const std::string &bytes);
    void postToTraffic(const EventBody &event);

    Settings m_settings;
    Metrics m_metrics;
    EventLoop m_loop;
    PlatformClient m_platform;
    PeerStreams m_peers;
    std::vector<std::unique_ptr<Traffic>> m_traffic;
    int m_exitCode = 0;
};
}
