#pragma once

namespace Quetzallift
{
constexpr const char *Version = "0.1.0";
}
