#pragma once

#include "quetzallift/model/step.h"

#include <stdexcept>
#include <string>

namespace Quetzallift
{
// An exception with the step and the peer (or file) at which the error occurred.
class Error : public std::runtime_error
{
public:
    Error(Step step, std::string peer, const std::string &detail)
        : std::runtime_error(std::string(toString(step)) + " " + peer + ": " + detail)
        , m_step(step)
        , m_peer(std::move(peer))
    { }

    // The step that failed.
    Step step() const
    {
        return m_step;
    }

    // The host, searcher, caller, platform address or file at the other end.
    const std::string &peer() const
    {
        return m_peer;
    }

private:
    Step m_step;
    std::string m_peer;
};
}
