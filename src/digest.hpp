// Keyed hashes. `Hasher` distinguishes bodies by 128-bit hashes (SipHash-2-4 with 128 bits of output,
// libsodium's siphashx24): without the secret key nobody can construct two bodies with the same hash.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cometshift {

// 128-bit keyed hash of a body.
class Hasher {
  std::array<unsigned char, 16> key_{};

 public:
  Hasher(); // with a random key, which affects only which bodies are equal
  std::pair<std::uint64_t, std::uint64_t> operator()(std::string_view bytes) const;
};

// Irreversible pseudonyms, the same for the same name: HMAC-SHA-256 (libsodium), truncated to 128 bits, in
// hex.
class Pseudonymizer {
  struct KeyedState; // of the hash after the key, which is the same for every name
  std::unique_ptr<KeyedState> keyed_;

 public:
  Pseudonymizer(); // with a random key that is discarded with the object
  ~Pseudonymizer();
  std::string operator()(std::string_view name) const;
};

} // namespace cometshift
