#include "quetzallift/edge/httpclient.h"

#include "quetzallift/edge/curlhandles.h"
#include "quetzallift/edge/eventloop.h"

#include <ace/Event_Handler.h>
#include <unistd.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace Quetzallift
{
namespace
{
// A larger response body fails the transfer; a searcher's largest useful reply is far smaller.
constexpr std::size_t MaximumBodySize = 8U * 1024U * 1024U;
// Idle easy handles are cached to save their set-up cost.
constexpr std::size_t MaximumIdleHandles = 512;
constexpr long MaximumCachedConnections = 8192;

// One request in progress.
struct Transfer {
    TransferId id;
    CurlEasy easy;
    CurlHeaders headers;
    HttpRequest request;
    HttpResult result;
    HttpClient::Completion completion;
    // True once the empty line after the headers arrived. libcurl reports a response that breaks off before it as complete.
    bool headComplete = false;
    char errorText[CURL_ERROR_SIZE] = {};
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &body = static_cast<Transfer *>(context)->result.body;
    if (body.size() + size * count > MaximumBodySize) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

// Stores the value of the ETag header, and notes the end of the headers. libcurl passes whole lines, those of interim
// responses too.
std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    constexpr std::string_view Name = "etag:";
    const std::string_view line(data, size * count);
    static_cast<Transfer *>(context)->headComplete = line == "\r\n" || line == "\n";
    const bool isEtag = line.size() > Name.size() && std::equal(Name.begin(), Name.end(), line.begin(), [](char expected, char actual) {
                            return expected == std::tolower(static_cast<unsigned char>(actual));
                        });
    if (isEtag) {
        std::string value(line.substr(Name.size()));
        std::erase_if(value, [](char c) {
            return c == '"' || c == ' ' || c == '\r' || c == '\n';
        });
        static_cast<Transfer *>(context)->result.etag = std::move(value);
    }
    return size * count;
}

// Called by libcurl once the connection is established, before the request is sent.
int onConnected(void *context, char *, char *, int, int)
{
    HttpRequest &request = static_cast<Transfer *>(context)->request;
    if (request.encodeBody) {
        std::string body = request.encodeBody();
        if (body.size() <= request.body.size()) {
            body.resize(request.body.size(), ' ');
            // In place, since libcurl holds the address.
            std::copy(body.begin(), body.end(), request.body.begin());
        }
    }
    return CURL_PREREQFUNC_OK;
}

HttpOutcome outcomeOf(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return HttpOutcome::Responded;
    case CURLE_COULDNT_CONNECT:
        return HttpOutcome::Refused;
    case CURLE_OPERATION_TIMEDOUT:
        return HttpOutcome::TimedOut;
    default:
        return HttpOutcome::Reset;
    }
}

void configure(Transfer &transfer, const std::string &interface)
{
    CURL *easy = transfer.easy.get();
    const HttpRequest &request = transfer.request;
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    if (!interface.empty()) {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, interface.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.closeAfter ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    const auto timeout = std::max(std::chrono::ceil<std::chrono::milliseconds>(request.timeout), std::chrono::milliseconds(1));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.errorText);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &readHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    transfer.headers.add("Expect:");
    for (const std::string &header : request.headers) {
        transfer.headers.add(header);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers.list());
    if (request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
}
}

// Owns curl's multi handle and the registrations of its sockets with the reactor. A socket stays registered while its
// connection is idle between requests, which saves system calls on each request; curl calls CURLOPT_CLOSESOCKETFUNCTION
// when the registration must end.
class HttpClient::Engine
{
public:
    Engine(EventLoop &loop, const std::string &localAddress)
        : m_loop(loop)
        , m_interface(localAddress.empty() ? std::string() : "host!" + localAddress)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETFUNCTION, &Engine::onSocket);
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERFUNCTION, &Engine::onTimer);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, MaximumCachedConnections);
    }

    ~Engine()
    {
        *m_alive = false;
        for (auto &[id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi.get(), transfer->easy.get());
        }
        m_transfers.clear();
        m_multi.reset();
    }

    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    TransferId send(HttpRequest request, Completion completion)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = TransferId{++m_lastTransfer};
        transfer->easy = acquireEasy();
        transfer->request = std::move(request);
        transfer->completion = std::move(completion);
        configure(*transfer, m_interface);
        curl_easy_setopt(transfer->easy.get(), CURLOPT_CLOSESOCKETFUNCTION, &Engine::onCloseSocket);
        curl_easy_setopt(transfer->easy.get(), CURLOPT_CLOSESOCKETDATA, this);
        Transfer &added = *m_transfers.emplace(transfer->id, std::move(transfer)).first->second;
        curl_multi_add_handle(m_multi.get(), added.easy.get());
        return added.id;
    }

    void cancel(TransferId id)
    {
        const auto found = m_transfers.find(id);
        if (found != m_transfers.end()) {
            remove(found);
        }
    }

