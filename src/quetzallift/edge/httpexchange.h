#pragma once

#include "quetzallift/edge/requestreader.h"
#include "quetzallift/edge/responsewriter.h"
#include "quetzallift/model/time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Quetzallift
{
class ServerConnection;

// One request to an HttpServer and its response. Used on the server's thread only.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter>
{
public:
    // The request waited in the socket for the given time before it was read.
    HttpExchange(ServerConnection &connection, HttpServerRequest request, Duration waited, LifetimePtr memory);

    const std::string &method() const;
    // The path with percent-encoded bytes decoded.
    std::string path() const;
    // Path and query string as received.
    const std::string &target() const;
    const std::string &body() const;

    // Moves the body out of the exchange.
    std::string takeBody();

    // Accounts for the memory of the request; shared by those that keep parts of it.
    const LifetimePtr &memory() const;

    // How long the request waited in the socket until it was read, as on a host that was busy or paused.
    Duration waited() const;

    // The remote address of the connection, as "ip:port".
    const std::string &peer() const;

    // The decoded value of an argument of the query string, or empty.
    std::string argument(const std::string &name) const;

    // The value of a request header, or empty.
    std::string header(const std::string &name) const;

    // All request headers in the order received.
    const std::vector<Header> &headers() const;

    // Sends the response. Does nothing if a response was sent already or the connection is closed.
    void respond(unsigned status, std::string body, const std::string &contentType = "application/json");

    // Sends a response whose headers are the given ones and those added with addHeader().
    void respondWith(unsigned status, const std::vector<Header> &headers, std::string body);

    // Closes the connection without a response. Does nothing if a response was sent already or the connection is closed.
    void drop();

    // Adds a header to the response; must be called before respond().
    void addHeader(std::string name, std::string value);

    // Sets the function that is called if the connection closes before the response was sent.
    void setClosedHandler(std::function<void()> handler);

private:
    friend class ServerConnection;

    // Called by the connection when it closes before the response was given; calls the closed handler.
    void reportClosed();
    // Called by the connection when the exchange has ended for it.
    void detach();
    bool isDropped() const;
    const HttpServerResponse &response() const;

    // Null once the response was given or the connection has closed.
    ServerConnection *m_connection;
    HttpServerRequest m_request;
    std::string m_peer;
    Duration m_waited;
    LifetimePtr m_memory;
    std::function<void()> m_closedHandler;
    bool m_dropped = false;
    HttpServerResponse m_response;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;
}
