// Times and ids. Times are whole nanoseconds of the caller's clock. Every kind of id is a type of its own, so
// that one can't be passed in place of another.
#pragma once

#include <compare>
#include <cstdint>

namespace cometshift {

using Nanos = std::int64_t;

// Strongly typed id.
template <class Tag, class Raw>
struct Id {
  Raw raw{};
  constexpr auto operator<=>(const Id&) const = default;
};

using OpId = Id<struct OpIdTag, std::uint64_t>;         // 0: no op
using OpTypeId = Id<struct OpTypeIdTag, std::uint32_t>; // index into the op types
using TenantId = Id<struct TenantIdTag, std::uint32_t>; // index into the tenants
using CallerId = Id<struct CallerIdTag, std::uint64_t>;
using KeyId = Id<struct KeyIdTag, std::int64_t>; // -1: no key
using WakeId = Id<struct WakeIdTag, std::uint64_t>;
using ConnectionId = Id<struct ConnectionIdTag, std::uint64_t>; // of a caller's connection; never reused
using StreamId = Id<struct StreamIdTag, std::uint32_t>;         // of an op within its connection

constexpr OpId no_op_id{0};
constexpr KeyId no_key_id{-1};

} // namespace cometshift
