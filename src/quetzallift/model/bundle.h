#pragma once

#include "quetzallift/model/backend.h"
#include "quetzallift/model/refcounted.h"

#include <map>
#include <string>
#include <vector>

namespace Quetzallift
{
// A caller that the bundle admits, and the caller's relative share of capacity under overload.
struct CallerPolicy {
    std::string name;
    double share = 1.0;
    // The back ends that the caller may query; empty for all of them.
    std::vector<std::string> backEnds;

    bool mayQuery(const std::string &backEnd) const;
};

// A service-level objective of a back end, for one caller or for all callers (empty name).
struct Objective {
    std::string backEnd;
    std::string caller;
    Duration latency = std::chrono::milliseconds(95);
    double latencyRatio = 0.99;
    double coverage = 1.0;
    double coverageRatio = 0.99;
    double refusalRatio = 0.01;
};

// One immutable configuration, identified by the digest of its content.
struct Bundle : RefCounted<Bundle> {
    std::string digest;
    std::string author;
    std::string comment;
    std::map<std::string, BackEnd> backEnds;
    std::map<std::string, CallerPolicy> callers;
    std::vector<Objective> objectives;
    // The canonical encoding of the content, over which the digest is taken. Kept so that the bundle can be forwarded
    // unchanged.
    std::string content;

    // The back end of that name, or null.
    const BackEnd *backEnd(const std::string &name) const;
    // The caller of that name, or null.
    const CallerPolicy *caller(const std::string &name) const;
};

using BundlePtr = RefPtr<const Bundle>;
}
