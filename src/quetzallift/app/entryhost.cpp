#include "quetzallift/app/entryhost.h"

#include "quetzallift/app/log.h"
#include "quetzallift/edge/peercodec.h"
#include "quetzallift/edge/signature.h"
#include "quetzallift/model/error.h"

#include <random>

namespace Quetzallift
{
EntryHost::EntryHost(Settings settings, const HostParts &parts)
    : m_settings(std::move(settings))
    , m_platform(m_loop, m_settings.platform, parts.platform)
    , m_peers(m_loop,
              m_settings.host.peerAddress,
              {[this](const std::string &from, const std::string &bytes) {
                   receive(from, bytes);
               },
               [this](const std::string &address) {
                   m_metrics.count({Metric::PeerConnectionFailures, {}});
                   m_loop.dispatch(PeerUnreachable{address});
               }})
{
    m_loop.state().control.self = m_settings.host;
    m_loop.state().control.callBudget = m_settings.callBudget;
    m_loop.state().hooks.random = [engine = std::mt19937_64(std::random_device{}())]() mutable {
        return engine();
    };
    if (parts.readRoutes) {
        m_loop.state().hooks.parseRoutes = parts.readRoutes;
    }
    m_loop.state().control.discovery.enabled = m_settings.routes.has_value();
    m_loop.state().hooks.wallNow = &std::chrono::system_clock::now;
    m_loop.state().hooks.verifyApproval = [this](const RolloutRecord &rollout, const Bundle &bundle) {
        return approvalRefusal(rollout, bundle, m_settings.approvers, &signatureMatches);
    };
    m_loop.setEffectHandler([this](const Effect &effect) {
        carryOut(effect);
    });
    for (unsigned number = 0; number < m_settings.host.trafficThreads; ++number) {
        m_traffic.push_back(parts.makeTraffic(number, m_settings, m_metrics, [this](EventBody event) {
            m_loop.post(std::move(event));
        }));
    }
}

EntryHost::~EntryHost() = default;

int EntryHost::run()
{
    for (const auto &thread : m_traffic) {
        thread->start();
    }
    log({LogLevel::Info, Step::Join, m_settings.host.address, {}, "serving"});
    m_loop.dispatch(Started{});
    m_loop.run();
    for (const auto &thread : m_traffic) {
        thread->finish();
    }
    return m_exitCode;
}

void EntryHost::log(const LogRecord &record) const
{
    const BundlePtr &bundle = m_loop.state().control.bundle;
    writeLog(record, m_settings.host.name, bundle ? bundle->digest : std::string());
}

void EntryHost::requestStop()
{
    m_loop.post(StopRequested{});
}

void EntryHost::reload(const Settings &settings)
{
    m_loop.post(SettingsReloaded{settings.host.reloadable});
    postToTraffic(SettingsReloaded{settings.host.reloadable});
}

void EntryHost::receive(const std::string &from, const std::string &bytes)
{
    try {
        m_loop.dispatch(PeerMessageArrived{from, decodePeerMessage(bytes, from)});
    } catch (const Error &error) {
        log({LogLevel::Warning, error.step(), error.peer(), {}, error.what()});
    }
}

void EntryHost::postToTraffic(const EventBody &event)
{
    for (const auto &thread : m_traffic) {
        thread->post(event);
    }
}

void EntryHost::carryOut(const Effect &effect)
{
    if (const auto *call = std::get_if<CallPlatform>(&effect)) {
        m_platform.call(*call);
    } else if (const auto *send = std::get_if<SendPeerMessage>(&effect)) {
        if (!m_peers.send(send->address, encodePeerMessage(send->message))) {
            m_loop.dispatch(PeerUnreachable{send->address});
        }
    } else if (const auto *broadcast = std::get_if<BroadcastPeerMessage>(&effect)) {
        const std::string bytes = encodePeerMessage(broadcast->message);
        for (const std::string &address : broadcast->addresses) {
            if (!m_peers.send(address, bytes)) {
                m_loop.dispatch(PeerUnreachable{address});
            }
        }
    } else if (const auto *publish = std::get_if<PublishControlSnapshot>(&effect)) {
        postToTraffic(ControlSnapshotPublished{publish->snapshot});
    } else if (const auto *settle = std::get_if<SettleClaim>(&effect)) {
        m_traffic.at(settle->thread)->post(settle->settled);
    } else if (std::holds_alternative<StopTraffic>(effect)) {
        postToTraffic(StopRequested{});
    } else if (std::holds_alternative<CutOffTraffic>(effect)) {
        postToTraffic(CutOffRequested{});
    } else if (const auto *exit = std::get_if<Exit>(&effect)) {
        m_exitCode = exit->code;
        m_peers.shutdown();
        m_loop.stop();
    } else if (const auto *line = std::get_if<WriteLog>(&effect)) {
        log(line->record);
    } else if (const auto *metric = std::get_if<CountMetric>(&effect)) {
        m_metrics.count(*metric);
    }
}
}
