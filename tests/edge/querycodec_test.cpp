#include "quetzallift/edge/querycodec.h"
#include "quetzallift/model/error.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
std::string errorOf(const std::string &body)
{
    try {
        decodeQuery(body, "10.0.0.1:5");
    } catch (const Error &error) {
        return error.what();
    }
    return {};
}
}

// Guards against a query that runs although a field is invalid, unknown or missing, or key and text are both given, and
// thus with another meaning than its caller intended.
Test(querycodec, errorsNameFieldValueAndAllowedValues)
{
    const std::string error = errorOf(R"({"request":"r","caller":"c","back_end":"b","key":"k","deadline_ms":0})");
    cr_assert(error.find("10.0.0.1:5") != std::string::npos);
    cr_assert(error.find("deadline_ms is 0; allowed: a number from 1 to 60000") != std::string::npos, "%s", error.c_str());
    cr_assert(errorOf(R"({"request":"r","caller":"c","back_end":"b","key":"k","depth":1})").find("depth is not a known field") != std::string::npos);
    cr_assert(errorOf(R"({"request":"r","caller":"c","back_end":"b"})").find("key is missing") != std::string::npos);
    cr_assert(errorOf(R"({"request":"r","caller":"c","back_end":"b","key":"k","text":"t"})").find("exactly one") != std::string::npos);
}

// Guards against a recorded answer that the platform rejects for its size, so that the outcome of a repeated request stays
// in doubt.
Test(querycodec, largeAnswerIsRecordedWithoutRows)
{
    QueryAnswer answer;
    answer.status = AnswerStatus::Whole;
    answer.execution = Execution::Ran;
    answer.rows.assign(2, Row{"key", "text"});
    cr_assert_eq(encodeRecordedAnswer(answer), encodeAnswer(answer));
    answer.rows.assign(20000, Row{"key", std::string(40, '"')});
    const std::string recorded = encodeRecordedAnswer(answer);
    cr_assert_lt(recorded.size(), 10000U);
    cr_assert(recorded.find("20000 rows are too large to be recorded") != std::string::npos);
}
