#pragma once

#include "quetzallift/report/burnreport.h"

#include <string>

namespace Quetzallift
{
// The report for a terminal.
std::string burnText(const BurnReport &report);

// The report for scripts.
std::string burnJson(const BurnReport &report);
}
