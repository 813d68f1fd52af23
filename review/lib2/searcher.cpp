#include "searcher.h"

#include "record.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace Review
{
namespace
{
std::mutex arrivalsMutex;
std::vector<Arrival> allArrivals;
}

Searcher::Searcher(SearcherPlace place, int workMs, Interceptor interceptor)
    : m_place(std::move(place))
    , m_workMs(workMs)
    , m_interceptor(std::move(interceptor))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    const int listening = listenOn(m_place.address);
    std::thread([this, listening] {
        acceptAll(listening);
    }).detach();
}

const SearcherPlace &Searcher::place() const
{
    return m_place;
}

nlohmann::json Searcher::entry(const std::string &state) const
{
    return {{"service", m_place.service},
            {"address", m_place.address},
            {"zone", m_place.zone},
            {"version", "v1"},
            {"slots", 4},
            {"state", state},
            {"cold-remaining-ms", 0},
            {"sequence", 1},
            {"born", m_born}};
}

void Searcher::leave()
{
    m_leaving = true;
}

void Searcher::noteArrival(const Message &request, bool run)
{
    const std::string id = request.header("Request-Id");
    note("searcher " + m_place.id + " (" + m_place.service + "): " + request.word(0) + " " + request.word(1) + ", request " + id
         + (run ? ", runs" : ", not run"));
    const std::lock_guard lock(arrivalsMutex);
    allArrivals.push_back({id, m_place.id, m_place.service, nowMs(), run});
}

std::vector<Arrival> Searcher::arrivals()
{
    const std::lock_guard lock(arrivalsMutex);
    return allArrivals;
}

std::string Searcher::run(const Message &request)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(m_workMs));
    const std::string signature = m_place.id + "." + request.header("Request-Id") + "." + std::to_string(++m_answers);
    std::map<std::string, std::string> headers = {
        {"Request-Id", request.header("Request-Id")}, {"Server-Stamp", signature}, {"Content-Type", "application/octet-stream"}};
    if (m_leaving) {
        headers["Server-Leaving"] = "1";
    }
    return response(200, headers, "answer of " + m_place.service + " to " + request.header("Request-Id"));
}

void Searcher::acceptAll(int listening)
{
    while (true) {
        const int socket = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0) {
            std::thread([this, socket] {
                serve(socket);
            }).detach();
        }
    }
}

void Searcher::serve(int socket)
{
    MessageReader reader(socket);
    while (const auto request = reader.read()) {
        if (request->header("Expect-Instance") != m_place.id) {
            noteArrival(*request, false);
            sendAll(socket, response(421, {{"Instance-Id", m_place.id}, {"Request-Id", request->header("Request-Id")}}, {}));
            continue;
        }
        if (m_interceptor && m_interceptor(*this, socket, *request)) {
            continue;
        }
        noteArrival(*request, true);
        if (!sendAll(socket, run(*request))) {
            break;
        }
    }
    close(socket);
}
}
