#pragma once

#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/time.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

struct MHD_Connection;

namespace Quetzallift
{
// One request to an HttpServer and its response. Used on the server's thread only.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter>
{
public:
    // Constructed when the request line has been read; the target is its path and query string. The request waited in the
    // socket for the given time before.
    HttpExchange(MHD_Connection *connection, std::string target, Duration waited);

    const std::string &method() const;
    const std::string &path() const;
    // Path and query string as received.
    const std::string &target() const;
    const std::string &body() const;

    // How long the request waited in the socket until it was read, as on a host that was busy or paused.
    Duration waited() const;

    // The remote address of the connection, as "ip:port".
    const std::string &peer() const;

    // The value of an argument of the query string, or empty.
    std::string argument(const std::string &name) const;

    // The value of a request header, or empty. Always empty once the request has ended.
    std::string header(const std::string &name) const;

    // All request headers in the order received. Empty once the request has ended.
    std::vector<Header> headers() const;

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
    friend class HttpServerCallbacks;

    // Stores the method, path and arguments once the headers are complete.
    void start(const char *method, const char *path);

    // Resumes the connection if it is suspended, so that the server sends the response.
    void resume();

    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    MHD_Connection *m_connection;
    std::string m_target;
    Duration m_waited;
    bool m_started = false;
    std::string m_method;
    std::string m_path;
    std::string m_peer;
    std::string m_body;
    std::map<std::string, std::string> m_arguments;
    std::vector<Header> m_headers;
    std::function<void()> m_closedHandler;
    // Resumes the connection in the server; called once the response is known.
    std::function<void()> m_resumeConnection;
    bool m_bodyTooLarge = false;
    bool m_handled = false;
    // Linked while the connection is suspended.
    Hook m_suspended;
    bool m_responded = false;
    bool m_dropped = false;
    unsigned m_status = 0;
    std::string m_response;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;
}
