#pragma once

#include "quetzallift/edge/responsereader.h"

#include <string>

namespace Soak
{
class Configurations;
class RequestLedger;
struct SentRequest;

// Checks a whole response to a request against what searchers ran, and notes broken promises in the ledger. Returns true if
// the request was served.
bool checkAnswer(RequestLedger &ledger, const Configurations &configurations, const SentRequest &request, const Quetzallift::UpstreamResponse &response);

// True for the statuses by which a client knows that its request has not run.
bool promisesNotRun(unsigned status);
}
