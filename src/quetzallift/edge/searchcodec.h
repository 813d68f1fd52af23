#pragma once

#include "quetzallift/model/subrequest.h"

#include <string>

namespace Quetzallift
{
// Writes the JSON body of a sub-request. The deadline is written as the time that is left at `now`.
std::string encodeSubRequest(const SubRequest &request, AttemptId attempt, TimePoint now);

// Reads the JSON body of a searcher's reply. Throws Error that names the searcher and the invalid field.
SubReply decodeSubReply(const std::string &body, const std::string &searcher);

// True if the body of a health response says that the searcher accepts sub-requests.
bool decodeHealth(const std::string &body);
}
