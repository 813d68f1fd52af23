#pragma once

#include "quetzallift/model/sharesrecord.h"

#include <string>

namespace Quetzallift
{
struct ControlState;
struct Searcher;

// The number of connections to a searcher that an epoch assigns to a host. The shares of all hosts add up to at most the
// searcher's connection limit.
unsigned connectionShare(const SharesEpoch &epoch, const SharesHost &host, const Searcher &searcher);

// The number of connections that a host may use under a record: the share of the current epoch or, while the record is
// not settled, the minimum of the shares of the current and all earlier epochs.
unsigned usableShare(const SharesRecord &record, bool settled, const SharesHost &host, const Searcher &searcher);

// Whether another host is known to hold none of the connections that an epoch assigned to it: its process stopped, was
// replaced by a newer one, or is gone and no longer listed by the platform. A host that is only unreachable keeps its
// share.
bool holdsNothing(const ControlState &state, const SharesHost &holder);

// The hosts among which connections should be divided, according to this host's membership table.
std::vector<SharesHost> targetHosts(const ControlState &state);

// The record of a new epoch that divides connections among the hosts, with the earlier epochs that may still be in use.
SharesRecord nextRecord(const SharesRecord &record, bool settled, std::vector<SharesHost> hosts);
}
