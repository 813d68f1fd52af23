#pragma once

#include <string>

namespace Quetzallift
{
// An approver's consent to a bundle.
struct Approval {
    // The approver's name as the settings of the hosts list it.
    std::string approver;
    // Ed25519 signature over the bundle's digest, in hexadecimal.
    std::string signature;
};
}
