#pragma once

#include "quetzallift/edge/httpclient.h"

#include <map>
#include <string>
#include <vector>

namespace Load
{
// The entry hosts of one caller: asks the system which to use and keeps the answer as long as it is told.
class AddressBook
{
public:
    AddressBook(Quetzallift::EventLoop &loop, Quetzallift::HttpClient &client, std::vector<std::string> seeds, std::string query);

    // Calls back once the first answer is there.
    void start(std::function<void()> ready);

    // The host for the given try of a query: the first in the answer's order, later tries the ones after it. Hosts whose
    // connections failed a moment ago come last.
    const std::string &host(unsigned tryNumber) const;
    std::size_t size() const;

    // Notes that a connection to a host failed.
    void noteFailure(const std::string &host);

private:
    void ask(std::size_t index);
    void take(const Quetzallift::HttpResult &result, std::size_t index);

    Quetzallift::EventLoop &m_loop;
    Quetzallift::HttpClient &m_client;
    std::vector<std::string> m_seeds;
    std::string m_query;
    std::function<void()> m_ready;
    std::vector<std::string> m_hosts;
    std::map<std::string, Quetzallift::TimePoint> m_failedAt;
};
}
