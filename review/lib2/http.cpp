#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace Review
{
namespace
{
sockaddr_in parse(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::word(std::size_t index) const
{
    std::istringstream words(startLine);
    std::string text;
    for (std::size_t at = 0; at <= index; ++at) {
        text.clear();
        words >> text;
    }
    return text;
}

int Message::status() const
{
    return std::atoi(word(1).c_str());
}

std::string Message::path() const
{
    const std::string target = word(1);
    return target.substr(0, target.find('?'));
}

std::string Message::argument(const std::string &name) const
{
    const std::string target = word(1);
    const std::size_t mark = target.find('?');
    std::istringstream pairs(mark == std::string::npos ? std::string() : target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

int listenOn(const std::string &address)
{
    const sockaddr_in place = parse(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    constexpr int Backlog = 256;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(handle, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) != 0 || listen(handle, Backlog) != 0) {
        std::perror(("cannot listen on " + address).c_str());
        std::_Exit(2);
    }
    return handle;
}

int connectTo(const std::string &address)
{
    const sockaddr_in place = parse(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(handle, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) != 0) {
        close(handle);
        return -1;
    }
    setNoDelay(handle);
    return handle;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

MessageReader::MessageReader(int socket)
    : m_socket(socket)
{
    setNoDelay(socket);
}

bool MessageReader::fill(int timeoutMs)
{
    pollfd waiting{m_socket, POLLIN, 0};
    if (poll(&waiting, 1, timeoutMs) <= 0) {
        return false;
    }
    char buffer[16384];
    const ssize_t size = recv(m_socket, buffer, sizeof(buffer), 0);
    if (size <= 0) {
        return false;
    }
    m_bytes.append(buffer, static_cast<std::size_t>(size));
    return true;
}

std::optional<Message> MessageReader::read(int timeoutMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    const auto left = [until] {
        const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
        return std::max(0, static_cast<int>(rest.count()));
    };
    std::size_t end = std::string::npos;
    while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(left())) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream lines(m_bytes.substr(0, end));
    std::string line;
    const auto next = [&lines, &line] {
        const bool read = static_cast<bool>(std::getline(lines, line));
        if (read && line.ends_with('\r')) {
            line.pop_back();
        }
        return read;
    };
    next();
    message.startLine = line;
    while (next()) {
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
    }
    m_bytes.erase(0, end + 4);
    const std::size_t length = static_cast<std::size_t>(std::atol(message.header("Content-Length").c_str()));
    while (m_bytes.size() < length) {
        if (!fill(left())) {
            return std::nullopt;
        }
    }
    message.body = m_bytes.substr(0, length);
    m_bytes.erase(0, length);
    return message;
}

std::string response(int status, const std::map<std::string, std::string> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> call(const std::string &address, const std::string &request, int timeoutMs)
{
    const int socket = connectTo(address);
    if (socket < 0) {
        return std::nullopt;
    }
    std::optional<Message> answer;
    if (sendAll(socket, request)) {
        answer = MessageReader(socket).read(timeoutMs);
    }
    close(socket);
    return answer;
}
}
