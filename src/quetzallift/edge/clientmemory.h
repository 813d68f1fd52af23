#pragma once

#include "quetzallift/model/refcounted.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <functional>

namespace Quetzallift
{
// Limits the bytes that all connections of clients of a thread hold: requests that are received or running, and answers that
// are not sent yet. Clients that hold much and do not move must neither fill the memory of a host nor keep others out: the
// memory for a new request is taken from the one that began first. Used on one thread only.
class ClientMemory : public RefCounted<ClientMemory>
{
public:
    // The bytes of one connection, or of a request that it has passed on. They are released when the charge is destroyed.
    class Charge
    {
    public:
        explicit Charge(RefPtr<ClientMemory> memory);
        ~Charge();
        Charge(const Charge &) = delete;
        Charge &operator=(const Charge &) = delete;

        // Changes the number of bytes. If the limit is reached, the holders of others are asked to release theirs. Returns
        // false, and keeps the number as it was, if that is not enough.
        bool resize(std::size_t bytes);

        // Passes a part of the bytes on. They stay charged until the last reference is gone, and cannot be reclaimed.
        LifetimePtr split(std::size_t bytes);

        // Sets the function that releases the bytes if others need them. An empty one protects them. The time at which it is
        // set decides who is asked first.
        void setReclaim(std::function<void()> reclaim);

        std::size_t bytes() const;

    private:
        friend class ClientMemory;

        void set(std::size_t bytes);

        using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

        RefPtr<ClientMemory> m_memory;
        std::size_t m_bytes = 0;
        std::function<void()> m_reclaim;
        Hook m_hook;
    };

    // The limit in bytes.
    explicit ClientMemory(std::size_t limit);
    ClientMemory(const ClientMemory &) = delete;
    ClientMemory &operator=(const ClientMemory &) = delete;

    std::size_t bytes() const;

private:
    struct SharedCharge;
    using Charges =
        boost::intrusive::list<Charge, boost::intrusive::member_hook<Charge, Charge::Hook, &Charge::m_hook>, boost::intrusive::constant_time_size<false>>;

    // The bytes that all charges may reach if one of them grows to this size.
    std::size_t limitFor(std::size_t bytes) const;
    // Asks the first holder of a list to release its bytes. Returns false if there is none, or if it is the one that asks.
    bool reclaimFirst(Charges &charges, const Charge &asking);
    bool reclaimFor(const Charge &asking, std::size_t bytes);

    std::size_t m_limit;
    std::size_t m_bytes = 0;
    // True while a holder releases its bytes. It cannot take any from others meanwhile.
    bool m_reclaiming = false;
    // The charges that can be reclaimed, the oldest first: those of ordinary requests, and larger ones.
    Charges m_ordinary;
    Charges m_large;
};

using ClientMemoryPtr = RefPtr<ClientMemory>;
}
