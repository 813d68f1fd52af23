#pragma once

#include "quetzallift/model/queryanswer.h"
#include "quetzallift/model/queryrequest.h"

#include <string>

namespace Quetzallift
{
// Reads the JSON body of a query. Throws Error that names the caller's address and the field.
QueryRequest decodeQuery(const std::string &body, const std::string &peer);

// Writes the JSON body of an answer.
std::string encodeAnswer(const QueryAnswer &answer);

// Writes an answer as its claim object records it. One that exceeds the platform's limit for a value is recorded without
// rows and says so.
std::string encodeRecordedAnswer(const QueryAnswer &answer);

// The HTTP status that goes with an answer.
unsigned httpStatusOf(const QueryAnswer &answer);
}
