#pragma once

#include "quetzallift/model/platform.h"

#include <string>

namespace Quetzallift
{
// Writes an object's value as the platform stores it.
std::string encodePlatformValue(const PlatformValue &value);

// Reads an object's value. The object's name determines its type ("rollout", "bundle/...", "approval/...", "claim/...").
// Throws Error that names the object and the invalid field.
PlatformValue decodePlatformValue(const std::string &object, const std::string &body);

// Reads the platform's host list.
HostListRecord decodeHostList(const std::string &body);
}
