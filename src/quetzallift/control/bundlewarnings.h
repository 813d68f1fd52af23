#pragma once

#include <string>
#include <vector>

namespace Quetzallift
{
struct Bundle;

// Lists what is valid in a bundle but risky: shards with one replica or with all replicas in one data centre, and, compared
// with the bundle in force, which may be null, capacity that falls to half or less and layouts, back ends or callers that
// are removed.
std::vector<std::string> bundleWarnings(const Bundle &bundle, const Bundle *inForce);
}
