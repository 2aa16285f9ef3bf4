#include "digest.hpp"

#include <cstring>
#include <sodium.h>

namespace cometshift {

static_assert(crypto_shorthash_siphashx24_BYTES == 16 && crypto_shorthash_siphashx24_KEYBYTES == 16);

Hasher::Hasher() { randombytes_buf(key_.data(), key_.size()); }

std::pair<std::uint64_t, std::uint64_t> Hasher::operator()(std::string_view bytes) const {
  std::array<unsigned char, 16> out;
  crypto_shorthash_siphashx24(out.data(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                              key_.data());
  std::pair<std::uint64_t, std::uint64_t> hash;
  std::memcpy(&hash.first, out.data(), sizeof hash.first);
  std::memcpy(&hash.second, out.data() + sizeof hash.first, sizeof hash.second);
  return hash;
}

struct Pseudonymizer::KeyedState {
  crypto_auth_hmacsha256_state state;
};

Pseudonymizer::Pseudonymizer() : keyed_(std::make_unique<KeyedState>()) {
  std::array<unsigned char, crypto_auth_hmacsha256_KEYBYTES> key;
  randombytes_buf(key.data(), key.size());
  crypto_auth_hmacsha256_init(&keyed_->state, key.data(), key.size());
  sodium_memzero(key.data(), key.size());
}
Pseudonymizer::~Pseudonymizer() { sodium_memzero(keyed_.get(), sizeof *keyed_); }

std::string Pseudonymizer::operator()(std::string_view name) const {
  constexpr std::size_t digest_bytes = 16;
  crypto_auth_hmacsha256_state state = keyed_->state;
  crypto_auth_hmacsha256_update(&state, reinterpret_cast<const unsigned char*>(name.data()), name.size());
  std::array<unsigned char, crypto_auth_hmacsha256_BYTES> out;
  crypto_auth_hmacsha256_final(&state, out.data());
  std::array<char, 2 * digest_bytes + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), out.data(), digest_bytes);
  return std::string(hex.data(), 2 * digest_bytes);
}

} // namespace cometshift
