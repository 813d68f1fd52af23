#pragma once

#include <netinet/in.h>

#include <string>

namespace Quetzallift
{
// Reads "ip:port". Throws Error if the text is not an IPv4 address with a port.
sockaddr_in parseAddress(const std::string &text);

// An IPv4 socket address as "ip:port"; empty for other families.
std::string formatAddress(const sockaddr &address);
}
