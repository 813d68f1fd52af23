#pragma once

#include "quetzallift/model/burnrecord.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Quetzallift
{
// Writes a host's counts as the platform stores them.
nlohmann::json encodeBurn(const BurnRecord &record);

// Reads a host's counts. Throws Error that names the object and the field.
BurnRecord decodeBurn(const nlohmann::json &document, const std::string &object);
}
