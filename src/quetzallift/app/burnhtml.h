#pragma once

#include "quetzallift/report/burnreport.h"

#include <string>

namespace Quetzallift
{
// The report as one self-contained HTML page with charts.
std::string burnHtml(const BurnReport &report);
}
