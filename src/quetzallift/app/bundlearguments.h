#pragma once

#include "quetzallift/app/operatorplatform.h"
#include "quetzallift/model/bundle.h"

#include <cstdlib>
#include <memory>
#include <string>

namespace Quetzallift
{
// A text that popt allocated, owned.
using OptionText = std::unique_ptr<char, decltype(&std::free)>;

// The value of an option that must be given. Throws Error that names the command and the option.
std::string requiredOption(const char *value, const std::string &command, const std::string &option);

// Reads a bundle from a file with comments. Throws Error that names the file, the path, the value and what is allowed.
BundlePtr readBundleFile(const std::string &file);

// Reads the bundle of a digest, and verifies that its content has that digest. Throws Error if there is none.
BundlePtr readStoredBundle(const OperatorPlatform &platform, const std::string &digest, Step step);

// The time of a rollout in UTC, in the form of RFC 3339 without fractions.
std::string utcText(WallTime time);
}
