#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace Quetzallift
{
// Base of immutable values that several threads share. The reference count is stored in the object.
template<typename Derived>
using RefCounted = boost::intrusive_ref_counter<Derived, boost::thread_safe_counter>;

template<typename T>
using RefPtr = boost::intrusive_ptr<T>;

// Something that lasts as long as the values that refer to it.
struct Lifetime : RefCounted<Lifetime> {
    virtual ~Lifetime() = default;
};

using LifetimePtr = RefPtr<const Lifetime>;
}
