#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpclient.h"

#include <curl/curl.h>

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>

using namespace Quetzallift;

namespace
{
// A server that answers one request with the given bytes, repeats the last of them without end if it is told to, and closes.
class RawServer
{
public:
    RawServer(std::string bytes, std::string repeated)
        : m_listen(socket(AF_INET, SOCK_STREAM, 0))
        , m_bytes(std::move(bytes))
        , m_repeated(std::move(repeated))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        bind(m_listen, reinterpret_cast<sockaddr *>(&address), size);
        listen(m_listen, 1);
        getsockname(m_listen, reinterpret_cast<sockaddr *>(&address), &size);
        m_url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
        m_thread = std::thread([this] {
            serve();
        });
    }

    ~RawServer()
    {
        m_thread.join();
        close(m_listen);
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    const std::string &url() const
    {
        return m_url;
    }

    // Only valid once the response has arrived.
    const std::string &received() const
    {
        return m_received;
    }

private:
    void serve()
    {
        const int connection = accept(m_listen, nullptr, nullptr);
        char buffer[1024];
        const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
        m_received.assign(buffer, static_cast<std::size_t>(std::max<ssize_t>(0, size)));
        bool open = ::send(connection, m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL) > 0;
        while (open && !m_repeated.empty()) {
            open = ::send(connection, m_repeated.data(), m_repeated.size(), MSG_NOSIGNAL) > 0;
        }
        close(connection);
    }

    int m_listen;
    std::string m_bytes;
    std::string m_repeated;
    std::string m_url;
    std::string m_received;
    std::thread m_thread;
};

HttpOutcome outcomeOf(const std::string &bytes, const std::string &repeated = {})
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const RawServer server(bytes, repeated);
    EventLoop loop;
    HttpClient client(loop);
    HttpRequest request;
    request.url = server.url();
    request.timeout = std::chrono::seconds(20);
    HttpOutcome outcome = HttpOutcome::TimedOut;
    client.send(std::move(request), [&](const HttpResult &result) {
        outcome = result.outcome;
        loop.stop();
    });
    loop.run();
    return outcome;
}
}

// Guards against a response that breaks off in its head and is taken for a complete one with an empty body.
Test(httpclient, responseCutInItsHeadIsIncomplete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nServer: x\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t length = 1; length < head.size(); ++length) {
        cr_assert(outcomeOf(head.substr(0, length)) == HttpOutcome::Reset, "cut at %zu bytes", length);
    }
    cr_assert(outcomeOf(head) == HttpOutcome::Responded);
}

// Guards against a peer whose bytes never end and that fills the memory of the host.
Test(httpclient, endlessBytesEndTheTransfer)
{
    const std::string filler(4096, 'x');
    cr_assert(outcomeOf("HTTP/1.1 200 OK\r\n", "X-" + filler + ": " + filler + "\r\n") == HttpOutcome::Reset);
    cr_assert(outcomeOf("HTTP/1.1 200 OK\r\n", "Set-Cookie: a=b\r\n") == HttpOutcome::Reset);
    cr_assert(outcomeOf("HTTP/1.1 200 OK\r\nX-Long: ", filler) == HttpOutcome::Reset);
    cr_assert(outcomeOf("HTTP/1.1 200 OK\r\n\r\n", filler) == HttpOutcome::Reset);
    cr_assert(outcomeOf("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n") == HttpOutcome::Reset);
}

// Guards against a searcher that is given the time which passed while the connection to it was opened.
Test(httpclient, bodyIsEncodedOnceTheConnectionIsEstablished)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", {});
    EventLoop loop;
    HttpClient client(loop);
    HttpRequest request;
    request.method = "POST";
    request.url = server.url();
    request.timeout = std::chrono::seconds(20);
    request.body = "900";
    std::string timeLeft = "850";
    request.encodeBody = [&timeLeft] {
        return timeLeft;
    };
    HttpOutcome outcome = HttpOutcome::TimedOut;
    client.send(std::move(request), [&](const HttpResult &result) {
        outcome = result.outcome;
        loop.stop();
    });
    timeLeft = "70";
    loop.run();
    cr_assert(outcome == HttpOutcome::Responded);
    cr_assert(server.received().ends_with("\r\n\r\n70 "), "%s", server.received().c_str());
}
