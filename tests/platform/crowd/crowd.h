#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Crowd
{
// Connections of clients to one address, which send what they are given and read nothing. They stay open until the object is
// destroyed.
class Connections
{
public:
    // Returns the bytes of one connection.
    using Content = std::function<std::string(std::size_t connection)>;

    // Opens the connections one after the other. One that is not accepted by the kernel is left out.
    Connections(const std::string &address, std::size_t count);
    ~Connections();
    Connections(const Connections &) = delete;
    Connections &operator=(const Connections &) = delete;

    // Sends the content on all connections at once, in pieces of at most the given size. Returns when all is sent, refused by
    // a closed connection, or left unread by the host for a while.
    void send(const Content &content, std::size_t pieceSize);

    // Sends the same bytes on each connection again and again until each has taken the given number of bytes.
    void repeat(const std::string &bytes, std::size_t total);

    // Closes the sending side of all connections, and reads them to their ends.
    void finish();

    // Resets all connections.
    void reset();

private:
    struct Client {
        int socket = -1;
        std::string pending;
        std::size_t sent = 0;
        // Bytes that are sent by repeating `pending`.
        std::size_t remaining = 0;
    };

    void sendPieces(std::size_t pieceSize);
    // Sends a piece. Returns whether any byte was taken.
    static bool sendPiece(Client &client, std::size_t pieceSize);
    static void close(Client &client);

    std::vector<Client> m_clients;
};
}
