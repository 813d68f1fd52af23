#include "quetzallift/edge/addresscodec.h"

#include "quetzallift/control/addresses.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
std::string encodeAddresses(const ControlSnapshot &control, const std::string &dataCentre, const std::string &caller)
{
    nlohmann::json document = {
        {"version", control.addressesVersion},
        {"keep_ms", std::chrono::ceil<std::chrono::milliseconds>(control.addressesTtl).count()},
        {"hosts", nlohmann::json::array()},
    };
    for (const HostAddress &host : addressesFor(control, dataCentre, caller)) {
        document["hosts"].push_back({{"name", host.name}, {"address", host.address}, {"data_centre", host.dataCentre}});
    }
    return document.dump();
}
}
