#pragma once

#include "quetzallift/model/burnrecord.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Quetzallift
{
// Writes a host's burn record, its counts by service and time window, as the platform stores it.
nlohmann::json encodeBurn(const BurnRecord &record);

// Reads a host's burn record. Throws Error that names the object and the invalid field.
BurnRecord decodeBurn(const nlohmann::json &document, const std::string &object);
}
