#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/searchertable.h"
#include "quetzallift/query/agedmean.h"
#include "quetzallift/routing/latencyaverage.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace Quetzallift
{
struct SearcherLoad;
using SearcherLoadPtr = boost::intrusive_ptr<SearcherLoad>;

// A request, or a part of one, that was sent to a searcher and has not ended.
struct ForwardAttempt {
    // Not safe_link, whose check ends a process that exits with attempts in flight.
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::normal_link>>;

    AttemptId id;
    QueryId request;
    std::size_t part = 0;
    SearcherLoadPtr searcher;
    // The name of the route.
    std::string route;
    TimePoint sentAt;
    // True once nobody waits for the reply. The connection is kept for a while, since a reply saves opening another.
    bool orphaned = false;
    Hook hook = {};
};

// A searcher as a traffic thread sees it through its own attempts.
struct SearcherLoad : boost::intrusive_ref_counter<SearcherLoad, boost::thread_unsafe_counter> {
    using Attempts = boost::intrusive::list<ForwardAttempt, boost::intrusive::member_hook<ForwardAttempt, ForwardAttempt::Hook, &ForwardAttempt::hook>>;

    SearcherEntry entry;
    // In the order in which they were sent; each occupies a connection.
    Attempts inFlight;
    LatencyAverage latency;
    TimePoint lastReplyAt;
    AgedMean<double> errors;
    unsigned failuresInARow = 0;
    // It gets work only if no other searcher is left until this time. Doubles with each rest in a row.
    TimePoint restsUntil;
    unsigned rests = 0;
    // True once another process was found at its address.
    bool displaced = false;
};
}
