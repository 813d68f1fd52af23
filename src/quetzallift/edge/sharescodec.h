#pragma once

#include "quetzallift/model/sharesrecord.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Quetzallift
{
// Writes the object "shares".
nlohmann::json encodeShares(const SharesRecord &record);

// Reads the object "shares". Throws Error that names the source and the invalid field.
SharesRecord decodeShares(const nlohmann::json &document, const std::string &source);
}
