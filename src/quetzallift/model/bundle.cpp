#include "quetzallift/model/bundle.h"

#include <algorithm>

namespace Quetzallift
{
bool CallerPolicy::mayQuery(const std::string &backEnd) const
{
    return backEnds.empty() || std::find(backEnds.begin(), backEnds.end(), backEnd) != backEnds.end();
}

const BackEnd *Bundle::backEnd(const std::string &name) const
{
    const auto found = backEnds.find(name);
    return found == backEnds.end() ? nullptr : &found->second;
}

const CallerPolicy *Bundle::caller(const std::string &name) const
{
    const auto found = callers.find(name);
    return found == callers.end() ? nullptr : &found->second;
}
}
