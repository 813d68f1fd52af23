#include "client.h"

#include "record.h"

#include <set>

namespace Review
{
namespace
{
constexpr const char *HostName = "pupu76.example";
}

Sent ask(const std::string &front, const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + std::string(HostName) + "\r\nRequest-Id: " + id
                       + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\nConnection: close\r\n";
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    Sent sent;
    sent.request = id;
    sent.sentAtMs = nowMs();
    note("client: " + method + " " + path + " to " + front + ", request " + id);
    sent.answer = call(front, text + "\r\n" + body, deadlineMs + 1000);
    note("client: request " + id + " -> "
         + (sent.answer ? sent.answer->word(1) + ", stamp \"" + sent.answer->header("Server-Stamp") + "\", body \"" + sent.answer->body + "\""
                        : std::string("no answer")));
    return sent;
}

nlohmann::json configuration(unsigned version, const std::vector<PlainRoute> &routes, unsigned connectionLimit)
{
    nlohmann::json document = {{"version", version}, {"routes", nlohmann::json::array()}, {"services", nlohmann::json::array()}};
    std::set<std::string> services;
    for (const PlainRoute &route : routes) {
        document["routes"].push_back({{"name", route.name},
                                      {"hostname", HostName},
                                      {"path-prefix", route.prefix},
                                      {"route-type", route.idempotent ? "idempotent" : "non_idempotent"},
                                      {"timeout-ms", route.timeoutMs},
                                      {"target-latency-ms", route.targetMs},
                                      {"priority", 2},
                                      {"service", route.service},
                                      {"max-attempts", route.attempts}});
        services.insert(route.service);
    }
    for (const std::string &service : services) {
        document["services"].push_back(
            {{"name", service}, {"health-check-path", "/health"}, {"connection-limit", connectionLimit}, {"protocol", "h1"}, {"tls", false}});
    }
    document["limits"] = {{"header-bytes", 16384}, {"body-bytes", 262144}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}};
    return document;
}
}
