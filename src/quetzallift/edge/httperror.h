#pragma once

#include "quetzallift/model/step.h"

#include <string>

namespace Quetzallift
{
// Writes the JSON body of an error response to a request that did not run.
std::string encodeHttpError(Step step, const std::string &peer, const std::string &message);
}
