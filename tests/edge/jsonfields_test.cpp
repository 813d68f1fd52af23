#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <string>

using namespace Quetzallift;

namespace
{
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

bool isAccepted(const std::string &text)
{
    try {
        parseJson(text, Step::Watch, "test");
        return true;
    } catch (const Error &) {
        return false;
    }
}
}

// Guards against a document whose nesting exhausts the stack, and against brackets in strings that count as nesting.
Test(jsonfields, onlyDeepDocumentsAreRejected)
{
    cr_assert(isAccepted(nested(32)));
    cr_assert_not(isAccepted(nested(40)));
    cr_assert_not(isAccepted(nested(100000)));
    cr_assert(isAccepted("{\"a\\\"" + nested(100) + "\":\"" + nested(100) + "\\\\\"}"));
}

// Guards against a field that was not read and is taken for a known one.
Test(jsonfields, fieldsThatWereNotReadAreUnknown)
{
    const nlohmann::json document = parseJson(R"({"a":1,"b":1})", Step::Watch, "test");
    JsonFields fields(document, Step::Settings, "test");
    fields.integer("a", 0, 9);
    fields.integer("c", 0, 9, 0);
    try {
        fields.rejectUnknown();
        cr_assert_fail("b was not read");
    } catch (const Error &error) {
        cr_assert(std::string(error.what()).find("b is not a known field") != std::string::npos, "%s", error.what());
    }
}
