#include "quetzallift/edge/searcherclient.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/searchcodec.h"
#include "quetzallift/model/error.h"

namespace Quetzallift
{
namespace
{
constexpr long StatusOk = 200;
// Space in a body for a time limit with more digits than the one that is encoded first.
constexpr std::size_t TimeDigits = 20;

FailureKind failureOf(HttpOutcome outcome)
{
    switch (outcome) {
    case HttpOutcome::Refused:
        return FailureKind::ConnectionRefused;
    case HttpOutcome::TimedOut:
        return FailureKind::Timeout;
    case HttpOutcome::Reset:
        return FailureKind::ConnectionReset;
    case HttpOutcome::Responded:
        break;
    }
    return FailureKind::BadReply;
}
}

SearcherClient::SearcherClient(EventLoop &loop, const std::string &localAddress)
    : m_loop(loop)
    , m_http(loop, localAddress)
{ }

void SearcherClient::send(const SendSubRequest &effect)
{
    const TimePoint now = Clock::now();
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + effect.searcher + "/v1/search";
    request.encodeBody = [subRequest = effect.request, attempt = effect.attempt] {
        return encodeSubRequest(subRequest, attempt, Clock::now());
    };
    request.body = request.encodeBody() + std::string(TimeDigits, ' ');
    request.headers = {"Content-Type: application/json"};
    request.timeout = effect.request.deadline - now;
    request.closeAfter = effect.closeAfter;
    m_transfers[effect.attempt] = m_http.send(std::move(request), [this, attempt = effect.attempt, searcher = effect.searcher](const HttpResult &result) {
        complete(attempt, searcher, result);
    });
}

void SearcherClient::cancel(const CancelSubRequest &effect)
{
    const auto found = m_transfers.find(effect.attempt);
    if (found != m_transfers.end()) {
        m_http.cancel(found->second);
        m_transfers.erase(found);
    }
}

void SearcherClient::probe(const ProbeSearcher &effect)
{
    HttpRequest request;
    request.url = "http://" + effect.searcher + "/health";
    request.timeout = effect.timeout;
    m_http.send(std::move(request), [this, searcher = effect.searcher](const HttpResult &result) {
        const bool healthy = result.outcome == HttpOutcome::Responded && result.status == StatusOk && decodeHealth(result.body);
        m_loop.dispatch(SearcherProbed{searcher, healthy});
    });
}

void SearcherClient::complete(AttemptId attempt, const std::string &searcher, const HttpResult &result)
{
    m_transfers.erase(attempt);
    if (result.outcome != HttpOutcome::Responded || result.status != StatusOk) {
        const std::string detail = result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error;
        const Step step = result.outcome == HttpOutcome::Refused ? Step::Connect : Step::Wait;
        m_loop.dispatch(SubRequestFailed{attempt, {step, searcher, failureOf(result.outcome), detail}, result.sent});
        return;
    }
    try {
        m_loop.dispatch(SubReplyArrived{attempt, decodeSubReply(result.body, searcher)});
    } catch (const Error &error) {
        m_loop.dispatch(SubRequestFailed{attempt, {error.step(), searcher, FailureKind::BadReply, error.what()}, true});
    }
}
}
