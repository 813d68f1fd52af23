#pragma once

#include "quetzallift/model/queryanswer.h"
#include "quetzallift/model/queryrequest.h"

#include <string>

namespace Quetzallift
{
// Reads the JSON body of a query. Throws Error that names the caller's address and the invalid field.
QueryRequest decodeQuery(const std::string &body, const std::string &peer);

// Writes the JSON body of an answer.
std::string encodeAnswer(const QueryAnswer &answer);

// Writes an answer for storage in its claim object. An answer that exceeds the platform's size limit for a value is
// stored without its rows, with rows_limited set and an error that gives the number of rows.
std::string encodeRecordedAnswer(const QueryAnswer &answer);

// The HTTP status of an answer.
unsigned httpStatusOf(const QueryAnswer &answer);
}
