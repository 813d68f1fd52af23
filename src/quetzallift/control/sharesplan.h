#pragma once

#include "quetzallift/model/sharesrecord.h"

#include <string>

namespace Quetzallift
{
struct ControlState;
struct Searcher;

// The connections to a searcher that an epoch gives to one host. The parts of all hosts add up to at most the limit.
unsigned connectionPart(const SharesEpoch &epoch, const SharesHost &host, const Searcher &searcher);

// The connections that a host may use under a record: the present part, or the smallest of all parts that are in force
// somewhere while an earlier epoch is not given up everywhere.
unsigned usablePart(const SharesRecord &record, bool settled, const SharesHost &host, const Searcher &searcher);

// Whether another host certainly holds none of the connections that an epoch gave it: its process stopped, was replaced
// by a newer one, or is gone and no longer listed by the platform. A host that is merely out of reach keeps its part.
bool holdsNothing(const ControlState &state, const SharesHost &holder);

// The hosts among which connections should be divided, by this host's membership table.
std::vector<SharesHost> wantedHosts(const ControlState &state);

// The epoch that divides connections among those hosts, with the earlier ones that some host may still follow.
SharesRecord nextRecord(const SharesRecord &record, bool settled, std::vector<SharesHost> hosts);
}
