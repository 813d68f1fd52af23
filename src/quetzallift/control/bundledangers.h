#pragma once

#include <string>
#include <vector>

namespace Quetzallift
{
struct Bundle;

// Names what is allowed in a bundle but risky: shards with one replica or with all replicas in one data centre, and
// capacity, layouts or back ends that go away compared with the bundle in force, which may be null.
std::vector<std::string> bundleDangers(const Bundle &bundle, const Bundle *inForce);
}
