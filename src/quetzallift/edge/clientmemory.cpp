#include "quetzallift/edge/clientmemory.h"

#include <algorithm>
#include <utility>

namespace Quetzallift
{
namespace
{
// Most requests have no body and a few hundred bytes of headers.
constexpr std::size_t OrdinaryBytes = std::size_t{16} * 1024;
// The part of the limit that is kept for ordinary requests is the limit divided by this.
constexpr std::size_t ReserveDivisor = 4;
}

// A charge that lasts as long as any value refers to it.
struct ClientMemory::SharedCharge : Lifetime {
    explicit SharedCharge(const ClientMemoryPtr &memory)
        : charge(memory)
    { }

    Charge charge;
};

ClientMemory::ClientMemory(std::size_t limit)
    : m_limit(limit)
{ }

std::size_t ClientMemory::bytes() const
{
    return m_bytes;
}

std::size_t ClientMemory::limitFor(std::size_t bytes) const
{
    return bytes <= OrdinaryBytes ? m_limit : m_limit - m_limit / ReserveDivisor;
}

bool ClientMemory::reclaimFirst(Charges &charges, const Charge &asking)
{
    if (m_reclaiming || charges.empty() || &charges.front() == &asking) {
        return false;
    }
    Charge &first = charges.front();
    const std::function<void()> reclaim = std::exchange(first.m_reclaim, nullptr);
    first.m_hook.unlink();
    m_reclaiming = true;
    reclaim();
    m_reclaiming = false;
    return true;
}

bool ClientMemory::reclaimFor(const Charge &asking, std::size_t bytes)
{
    // An ordinary request is not given up for a large one.
    return reclaimFirst(m_large, asking) || (bytes <= OrdinaryBytes && reclaimFirst(m_ordinary, asking));
}

ClientMemory::Charge::Charge(RefPtr<ClientMemory> memory)
    : m_memory(std::move(memory))
{ }

ClientMemory::Charge::~Charge()
{
    set(0);
}

bool ClientMemory::Charge::resize(std::size_t bytes)
{
    while (bytes > m_bytes && m_memory->m_bytes - m_bytes + bytes > m_memory->limitFor(bytes)) {
        if (!m_memory->reclaimFor(*this, bytes)) {
            return false;
        }
    }
    set(bytes);
    return true;
}

LifetimePtr ClientMemory::Charge::split(std::size_t bytes)
{
    const RefPtr<SharedCharge> part(new SharedCharge(m_memory));
    const std::size_t moved = std::min(bytes, m_bytes);
    set(m_bytes - moved);
    part->charge.set(moved);
    return part;
}

void ClientMemory::Charge::setReclaim(std::function<void()> reclaim)
{
    m_hook.unlink();
    m_reclaim = std::move(reclaim);
    if (m_reclaim) {
        (m_bytes > OrdinaryBytes ? m_memory->m_large : m_memory->m_ordinary).push_back(*this);
    }
}

std::size_t ClientMemory::Charge::bytes() const
{
    return m_bytes;
}

void ClientMemory::Charge::set(std::size_t bytes)
{
    const bool wasLarge = m_bytes > OrdinaryBytes;
    m_memory->m_bytes = m_memory->m_bytes - m_bytes + bytes;
    m_bytes = bytes;
    if (m_reclaim && !wasLarge && bytes > OrdinaryBytes) {
        m_hook.unlink();
        m_memory->m_large.push_back(*this);
    }
}
}
