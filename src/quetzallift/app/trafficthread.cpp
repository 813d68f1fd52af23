#include "quetzallift/app/trafficthread.h"

#include "quetzallift/app/log.h"
#include "quetzallift/app/metrics.h"
#include "quetzallift/app/naive.h"
#include "quetzallift/edge/addresscodec.h"
#include "quetzallift/edge/httperror.h"
#include "quetzallift/edge/querycodec.h"
#include "quetzallift/edge/statuscodec.h"
#include "quetzallift/model/error.h"

#include <algorithm>
#include <random>

namespace Quetzallift
{
namespace
{
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusMethodNotAllowed = 405;
constexpr unsigned StatusUnavailable = 503;

// False while no epoch of connection shares lists this host, so that it cannot reach any searcher.
bool holdsConnections(const ControlSnapshot &control)
{
    return std::any_of(control.connectionShares.begin(), control.connectionShares.end(), [](const auto &share) {
        return share.second > 0;
    });
}

// The caller's IP number; its port changes with every connection.
std::string callerAddress(const HttpExchange &exchange)
{
    return exchange.peer().substr(0, exchange.peer().rfind(':'));
}
}

TrafficThread::TrafficThread(unsigned number, const Settings &settings, Metrics &metrics, ControlPost postToControl)
    : m_number(number)
    , m_host(settings.host.name)
    , m_dataCentre(settings.host.dataCentre)
    , m_metrics(metrics)
    , m_postToControl(std::move(postToControl))
    , m_resources(settings)
    , m_searchers(m_loop, settings.host.address.substr(0, settings.host.address.find(':')))
    , m_server(
          m_loop,
          settings.host.address,
          [this](const HttpExchangePtr &exchange) {
              handleRequest(exchange);
          },
          clientHooks(),
          m_resources.serverWith(m_resources.requestConnections))
{
    m_loop.state().hooks.random = [engine = std::mt19937_64(std::random_device{}())]() mutable {
        return engine();
    };
    m_loop.state().query.threadIndex = {number, settings.host.trafficThreads};
    m_loop.state().query.dataCentre = settings.host.dataCentre;
    if (settings.naive) {
        useNaivePolicies(m_loop.state().hooks);
    }
    m_loop.setEffectHandler([this](const Effect &effect) {
        carryOut(effect);
    });
}

TrafficThread::~TrafficThread() = default;

ConnectionHooks TrafficThread::clientHooks()
{
    ConnectionHooks hooks;
    hooks.rejected = [this](ClientRejection rejection) {
        m_loop.dispatch(ClientRejected{rejection});
    };
    return hooks;
}

void TrafficThread::start()
{
    m_thread = std::thread([this] {
        m_loop.run();
    });
}

void TrafficThread::post(EventBody event)
{
    m_loop.post(std::move(event));
}

void TrafficThread::finish()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void TrafficThread::handleRequest(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->path();
    if (path == "/v1/query") {
        handleQuery(exchange);
    } else if (path == "/v1/addresses") {
        handleAddresses(exchange);
    } else if (path == "/health") {
        exchange->respond(StatusOk, R"({"status":"alive"})");
    } else if (path == "/ready") {
        handleReady(exchange);
    } else if (path == "/v1/status") {
        exchange->respond(StatusOk, encodeStatus(m_host, m_loop.state().query.control, Clock::now(), std::chrono::system_clock::now()));
    } else if (path == "/metrics") {
        exchange->respond(StatusOk, m_metrics.page(), "text/plain; version=0.0.4");
    } else {
        exchange->respond(StatusNotFound, encodeHttpError(Step::Admit, exchange->peer(), "there is no page " + path));
    }
}

void TrafficThread::handleQuery(const HttpExchangePtr &exchange)
{
    if (exchange->method() != "POST") {
        exchange->respond(StatusMethodNotAllowed, encodeHttpError(Step::Admit, exchange->peer(), "a query is sent with POST"));
        return;
    }
    QueryRequest request;
    try {
        request = decodeQuery(exchange->body(), exchange->peer());
    } catch (const Error &error) {
        exchange->respond(StatusBadRequest, encodeHttpError(error.step(), error.peer(), error.what()));
        return;
    }
    const QueryId query{++m_lastQuery};
    m_waiting[query] = {exchange, Clock::now()};
    exchange->setClosedHandler([this, query] {
        m_waiting.erase(query);
        m_loop.dispatch(QueryAbandoned{query});
    });
    m_loop.dispatch(QueryArrived{query, std::move(request)});
}

void TrafficThread::handleAddresses(const HttpExchangePtr &exchange) const
{
    const ControlSnapshotPtr &control = m_loop.state().query.control;
    if (!control) {
        exchange->respond(StatusUnavailable, encodeHttpError(Step::Admit, exchange->peer(), "no bundle is in force on this entry host"));
        return;
    }
    // A caller that does not say who it is or where it stands is told apart by its address, and taken to be near.
    const std::string caller = exchange->argument("caller");
    const std::string dataCentre = exchange->argument("data_centre");
    exchange->respond(StatusOk, encodeAddresses(*control, dataCentre.empty() ? m_dataCentre : dataCentre, caller.empty() ? callerAddress(*exchange) : caller));
}

void TrafficThread::handleReady(const HttpExchangePtr &exchange) const
{
    const QueryState &state = m_loop.state().query;
    const bool ready = state.control && !state.stopping && holdsConnections(*state.control);
    exchange->respond(ready ? StatusOk : StatusUnavailable, ready ? R"({"ready":true})" : R"({"ready":false})");
}

void TrafficThread::carryOut(const Effect &effect)
{
    if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
        m_searchers.send(*send);
    } else if (const auto *cancel = std::get_if<CancelSubRequest>(&effect)) {
        m_searchers.cancel(*cancel);
    } else if (const auto *probe = std::get_if<ProbeSearcher>(&effect)) {
        m_searchers.probe(*probe);
    } else if (const auto *sendAnswer = std::get_if<SendAnswer>(&effect)) {
        answer(*sendAnswer);
    } else if (const auto *recorded = std::get_if<SendRecordedAnswer>(&effect)) {
        answerRecorded(*recorded);
    } else if (const auto *claim = std::get_if<RequestClaim>(&effect)) {
        m_postToControl(ClaimRequested{m_number, claim->query, claim->object, claim->fingerprint, claim->timeout});
    } else if (const auto *record = std::get_if<RecordOutcome>(&effect)) {
        m_postToControl(OutcomeRecorded{record->object, encodeRecordedAnswer(record->answer)});
    } else if (const auto *service = std::get_if<ReportService>(&effect)) {
        m_postToControl(ServiceReported{service->table});
    } else if (const auto *stopped = std::get_if<ReportStopped>(&effect)) {
        m_postToControl(TrafficStopped{m_number, stopped->cutOff});
    } else if (const auto *applied = std::get_if<ReportSharesApplied>(&effect)) {
        m_postToControl(SharesApplied{m_number, applied->epoch});
    } else if (const auto *log = std::get_if<WriteLog>(&effect)) {
        const ControlSnapshotPtr &control = m_loop.state().query.control;
        writeLog(log->record, m_host, control ? control->bundle->digest : std::string());
    } else if (const auto *metric = std::get_if<CountMetric>(&effect)) {
        m_metrics.count(*metric);
    }
}

void TrafficThread::answer(const SendAnswer &effect)
{
    respond(effect.query, httpStatusOf(effect.answer), encodeAnswer(effect.answer));
}

void TrafficThread::answerRecorded(const SendRecordedAnswer &effect)
{
    respond(effect.query, StatusOk, effect.answer);
}

void TrafficThread::respond(QueryId query, unsigned status, std::string body)
{
    const auto found = m_waiting.find(query);
    if (found == m_waiting.end()) {
        return;
    }
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    m_metrics.observeLatency(Clock::now() - waiting.arrivedAt);
    waiting.exchange->setClosedHandler(nullptr);
    waiting.exchange->respond(status, std::move(body));
}
}
