#include "quetzallift/edge/httperror.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
std::string encodeHttpError(Step step, const std::string &peer, const std::string &message)
{
    const nlohmann::json document = {
        {"error", message},
        {"step", toString(step)},
        {"peer", peer},
        {"execution", "not_run"},
    };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}
}
