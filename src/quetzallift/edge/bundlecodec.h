#pragma once

#include "quetzallift/model/bundle.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace Quetzallift
{
// Reads a bundle's content and sets its digest. Throws Error that names the source and the invalid field.
BundlePtr decodeBundle(const nlohmann::json &content, const std::string &source);

// The digest that identifies a bundle: BLAKE2b-256 over its content in canonical form, in hexadecimal.
std::string digestOf(const nlohmann::json &content);
}
