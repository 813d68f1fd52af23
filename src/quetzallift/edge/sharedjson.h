#pragma once

#include "quetzallift/model/step.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Quetzallift
{
// Parses a document to which several programs contribute, so that one program's invalid values do not make the others'
// unreadable: values that are nested too deeply, numbers beyond the range of a double and words that JSON does not have become
// null; strings with invalid escapes or control characters become empty; bytes that are not UTF-8 become U+FFFD. Throws Error as parseJson() does if the
// document is still not valid JSON.
nlohmann::json parseSharedJson(const std::string &text, Step step, const std::string &source);
}
