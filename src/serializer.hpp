// Binary serialization for the snapshots from which a recording can be replayed. A class lists its members in
// `serialize(serializer)`, which serves both a Writer and a Reader.
//
// Integers are zigzag varints, floating-point numbers their eight bytes; texts and lists are preceded by
// their length. Errors: a Reader throws std::invalid_argument for truncated or invalid bytes.
#pragma once

#include "ids.hpp"

#include <array>
#include <bit>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace cometshift {

template <class T>
struct IsId : std::false_type {};
template <class Tag, class Raw>
struct IsId<Id<Tag, Raw>> : std::true_type {};

// Common base of Writer and Reader: dispatches on the type of a value.
template <class Self>
class Serializer {
  Self& self() { return static_cast<Self&>(*this); }

 public:
  template <class T>
  void operator()(T& value) {
    if constexpr (IsId<T>::value)
      (*this)(value.raw);
    else if constexpr (std::is_enum_v<T>)
      self().enumerated(value);
    else if constexpr (std::is_floating_point_v<T>)
      self().fraction(value);
    else if constexpr (std::is_integral_v<T>)
      self().whole(value);
    else
      value.serialize(self());
  }
  void operator()(std::string& bytes) { self().bytes(bytes); }
  template <class T, std::size_t N>
  void operator()(std::array<T, N>& all) {
    for (T& item : all) (*this)(item);
  }
  template <class A, class B>
  void operator()(std::pair<A, B>& both) {
    (*this)(both.first);
    (*this)(both.second);
  }
  template <class T>
  void operator()(std::vector<T>& all) {
    self().list(all);
  }
  template <class T>
  void operator()(std::optional<T>& item) {
    bool present = item.has_value();
    (*this)(present);
    if (present && !item) item.emplace();
    if (!present) item.reset();
    if (present) (*this)(*item);
  }
  template <class K, class V, class Order>
  void operator()(std::map<K, V, Order>& all) {
    self().table(all);
  }
  template <class T>
  void operator()(std::set<T>& all) {
    std::vector<T> listed(all.begin(), all.end());
    self().list(listed);
    all = std::set<T>(listed.begin(), listed.end());
  }
  template <class A, class B, class... More>
  void operator()(A& a, B& b, More&... more) {
    (*this)(a);
    (*this)(b, more...);
  }
};

// Appends values to a string.
class Writer : public Serializer<Writer> {
  std::string& out_;
  std::function<std::string(std::string_view)> conceal_, token_;

 public:
  static constexpr bool reads = false;
  // `conceal`, if set, returns what is written in place of a key or subject; `token`, what is written in
  // place of contents.
  explicit Writer(std::string& out, std::function<std::string(std::string_view)> conceal = {},
                  std::function<std::string(std::string_view)> token = {})
      : out_(out), conceal_(std::move(conceal)), token_(std::move(token)) {}

  void varint(std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) out_ += static_cast<char>(value | 0x80);
    out_ += static_cast<char>(value);
  }
  template <class T>
  void whole(T value) {
    const auto wide = static_cast<std::int64_t>(value);
    varint(static_cast<std::uint64_t>(wide) << 1 ^ static_cast<std::uint64_t>(wide >> 63));
  }
  template <class T>
  void enumerated(T value) {
    whole(static_cast<int>(value));
  }
  void fraction(double value) {
    const auto raw = std::bit_cast<std::array<char, sizeof value>>(value);
    out_.append(raw.data(), raw.size());
  }
  void bytes(const std::string& text) {
    varint(text.size());
    out_ += text;
  }
  // Writes contents, or what `token` makes of them if it is set.
  template <class Size>
  void content(std::string& text, Size& size) {
    whole(size);
    bytes(token_ && size > 0 ? token_(text) : text);
  }
  void word(std::string& text) { bytes(conceal_ && !text.empty() ? conceal_(text) : text); }
  template <class T>
  void list(std::vector<T>& all) {
    varint(all.size());
    for (auto&& item : all) (*this)(item);
  }
  template <class M>
  void table(M& all) {
    varint(all.size());
    for (auto& [key, value] : all) {
      auto copy = key;
      (*this)(copy, value);
    }
  }
};

// Reads values in the order in which a Writer wrote them.
class Reader : public Serializer<Reader> {
  std::string_view left_;

  [[noreturn]] static void throw_invalid(const char* reason) {
    throw std::invalid_argument(std::string("snapshot: ") + reason);
  }
  std::string_view take_bytes(std::size_t size) {
    if (size > left_.size()) throw_invalid("truncated");
    const std::string_view taken = left_.substr(0, size);
    left_.remove_prefix(size);
    return taken;
  }
  std::size_t count() { // number of elements of at least one byte each
    const std::uint64_t n = varint();
    if (n > left_.size()) throw_invalid("a list is longer than the remaining bytes");
    return static_cast<std::size_t>(n);
  }

 public:
  static constexpr bool reads = true;
  explicit Reader(std::string_view bytes) : left_(bytes) {}

  bool at_end() const { return left_.empty(); }
  std::uint64_t varint() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      const auto byte = static_cast<unsigned char>(take_bytes(1).front());
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    throw_invalid("unterminated varint");
  }
  template <class T>
  void whole(T& into) {
    const std::uint64_t raw = varint();
    into = static_cast<T>(static_cast<std::int64_t>(raw >> 1 ^ (~(raw & 1) + 1)));
  }
  template <class T>
  void enumerated(T& into) {
    int raw = 0;
    whole(raw);
    if (raw < 0 || raw > 63) throw_invalid("unknown enumeration value");
    into = static_cast<T>(raw);
  }
  template <class T>
  void fraction(T& into) {
    std::array<char, sizeof(double)> raw;
    std::memcpy(raw.data(), take_bytes(raw.size()).data(), raw.size());
    into = static_cast<T>(std::bit_cast<double>(raw));
  }
  void bytes(std::string& into) { into = take_bytes(count()); }
  void word(std::string& into) { bytes(into); }
  template <class Size>
  void content(std::string& into, Size& size) {
    whole(size);
    bytes(into);
  }
  template <class T>
  void list(std::vector<T>& into) {
    const std::size_t n = count();
    into.clear();
    for (std::size_t i = 0; i < n; ++i) {
      T item{};
      (*this)(item);
      into.push_back(std::move(item));
    }
  }
  template <class K, class V, class Order>
  void table(std::map<K, V, Order>& into) {
    const std::size_t n = count();
    into.clear();
    for (std::size_t i = 0; i < n; ++i) {
      K key{};
      (*this)(key);
      (*this)(into[std::move(key)]);
    }
  }
};

} // namespace cometshift
