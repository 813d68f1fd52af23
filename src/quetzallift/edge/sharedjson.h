#pragma once

#include "quetzallift/model/step.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Quetzallift
{
// Parses a document to which several programs contribute, so that one program's invalid values do not make the others'
// unreadable: values that are nested too deeply, and numbers beyond the range of a double, become null; bytes that are not
// UTF-8 become U+FFFD. Throws Error as parseJson() does if the document is still not valid JSON.
nlohmann::json parseSharedJson(const std::string &text, Step step, const std::string &source);
}
