#include "stand_ins/searcherfaults.h"

#include <nlohmann/json.hpp>

namespace StandIns
{
void SearcherFaults::update(const nlohmann::json &settings)
{
    silent = settings.value("silent", silent);
    cutFrom = settings.value("cut_from", cutFrom);
    loseReply = settings.value("lose_reply", loseReply);
    resetConnection = settings.value("reset_connection", resetConnection);
    wrongSnapshot = settings.value("wrong_snapshot", wrongSnapshot);
    crossed = settings.value("crossed", crossed);
    truncated = settings.value("truncated", truncated);
    cutBody = settings.value("cut_body", cutBody);
}
}
