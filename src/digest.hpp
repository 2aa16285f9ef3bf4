// A keyed hash of 128 bits, by which bodies are told apart: with a key that nobody outside knows, nobody can
// make two that are taken for one. Source: SipHash-2-4 with 128 bits of output (libsodium's siphashx24).
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace cometshift {

class Hasher {
  std::array<unsigned char, 16> key_{};

 public:
  Hasher(); // with a key of the system's chance: it decides nothing but what is equal
  std::pair<std::uint64_t, std::uint64_t> operator()(std::string_view bytes) const;
};

// Names that nobody can take back, the same for the same word: HMAC-SHA-256 (libsodium), cut to 128 bits, in
// hex.
class Pseudonymizer {
  std::array<unsigned char, 32> key_{};

 public:
  Pseudonymizer(); // with a key of the system's chance, forgotten with the object
  std::string operator()(std::string_view name) const;
};

} // namespace cometshift
