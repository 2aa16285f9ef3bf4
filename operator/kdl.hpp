// Parser for the subset of KDL that the operator file uses: nodes with arguments, properties and children,
// strings (plain, quoted with escapes, raw), integers and decimals, booleans and null, comments and
// slashdash. The grammar in kdl.cpp is written with PEGTL and follows the KDL 2 specification; `true`,
// `false` and `null` without `#`, as in version 1, are accepted too. No I/O.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cometshift::kdl {

struct SourcePosition {
  std::size_t line = 1, column = 1; // 1-based; columns count bytes
};

struct Value {
  std::variant<std::monostate, bool, double, std::string> held;
  std::string type; // type annotation; empty: none
  SourcePosition at;
};

struct Node {
  std::string name;
  SourcePosition at;
  std::vector<Value> arguments;
  std::vector<std::pair<std::string, Value>> properties;
  std::vector<Node> children;
};

// A syntax error; the message has the form "FILE:LINE:COLUMN: error".
struct Wrong : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};
[[noreturn]] void wrong(const std::string& file, SourcePosition at, const std::string& what);

std::vector<Node> parse(std::string_view text, const std::string& file);

} // namespace cometshift::kdl
