#include "quetzallift/edge/socketaddress.h"

#include "quetzallift/model/error.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstring>

namespace Quetzallift
{
sockaddr_in parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const bool hasPort = colon != std::string::npos && std::from_chars(text.data() + colon + 1, end, port).ptr == end && port >= 1 && port <= UINT16_MAX;
    if (!hasPort || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw Error(Step::Settings, text, "not an IPv4 address of the form IP:PORT with a port from 1 to 65535");
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

std::string formatAddress(const sockaddr &address)
{
    if (address.sa_family != AF_INET) {
        return {};
    }
    sockaddr_in inet{};
    std::memcpy(&inet, &address, sizeof inet);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &inet.sin_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(inet.sin_port));
}
}
