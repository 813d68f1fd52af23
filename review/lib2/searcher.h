#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Review
{
struct SearcherPlace {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
};

// A request that a searcher received.
struct Arrival {
    std::string request;
    std::string searcher;
    std::string service;
    long atMs = 0;
    // False if the searcher turned it away and said so.
    bool run = false;
};

// A searcher that answers each request after its work, one request at a time on a connection. Its answers bear its signature.
class Searcher
{
public:
    // Called for a request that names this searcher, before it runs. Returns true if it has answered the request itself.
    using Interceptor = std::function<bool(Searcher &, int socket, const Message &)>;

    Searcher(SearcherPlace place, int workMs, Interceptor interceptor = {});
    Searcher(const Searcher &) = delete;
    Searcher &operator=(const Searcher &) = delete;

    const SearcherPlace &place() const;
    // What the searcher writes to the store about itself.
    nlohmann::json entry(const std::string &state) const;
    // From now on its answers say that it leaves.
    void leave();
    void noteArrival(const Message &request, bool run);
    // Works on a request, and returns the answer to it.
    std::string run(const Message &request);

    static std::vector<Arrival> arrivals();

private:
    void acceptAll(int listening);
    void serve(int socket);

    SearcherPlace m_place;
    int m_workMs;
    Interceptor m_interceptor;
    std::int64_t m_born;
    std::atomic<bool> m_leaving = false;
    std::atomic<std::uint64_t> m_answers = 0;
};
}
