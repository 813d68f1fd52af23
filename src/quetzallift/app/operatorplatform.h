#pragma once

#include "quetzallift/model/platform.h"
#include "quetzallift/model/step.h"

#include <string>

namespace Quetzallift
{
// The platform as the operators' commands use it: one call at a time, waiting for each reply.
class OperatorPlatform
{
public:
    // The address is "ip:port". Throws Error if it is not.
    explicit OperatorPlatform(std::string address);

    // Makes one call and waits for its reply, whatever its outcome.
    PlatformReply call(const PlatformRequest &request) const;

    // Reads an object. Throws Error if the platform does not answer; a missing object gives monostate.
    PlatformValue read(const std::string &object, Step step) const;

    const std::string &address() const;

private:
    std::string m_address;
};
}
