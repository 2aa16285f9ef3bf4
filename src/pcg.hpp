// Permuted congruential generator (PCG-XSH-RR 64/32), the only source of randomness in decisions.
#pragma once

#include <cstdint>

namespace cometshift {

class Pcg {
  std::uint64_t state_;

 public:
  explicit Pcg(std::uint64_t seed) : state_(seed + 0x9e3779b97f4a7c15ULL) { next(); }

  std::uint32_t next() {
    const std::uint64_t old = state_;
    state_ = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto mixed = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto rotation = static_cast<std::uint32_t>(old >> 59);
    return (mixed >> rotation) | (mixed << ((32 - rotation) & 31));
  }

  template <class Serializer>
  void serialize(Serializer& serializer) {
    serializer(state_);
  }

  double unit() { return next() * 0x1p-32; } // 0 <= unit < 1
};

} // namespace cometshift
