#include "quetzallift/edge/addresscodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Quetzallift
{
std::string encodeAddresses(const ControlSnapshot &control, const std::string &dataCentre)
{
    std::vector<HostAddress> hosts = control.addresses;
    std::stable_partition(hosts.begin(), hosts.end(), [&](const HostAddress &host) {
        return host.dataCentre == dataCentre;
    });
    nlohmann::json document = {
        {"version", control.addressesVersion},
        {"keep_ms", std::chrono::ceil<std::chrono::milliseconds>(control.addressesKeepFor).count()},
        {"hosts", nlohmann::json::array()},
    };
    for (const HostAddress &host : hosts) {
        document["hosts"].push_back({{"name", host.name}, {"address", host.address}, {"data_centre", host.dataCentre}});
    }
    return document.dump();
}
}
