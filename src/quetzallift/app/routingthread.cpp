#include "quetzallift/app/routingthread.h"

#include "quetzallift/app/log.h"
#include "quetzallift/app/metrics.h"
#include "quetzallift/model/error.h"

#include <random>

namespace Quetzallift
{
namespace
{
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
}

RoutingThread::RoutingThread(const Settings &settings, Metrics &metrics, ClientProtocol protocol, ControlPost postToControl)
    : m_host(settings.host.name)
    , m_metrics(metrics)
    , m_protocol(std::move(protocol))
    , m_postToControl(std::move(postToControl))
    , m_resources(settings)
    , m_upstream(m_loop, upstreamHooks(), m_resources.responseBytes)
    , m_clients(
          m_loop,
          settings.host.address,
          [this](const HttpExchangePtr &exchange) {
              handleRequest(exchange);
          },
          clientHooks(),
          m_resources.serverWith(m_resources.requestConnections))
    , m_directory(
          m_loop,
          settings.routes->directoryAddress,
          [this](const HttpExchangePtr &exchange) {
              m_protocol.answerDirectory({*exchange, m_loop.state().query.control});
          },
          clientHooks(),
          m_resources.serverWith(m_resources.directoryConnections))
    , m_readiness(
          m_loop,
          settings.routes->readinessAddress,
          [this](const HttpExchangePtr &exchange) {
              m_protocol.answerReadiness(*exchange, isReady());
          },
          clientHooks(),
          m_resources.serverWith(m_resources.pageConnections))
    , m_metricsPage(
          m_loop,
          settings.routes->metricsAddress,
          [this](const HttpExchangePtr &exchange) {
              exchange->respond(StatusOk, m_metrics.page(), "text/plain; version=0.0.4");
          },
          clientHooks(),
          m_resources.serverWith(m_resources.pageConnections))
{
    m_loop.state().hooks.random = [engine = std::mt19937_64(std::random_device{}())]() mutable {
        return engine();
    };
    m_loop.state().routing.allowance = settings.host.reloadable.allowance;
    m_loop.state().routing.dataCentre = settings.host.dataCentre;
    m_loop.state().routing.threads = settings.host.trafficThreads;
    m_loop.setEffectHandler([this](const Effect &effect) {
        carryOut(effect);
    });
}

UpstreamClient::Hooks RoutingThread::upstreamHooks()
{
    UpstreamClient::Hooks hooks;
    hooks.matchesRequest = [this](AttemptId attempt, const UpstreamResponse &response) {
        const auto found = m_sent.find(attempt);
        return found != m_sent.end() && m_protocol.matchesRequest(*found->second, response);
    };
    hooks.replied = [this](AttemptId attempt, UpstreamResponse response) {
        m_sent.erase(attempt);
        m_loop.dispatch(ForwardReplied{attempt, m_protocol.readReply(std::move(response))});
    };
    hooks.failed = [this](AttemptId attempt, Failure failure, bool sent) {
        m_sent.erase(attempt);
        m_loop.dispatch(ForwardFailed{attempt, std::move(failure), sent});
    };
    hooks.started = [this](Duration delay) {
        m_metrics.observeSendDelay(delay);
    };
    hooks.opened = [this](const std::string &) {
        m_metrics.count({Metric::ConnectionsOpened, {}});
    };
    return hooks;
}

ConnectionHooks RoutingThread::clientHooks()
{
    ConnectionHooks hooks;
    hooks.limits = [this] {
        const ControlSnapshotPtr &control = m_loop.state().query.control;
        return control && control->routes ? control->routes->limits : ClientLimits();
    };
    hooks.rejected = [this](ClientRejection rejection) {
        m_loop.dispatch(ClientRejected{rejection});
    };
    return hooks;
}

void RoutingThread::start()
{
    m_thread = std::thread([this] {
        m_loop.run();
    });
}

void RoutingThread::post(EventBody event)
{
    m_loop.post(std::move(event));
}

void RoutingThread::finish()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool RoutingThread::isReady() const
{
    const ControlSnapshotPtr &control = m_loop.state().query.control;
    return control && control->routes && !control->leaving;
}

void RoutingThread::handleRequest(const HttpExchangePtr &exchange)
{
    ClientRequestPtr content;
    try {
        content = m_protocol.readRequest(*exchange);
    } catch (const Error &error) {
        log({LogLevel::Warning, error.step(), error.peer(), {}, error.what()});
        exchange->respond(StatusBadRequest, error.what(), "text/plain");
        return;
    }
    const QueryId request{++m_lastRequest};
    m_waiting[request] = {exchange, Clock::now()};
    exchange->setClosedHandler([this, request] {
        m_waiting.erase(request);
        m_loop.dispatch(RequestAbandoned{request});
    });
    m_loop.dispatch(RequestArrived{request, std::move(content), exchange->waited()});
}

void RoutingThread::carryOut(const Effect &effect)
{
    if (const auto *request = std::get_if<ForwardRequest>(&effect)) {
        forward(*request);
    } else if (const auto *answered = std::get_if<AnswerRequest>(&effect)) {
        answer(*answered);
    } else if (const auto *cancel = std::get_if<CancelForward>(&effect)) {
        m_sent.erase(cancel->attempt);
        m_upstream.cancel(cancel->attempt);
    } else if (const auto *idle = std::get_if<CloseIdleConnections>(&effect)) {
        m_upstream.closeIdle(idle->searcher);
    } else if (std::holds_alternative<StopListening>(effect)) {
        m_clients.stopListening();
    } else if (const auto *stopped = std::get_if<ReportStopped>(&effect)) {
        m_postToControl(TrafficStopped{0, stopped->cutOff});
    } else if (const auto *load = std::get_if<ReportBusy>(&effect)) {
        m_postToControl(BusyReported{0, load->busy});
    } else if (const auto *line = std::get_if<WriteLog>(&effect)) {
        log(line->record);
    } else if (const auto *metric = std::get_if<CountMetric>(&effect)) {
        m_metrics.count(*metric);
    }
}

void RoutingThread::forward(const ForwardRequest &effect)
{
    m_sent[effect.attempt] = effect.content;
    const bool expectsBody = effect.content->method != "HEAD";
    const auto encode = [this, effect] {
        return m_protocol.writeForward(effect, effect.deadline - Clock::now());
    };
    m_upstream.send({effect.attempt, effect.searcher, effect.address, encode, effect.deadline, expectsBody});
}

void RoutingThread::answer(const AnswerRequest &effect)
{
    const auto found = m_waiting.find(effect.request);
    if (found == m_waiting.end()) {
        return;
    }
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    m_metrics.observeLatency(Clock::now() - waiting.arrivedAt);
    waiting.exchange->setClosedHandler(nullptr);
    m_protocol.writeAnswer(*waiting.exchange, effect.answer);
}

void RoutingThread::log(const LogRecord &record) const
{
    writeLog(record, m_host, {});
}
}
