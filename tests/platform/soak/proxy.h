#pragma once

#include "quetzallift/edge/eventloop.h"

#include <list>
#include <memory>
#include <string>

namespace Soak
{
// What a proxy does with the bytes that pass through it.
enum class LinkCondition {
    Open,
    // Holds the bytes of both directions until the link is open again.
    Silent,
    HoldsRequests,
    HoldsReplies,
};

// A TCP proxy on loopback that stands for a link between two processes.
class Proxy
{
public:
    Proxy(Quetzallift::EventLoop &loop, const std::string &listenAddress, std::string target);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    void setCondition(LinkCondition condition);
    void setDelay(Quetzallift::Duration delay);

    // Resets every connection.
    void reset();

private:
    class Acceptor;
    class Side;
    struct Pipe;

    void accept(int handle);
    bool holds(const Side &side) const;
    void receive(Side &side);
    void pump(Side &side);
    void close(Pipe &pipe, bool abruptly);

    Quetzallift::EventLoop &m_loop;
    std::string m_target;
    LinkCondition m_condition = LinkCondition::Open;
    Quetzallift::Duration m_delay = Quetzallift::Duration::zero();
    std::unique_ptr<Acceptor> m_acceptor;
    std::list<std::unique_ptr<Pipe>> m_pipes;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
}
