// What the code of a thread takes from the heap: this program's own operator new counts it. By thread.
#pragma once

#include <cstdint>

namespace cometshift::scale {

struct Allocations {
  std::uint64_t times = 0, bytes = 0; // as asked for
};
extern thread_local Allocations allocated; // so far

// Where what is taken and given back is booked as the allocator rounds it, if anywhere.
extern thread_local std::int64_t* account;

} // namespace cometshift::scale
