#include "allocations.hpp"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace cometshift::scale {

thread_local Allocations allocated;
thread_local std::int64_t* account = nullptr;

} // namespace cometshift::scale

using namespace cometshift::scale;

void* operator new(std::size_t size) {
  ++allocated.times;
  allocated.bytes += size;
  void* const got = std::malloc(size > 0 ? size : 1);
  if (!got) throw std::bad_alloc();
  if (account) *account += static_cast<std::int64_t>(malloc_usable_size(got));
  return got;
}
void operator delete(void* what) noexcept {
  if (account && what) *account -= static_cast<std::int64_t>(malloc_usable_size(what));
  std::free(what);
}
void operator delete(void* what, std::size_t) noexcept { operator delete(what); }
