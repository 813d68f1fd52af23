#pragma once

#include <compare>
#include <string>

namespace Quetzallift
{
// One result of a query.
struct Row {
    std::string key;
    std::string text;

    auto operator<=>(const Row &) const = default;
};
}
