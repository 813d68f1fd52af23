#pragma once

#include <cstddef>

namespace Quetzallift
{
// Limits the bytes of incomplete responses that all connections of a thread hold. Searchers that send without end, or send
// much and stop, must not fill the memory of a host, and must not fail the ordinary responses of others.
class ResponseBuffers
{
public:
    // An eighth of the memory of a small host, which has 160 MB.
    static constexpr std::size_t DefaultLimit = std::size_t{20} * 1024 * 1024;

    // The limit in bytes.
    explicit ResponseBuffers(std::size_t limit = DefaultLimit);

    // The bytes that one connection holds. They are released when the reservation is destroyed.
    class Reservation
    {
    public:
        explicit Reservation(ResponseBuffers &buffers);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        // Adds bytes. Returns false if the response must not grow further: it is larger than an ordinary one, and the limit
        // on all of them is reached.
        bool add(std::size_t bytes);

        void release();

    private:
        ResponseBuffers &m_buffers;
        std::size_t m_bytes = 0;
    };

private:
    std::size_t m_limit;
    std::size_t m_bytes = 0;
};
}
