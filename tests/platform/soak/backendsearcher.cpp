#include "tests/platform/soak/backendsearcher.h"

#include "tests/platform/soak/requestledger.h"

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr unsigned Ok = 200;
constexpr unsigned Misdirected = 421;
constexpr unsigned Failed = 500;
constexpr unsigned Unavailable = 503;
constexpr unsigned Slots = 2;
constexpr std::size_t QueueLimit = 8;
constexpr double FaultShare = 0.4;
constexpr std::size_t RecordSize = 16;
constexpr unsigned RecordsInPart = 8;
constexpr std::chrono::milliseconds ShortestWork{3};
constexpr std::chrono::milliseconds LongestWork{12};
constexpr int SlowFactor = 30;
}

struct BackEndSearcher::Work {
    HttpExchangePtr exchange;
    std::string request;
    std::string signature;
    std::string body;
    bool success = true;
    bool abandoned = false;
};

BackEndSearcher::BackEndSearcher(EventLoop &loop, RequestLedger &ledger, Place place, std::uint64_t seed)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_place(std::move(place))
    , m_random(seed)
    , m_server(std::make_unique<HttpServer>(loop, m_place.address, [this](const HttpExchangePtr &exchange) {
        handle(exchange);
    }))
{ }

BackEndSearcher::~BackEndSearcher()
{
    *m_alive = false;
    for (const WorkPtr &work : m_queue) {
        work->exchange->setClosedHandler(nullptr);
    }
}

const BackEndSearcher::Place &BackEndSearcher::place() const
{
    return m_place;
}

void BackEndSearcher::setCondition(SearcherCondition condition)
{
    m_condition = condition;
}

void BackEndSearcher::noteLeaving(TimePoint at)
{
    m_leavingSince = at;
}

bool BackEndSearcher::chance(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

void BackEndSearcher::handle(const HttpExchangePtr &exchange)
{
    const std::string id = exchange->header("Request-Id");
    m_ledger.noteArrival(id, m_place.service, Clock::now());
    if (exchange->header("Expect-Instance") != m_place.id) {
        exchange->addHeader("Instance-Id", m_place.id);
        exchange->respond(Misdirected, {});
        return;
    }
    if (m_condition == SearcherCondition::Shedding || m_queue.size() >= QueueLimit) {
        exchange->addHeader("Not-Executed", "1");
        exchange->respond(Unavailable, {});
        return;
    }
    const SentRequest *request = m_ledger.request(id);
    if (request != nullptr && request->target != exchange->target()) {
        m_ledger.violation("UNASKED", id + " reached " + m_place.id + " with the path " + exchange->target());
    }
    if (m_leavingSince && onLateArrival) {
        onLateArrival(id, Clock::now() - *m_leavingSince);
    }
    const auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->request = id;
    exchange->setClosedHandler([weak = std::weak_ptr<Work>(work)] {
        if (const WorkPtr closed = weak.lock()) {
            closed->abandoned = true;
        }
    });
    m_queue.push_back(work);
    startNext();
}

void BackEndSearcher::startNext()
{
    while (m_running < Slots && !m_queue.empty()) {
        const WorkPtr work = m_queue.front();
        m_queue.pop_front();
        if (work->abandoned) {
            continue;
        }
        ++m_running;
        work->success = m_condition != SearcherCondition::Failing || !chance(FaultShare);
        work->body = makeBody();
        work->signature = m_ledger.noteRun({work->request, m_place.service, m_place.id, work->success, work->body});
        std::uniform_int_distribution<std::int64_t> drawn(ShortestWork.count(), LongestWork.count());
        const std::chrono::milliseconds ordinary(drawn(m_random));
        const Duration length = m_condition == SearcherCondition::Slow ? ordinary * SlowFactor : ordinary;
        m_loop.callAt(Clock::now() + length, [this, work, alive = m_alive] {
            if (*alive) {
                finish(work);
            }
        });
    }
}

void BackEndSearcher::finish(const WorkPtr &work)
{
    --m_running;
    if (!work->abandoned) {
        reply(work);
    }
    startNext();
}

void BackEndSearcher::reply(const WorkPtr &work)
{
    if (m_condition == SearcherCondition::Mute) {
        return;
    }
    if (m_condition == SearcherCondition::LosingReplies && chance(FaultShare)) {
        work->exchange->drop();
        return;
    }
    const bool crossed = m_condition == SearcherCondition::Crossing && chance(FaultShare);
    work->exchange->addHeader("Request-Id", crossed ? "another-request" : work->request);
    work->exchange->addHeader("Server-Stamp", work->signature);
    work->exchange->respond(work->success ? Ok : Failed, crossed ? makeBody() : work->body, "application/octet-stream");
}

std::string BackEndSearcher::makeBody()
{
    std::string body;
    for (std::size_t byte = 0; byte < RecordSize * RecordsInPart; ++byte) {
        body.push_back(static_cast<char>(m_random()));
    }
    // A remainder that is no record, which a merged answer must leave out.
    return m_place.sharded ? body + "rest" : body;
}
}