private:
    using Transfers = std::unordered_map<TransferId, std::unique_ptr<Transfer>>;

    // Notifies curl that one of its sockets is ready.
    class SocketHandler : public ACE_Event_Handler
    {
    public:
        SocketHandler(Engine &engine, curl_socket_t socket)
            : m_engine(engine)
            , m_socket(socket)
        {
            reference_counting_policy().value(ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
        }

        // Registers for the events that curl waits for, unless the socket is registered for exactly these events.
        void watch(ACE_Reactor_Mask mask)
        {
            m_inUse = true;
            if (m_mask == ACE_Event_Handler::NULL_MASK) {
                m_engine.m_loop.reactor().register_handler(m_socket, this, mask);
            } else if (m_mask != mask) {
                m_engine.m_loop.reactor().mask_ops(m_socket, mask, ACE_Reactor::SET_MASK);
            }
            m_mask = mask;
        }

        // Records that curl waits for no event on this socket.
        void setIdle()
        {
            m_inUse = false;
        }

        void unregister()
        {
            if (m_mask != ACE_Event_Handler::NULL_MASK) {
                m_mask = ACE_Event_Handler::NULL_MASK;
                m_engine.m_loop.reactor().remove_handler(m_socket, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
            }
        }

        ACE_HANDLE get_handle() const override
        {
            return m_socket;
        }

        int handle_input(ACE_HANDLE) override
        {
            handleReady(CURL_CSELECT_IN);
            return 0;
        }

        int handle_output(ACE_HANDLE) override
        {
            handleReady(CURL_CSELECT_OUT);
            return 0;
        }

    private:
        // An idle connection becomes ready when its peer closes it, which curl only detects before it reuses the
        // connection. The socket is unregistered, since the event would repeat until then.
        void handleReady(int events)
        {
            if (m_inUse) {
                m_engine.socketAction(m_socket, events);
            } else {
                unregister();
            }
        }

        Engine &m_engine;
        curl_socket_t m_socket;
        ACE_Reactor_Mask m_mask = ACE_Event_Handler::NULL_MASK;
        bool m_inUse = false;
    };

    CurlEasy acquireEasy()
    {
        if (m_idle.empty()) {
            return CurlEasy(curl_easy_init());
        }
        CurlEasy easy = std::move(m_idle.back());
        m_idle.pop_back();
        return easy;
    }

    std::unique_ptr<Transfer> remove(Transfers::iterator found)
    {
        std::unique_ptr<Transfer> transfer = std::move(found->second);
        m_transfers.erase(found);
        curl_multi_remove_handle(m_multi.get(), transfer->easy.get());
        if (m_idle.size() < MaximumIdleHandles) {
            m_idle.push_back(std::move(transfer->easy));
        }
        return transfer;
    }

    void socketAction(curl_socket_t socket, int events)
    {
        int running = 0;
        curl_multi_socket_action(m_multi.get(), socket, events, &running);
        completeTransfers();
    }

    void completeTransfers()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg == CURLMSG_DONE) {
                complete(message->easy_handle, message->data.result);
            }
        }
    }

    void complete(CURL *easy, CURLcode code)
    {
        Transfer *transfer = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
        HttpResult &result = transfer->result;
        result.outcome = code == CURLE_OK && !transfer->headComplete ? HttpOutcome::Reset : outcomeOf(code);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &result.status);
        long requestSize = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestSize);
        result.sent = requestSize > 0;
        if (code == CURLE_OK && !transfer->headComplete) {
            result.error = "the connection ended within the headers of the response";
        } else if (code != CURLE_OK) {
            result.error = transfer->errorText[0] != '\0' ? transfer->errorText : curl_easy_strerror(code);
        }
        const std::unique_ptr<Transfer> done = remove(m_transfers.find(transfer->id));
        done->completion(std::move(done->result));
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *context, void *)
    {
        static_cast<Engine *>(context)->watch(socket, what);
        return 0;
    }

    void watch(curl_socket_t socket, int what)
    {
        auto found = m_sockets.find(socket);
        if (what == CURL_POLL_REMOVE) {
            if (found != m_sockets.end()) {
                found->second->setIdle();
            }
            return;
        }
        if (found == m_sockets.end()) {
            found = m_sockets.emplace(socket, new SocketHandler(*this, socket)).first;
        }
        ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
        mask |= (what & CURL_POLL_IN) != 0 ? ACE_Event_Handler::READ_MASK : 0;
        mask |= (what & CURL_POLL_OUT) != 0 ? ACE_Event_Handler::WRITE_MASK : 0;
        found->second->watch(mask);
    }

    static int onCloseSocket(void *context, curl_socket_t socket)
    {
        static_cast<Engine *>(context)->unregisterSocket(socket);
        return close(socket);
    }

    void unregisterSocket(curl_socket_t socket)
    {
        const auto found = m_sockets.find(socket);
        if (found != m_sockets.end()) {
            SocketHandler *handler = found->second;
            m_sockets.erase(found);
            handler->unregister();
            handler->remove_reference();
        }
    }

    static int onTimer(CURLM *, long timeoutMs, void *context)
    {
        static_cast<Engine *>(context)->startTimer(std::chrono::milliseconds(timeoutMs));
        return 0;
    }

    // Curl has one timer; setting it again replaces it, and a negative time cancels it. Curl sets the timer several times
    // for each request, mostly to a later time, so that a loop timer which is already scheduled is reused.
    void startTimer(std::chrono::milliseconds wait)
    {
        m_curlTimerAt = wait.count() < 0 ? TimePoint::max() : Clock::now() + wait;
        if (m_curlTimerAt < m_scheduledAt) {
            scheduleTimer(m_curlTimerAt);
        }
    }

    void scheduleTimer(TimePoint at)
    {
        m_scheduledAt = at;
        m_loop.callAt(at, [this, at, alive = m_alive] {
            if (*alive && at == m_scheduledAt) {
                m_scheduledAt = TimePoint::max();
                handleTimer();
            }
        });
    }

    void handleTimer()
    {
        if (m_curlTimerAt <= Clock::now()) {
            m_curlTimerAt = TimePoint::max();
            socketAction(CURL_SOCKET_TIMEOUT, 0);
        }
        if (m_curlTimerAt < m_scheduledAt) {
            scheduleTimer(m_curlTimerAt);
        }
    }

    EventLoop &m_loop;
    // The local address in the form of CURLOPT_INTERFACE.
    std::string m_interface;
    CurlMulti m_multi;
    Transfers m_transfers;
    std::vector<CurlEasy> m_idle;
    std::uint64_t m_lastTransfer = 0;
    std::unordered_map<curl_socket_t, SocketHandler *> m_sockets;
    // When curl's timer expires, and when the scheduled loop timer fires; TimePoint::max() if there is none.
    TimePoint m_curlTimerAt = TimePoint::max();
    TimePoint m_scheduledAt = TimePoint::max();
    // False once the engine is destroyed; checked by timers that are still scheduled.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

HttpClient::HttpClient(EventLoop &loop, const std::string &localAddress)
    : m_engine(std::make_unique<Engine>(loop, localAddress))
{ }

HttpClient::~HttpClient() = default;

TransferId HttpClient::send(HttpRequest request, Completion completion)
{
    return m_engine->send(std::move(request), std::move(completion));
}

void HttpClient::cancel(TransferId transfer)
{
    m_engine->cancel(transfer);
}
}
