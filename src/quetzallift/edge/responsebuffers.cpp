#include "quetzallift/edge/responsebuffers.h"

namespace Quetzallift
{
namespace
{
// The part of a scattered request has a few kilobytes.
constexpr std::size_t OrdinaryBytes = std::size_t{64} * 1024;
}

ResponseBuffers::ResponseBuffers(std::size_t limit)
    : m_limit(limit)
{ }

ResponseBuffers::Reservation::Reservation(ResponseBuffers &buffers)
    : m_buffers(buffers)
{ }

ResponseBuffers::Reservation::~Reservation()
{
    release();
}

bool ResponseBuffers::Reservation::add(std::size_t bytes)
{
    m_bytes += bytes;
    m_buffers.m_bytes += bytes;
    return m_bytes <= OrdinaryBytes || m_buffers.m_bytes <= m_buffers.m_limit;
}

void ResponseBuffers::Reservation::release()
{
    m_buffers.m_bytes -= m_bytes;
    m_bytes = 0;
}
}
