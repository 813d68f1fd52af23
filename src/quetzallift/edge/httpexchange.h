#pragma once

#include "quetzallift/model/clientrequest.h"

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
    // A request whose first line begins to arrive for the given target.
    HttpExchange(MHD_Connection *connection, std::string target);

    const std::string &method() const;
    const std::string &path() const;
    // Path and query as they were sent.
    const std::string &target() const;
    const std::string &body() const;

    // The address from which the request came, as "ip:port".
    const std::string &peer() const;

    // The value of an argument of the URL, or empty.
    std::string argument(const std::string &name) const;

    // The value of a header of the request, or empty. Only before the request is answered.
    std::string header(const std::string &name) const;

    // All headers in the order in which they came. Only before the request is answered.
    std::vector<Header> headers() const;

    // Sends the response. A second call, or one after the connection closed, does nothing.
    void respond(unsigned status, std::string body, const std::string &contentType = "application/json");

    // Sends a response with just these headers and those added before.
    void respondWith(unsigned status, const std::vector<Header> &headers, std::string body);

    // Closes the connection without a response.
    void drop();

    // Adds a header to the response; to be called before respond().
    void addHeader(std::string name, std::string value);

    // Sets what is called if the connection closes before the response was sent.
    void setClosedHandler(std::function<void()> handler);

private:
    friend class HttpServerCallbacks;

    // Takes the first line once the headers are complete.
    void begin(const char *method, const char *path);

    // Hands the response over to the server if the connection waits for it.
    void resume();

    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    MHD_Connection *m_connection;
    std::string m_target;
    bool m_begun = false;
    std::string m_method;
    std::string m_path;
    std::string m_peer;
    std::string m_body;
    std::map<std::string, std::string> m_arguments;
    std::vector<Header> m_headers;
    std::function<void()> m_closedHandler;
    // Makes the server continue with this connection once its response is known.
    std::function<void()> m_continue;
    bool m_tooLarge = false;
    bool m_handled = false;
    // Linked while the connection waits for the response.
    Hook m_suspended;
    bool m_responded = false;
    bool m_dropped = false;
    unsigned m_status = 0;
    std::string m_response;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;
}
