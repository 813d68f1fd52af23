#pragma once

#include <string>

namespace Quetzallift
{
// An approver's signed approval of a bundle.
struct Approval {
    // The approver's name in the settings of the hosts.
    std::string approver;
    // Ed25519 signature over the bundle's digest, in hexadecimal.
    std::string signature;
};
}
