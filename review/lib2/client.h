#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Review
{
struct Sent {
    std::string request;
    long sentAtMs = 0;
    std::optional<Message> answer;
};

// Sends one request on a new connection, waits for the answer, and records both. The id must be unique.
Sent ask(const std::string &front, const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body = {});

// A route to one service.
struct PlainRoute {
    std::string name;
    std::string prefix;
    std::string service;
    bool idempotent = true;
    int timeoutMs = 3000;
    int targetMs = 300;
    int attempts = 2;
};

// The document as the operator writes it to the store. All services have the given limit of connections to a searcher.
nlohmann::json configuration(unsigned version, const std::vector<PlainRoute> &routes, unsigned connectionLimit = 100);
}
