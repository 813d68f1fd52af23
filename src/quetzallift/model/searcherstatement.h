#pragma once

#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
// What a searcher states in a reply about the requests that it takes.
struct SearcherStatement {
    // The requests a second that it takes from all hosts together, if it limits them.
    std::optional<double> requestLimit = {};
    // How long it takes no request from this host, if it refused the request.
    std::optional<Duration> refusesFor = {};
    // True if it is leaving and must get no new requests.
    bool leaving = false;
};
}
