// KDL documents, as far as the operator file needs them: nodes with arguments, properties and children, texts
// (plain, quoted with escapes, raw), whole numbers and fractions, true, false and null, comments and
// slashdash. The grammar stands in kdl.cpp, on PEGTL. Source: the KDL 2 specification; of version 1, `true`,
// `false` and `null` without their mark are taken too. No I/O.
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
  std::size_t line = 1, column = 1; // from 1, columns in bytes
};

struct Value {
  std::variant<std::monostate, bool, double, std::string> held;
  std::string type; // its annotation; empty: none
  SourcePosition at;
};

struct Node {
  std::string name;
  SourcePosition at;
  std::vector<Value> arguments;
  std::vector<std::pair<std::string, Value>> properties;
  std::vector<Node> children;
};

// What can't be read, and where: "FILE:LINE:COLUMN: what".
struct Wrong : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};
[[noreturn]] void wrong(const std::string& file, SourcePosition at, const std::string& what);

std::vector<Node> parse(std::string_view text, const std::string& file);

} // namespace cometshift::kdl
