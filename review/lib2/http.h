#pragma once

#include <map>
#include <optional>
#include <string>

// Blocking HTTP/1.1 over loopback sockets, as far as the stand-ins of the review need it.
namespace Review
{
struct Message {
    // The request line or the status line.
    std::string startLine;
    // Names in lower case; of a repeated header the last one.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    // The words of the start line: of a request, the method and the target.
    std::string word(std::size_t index) const;
    int status() const;
    // The value of an argument in the query of a request's target.
    std::string argument(const std::string &name) const;
    std::string path() const;
};

// Opens a listening socket at IP:PORT. Ends the program if that is impossible.
int listenOn(const std::string &address);

// Returns a connected socket, or -1.
int connectTo(const std::string &address);

bool sendAll(int socket, const std::string &bytes);

// Reads messages from a socket one after the other.
class MessageReader
{
public:
    explicit MessageReader(int socket);

    // Empty if the connection ended, or if nothing complete arrived within the time.
    std::optional<Message> read(int timeoutMs = 60000);

private:
    bool fill(int timeoutMs);

    int m_socket;
    std::string m_bytes;
};

std::string response(int status, const std::map<std::string, std::string> &headers, const std::string &body);

// Sends a request on a connection of its own and returns the answer.
std::optional<Message> call(const std::string &address, const std::string &request, int timeoutMs = 10000);
}
