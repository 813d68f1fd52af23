#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/searchertable.h"
#include "quetzallift/query/agedmean.h"
#include "quetzallift/routing/latencyaverage.h"
#include "quetzallift/routing/requestpace.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <optional>

namespace Quetzallift
{
struct SearcherLoad;
using SearcherLoadPtr = boost::intrusive_ptr<SearcherLoad>;

// A request, or a part of a request, that was sent to a searcher and has not ended.
struct ForwardAttempt {
    // Not safe_link, whose assertion aborts a process that exits with attempts in flight.
    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::normal_link>>;

    AttemptId id;
    QueryId request;
    std::size_t part = 0;
    SearcherLoadPtr searcher;
    std::string route;
    TimePoint sentAt;
    // True once the reply is no longer needed. The connection is kept for a limited time, since a reply saves opening
    // another one.
    bool orphaned = false;
    Hook hook = {};
};

// A traffic thread's view of a searcher, from the thread's own attempts.
struct SearcherLoad : boost::intrusive_ref_counter<SearcherLoad, boost::thread_unsafe_counter> {
    using Attempts = boost::intrusive::list<ForwardAttempt, boost::intrusive::member_hook<ForwardAttempt, ForwardAttempt::Hook, &ForwardAttempt::hook>>;

    SearcherEntry entry;
    // In the order of sending; each attempt occupies a connection.
    Attempts inFlight;
    LatencyAverage latency;
    TimePoint lastReplyAt;
    AgedMean<double> errors;
    unsigned consecutiveFailures = 0;
    // Until this time the searcher gets requests only if no other searcher is available.
    TimePoint ejectedUntil;
    // Ejections since the last success. The ejection time doubles with each of them up to a maximum.
    unsigned consecutiveEjections = 0;
    // True once a process at the address replied that it is not this searcher.
    bool addressReused = false;
    // True once the searcher stated that it is leaving.
    bool leaving = false;
    // Until this time the searcher takes no request from this host. It is `returning` from its refusal until its next success.
    TimePoint refusesUntil;
    bool returning = false;
    // Set while the searcher limits its requests.
    std::optional<RequestPace> pace;
};
}
