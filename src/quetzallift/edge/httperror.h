#pragma once

#include "quetzallift/model/step.h"

#include <string>

namespace Quetzallift
{
// The JSON body of an error response.
std::string encodeHttpError(Step step, const std::string &peer, const std::string &message);
}
