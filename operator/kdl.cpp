#include "kdl.hpp"

#include <charconv>
#include <cstdlib>
#include <tao/pegtl.hpp>

namespace cometshift::kdl {

namespace {

namespace p = tao::pegtl;

constexpr std::size_t max_depth = 32; // nesting depth; protects the stack from malicious input

// ---- the grammar

struct newline : p::sor<p::string<'\r', '\n'>, p::one<'\n', '\r', '\f'>> {};
struct block_comment
    : p::seq<p::string<'/', '*'>, p::until<p::string<'*', '/'>, p::sor<block_comment, p::any>>> {};
struct line_comment : p::seq<p::string<'/', '/'>, p::until<p::sor<newline, p::eof>>> {};
struct blank : p::sor<p::one<' ', '\t'>, block_comment> {};
struct escline : p::seq<p::one<'\\'>, p::star<blank>, p::sor<line_comment, newline>> {};
struct space : p::sor<blank, escline> {};
struct spaces : p::plus<space> {};
struct line_space : p::sor<newline, line_comment, space> {};

struct hex4 : p::seq<p::string<'u', '{'>, p::rep_min_max<1, 6, p::xdigit>, p::one<'}'>> {};
struct escape : p::seq<p::one<'\\'>, p::sor<p::one<'n', 'r', 't', '\\', '"', 'b', 'f', 's', '/'>, hex4>> {};
struct plain_char : p::not_one<'"', '\\', '\n', '\r'> {};
struct quoted_body : p::star<p::sor<escape, plain_char>> {};
struct quoted_end : p::one<'"'> {};
struct quoted : p::seq<p::one<'"'>, quoted_body, p::must<quoted_end>> {};
struct raw_body : p::until<p::at<p::string<'"', '#'>>, p::not_one<'\n', '\r'>> {};
struct raw : p::seq<p::string<'#', '"'>, raw_body, p::string<'"', '#'>> {};

struct ident_char
    : p::not_one<' ', '\t', '\n', '\r', '\f', '\\', '/', '(', ')', '{', '}', ';', '[', ']', '"', '#', '='> {};
struct ident_start
    : p::seq<p::not_at<p::sor<p::digit, p::seq<p::one<'+', '-', '.'>, p::digit>>>, ident_char> {};
struct ident : p::seq<ident_start, p::star<ident_char>> {};

struct number_body
    : p::seq<p::opt<p::one<'+', '-'>>,
             p::sor<p::seq<p::string<'0', 'x'>, p::plus<p::sor<p::xdigit, p::one<'_'>>>>,
                    p::seq<p::string<'0', 'o'>, p::plus<p::sor<p::range<'0', '7'>, p::one<'_'>>>>,
                    p::seq<p::string<'0', 'b'>, p::plus<p::one<'0', '1', '_'>>>,
                    p::seq<p::digit, p::star<p::sor<p::digit, p::one<'_'>>>,
                           p::opt<p::one<'.'>, p::plus<p::sor<p::digit, p::one<'_'>>>>,
                           p::opt<p::one<'e', 'E'>, p::opt<p::one<'+', '-'>>, p::plus<p::digit>>>>> {};
struct number_end : p::not_at<ident_char> {};
struct number
    : p::seq<p::at<p::sor<p::digit, p::seq<p::one<'+', '-'>, p::digit>>>, number_body, p::must<number_end>> {
};
struct word_true : p::seq<p::opt<p::one<'#'>>, p::string<'t', 'r', 'u', 'e'>, p::not_at<ident_char>> {};
struct word_false : p::seq<p::opt<p::one<'#'>>, p::string<'f', 'a', 'l', 's', 'e'>, p::not_at<ident_char>> {};
struct word_null : p::seq<p::opt<p::one<'#'>>, p::string<'n', 'u', 'l', 'l'>, p::not_at<ident_char>> {};
struct plain_text : ident {};

struct type_name : p::sor<quoted, ident> {};
struct type : p::seq<p::one<'('>, p::star<space>, type_name, p::star<space>, p::must<p::one<')'>>> {};
struct value_begin : p::success {};
struct bare_value : p::sor<raw, quoted, word_true, word_false, word_null, number, plain_text> {};
struct value : p::seq<value_begin, p::opt<type, p::star<space>>, bare_value> {};

struct property_name : p::sor<quoted, ident> {};
struct property_begin : p::seq<property_name, p::one<'='>> {};
struct property : p::seq<p::at<property_begin>, property_name, p::one<'='>, p::must<value>> {};
struct argument : value {};
struct slashdash : p::seq<p::string<'/', '-'>, p::star<line_space>> {};
struct skip_begin : p::success {};
struct skip_end : p::success {};
struct skipped_entry : p::seq<slashdash, skip_begin, p::sor<property, argument>, skip_end> {};
struct nodes;
struct children_begin : p::one<'{'> {};
struct children_end : p::one<'}'> {};
struct children : p::seq<children_begin, nodes, p::must<children_end>> {};
struct skipped_children : p::seq<slashdash, skip_begin, children, skip_end> {};
struct node_begin : p::success {};
struct node_name : p::sor<quoted, ident> {};
struct node_end : p::sor<newline, line_comment, p::one<';'>, p::eof, p::at<p::one<'}'>>> {};
struct entry : p::seq<spaces, p::sor<skipped_entry, property, argument>> {};
struct child_part : p::seq<p::star<space>, p::sor<skipped_children, children>> {};
struct node_done : p::success {};
struct node : p::seq<node_begin, p::opt<type, p::star<space>>, node_name, p::star<entry>, p::star<child_part>,
                     p::star<space>, p::must<node_end>, node_done> {};
struct skipped_node : p::seq<slashdash, skip_begin, node, skip_end> {};
struct nodes : p::seq<p::star<line_space>,
                      p::star<p::sor<skipped_node, node>, p::star<p::sor<line_space, p::one<';'>>>>> {};
struct bom : p::opt<p::string<'\xef', '\xbb', '\xbf'>> {};
struct end_of_file : p::eof {};
struct document : p::seq<bom, nodes, p::must<end_of_file>> {};

// ---- actions that build the nodes

struct State {
  const std::string& file;
  std::vector<Node> roots;
  std::vector<Node> open; // nodes whose end has not been reached
  int skipping = 0;
  std::string text;     // the last string read
  std::string type;     // the annotation of the next value
  std::string property; // the name of the next value
  SourcePosition value_at;
  Value value;
  SourcePosition type_at;
};

template <class Input>
SourcePosition position_of(const Input& in) {
  const auto at = in.position();
  return {at.line, at.column};
}

void put_utf8(std::string& out, unsigned long code) {
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xc0 | code >> 6);
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else if (code < 0x10000) {
    out += static_cast<char>(0xe0 | code >> 12);
    out += static_cast<char>(0x80 | (code >> 6 & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else {
    out += static_cast<char>(0xf0 | code >> 18);
    out += static_cast<char>(0x80 | (code >> 12 & 0x3f));
    out += static_cast<char>(0x80 | (code >> 6 & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  }
}

std::string unescaped(std::string_view raw, const std::string& file, SourcePosition at) {
  std::string out;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] != '\\') {
      out += raw[i];
      continue;
    }
    switch (raw[++i]) {
    case 'n':
      out += '\n';
      break;
    case 'r':
      out += '\r';
      break;
    case 't':
      out += '\t';
      break;
    case 'b':
      out += '\b';
      break;
    case 'f':
      out += '\f';
      break;
    case 's':
      out += ' ';
      break;
    case 'u': {
      const std::size_t end = raw.find('}', i);
      const unsigned long code =
          std::strtoul(std::string(raw.substr(i + 2, end - i - 2)).c_str(), nullptr, 16);
      if (code > 0x10ffff || (code >= 0xd800 && code < 0xe000)) wrong(file, at, "an escape of no character");
      put_utf8(out, code);
      i = end;
      break;
    }
    default:
      out += raw[i];
    }
  }
  return out;
}

template <class Rule>
struct action : p::nothing<Rule> {};

template <>
struct action<quoted_body> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.text = unescaped(in.string_view(), s.file, position_of(in));
    s.value.held = s.text;
  }
};
template <>
struct action<raw_body> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.text = in.string();
    s.value.held = s.text;
  }
};
template <>
struct action<ident> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.text = in.string();
  }
};
template <>
struct action<plain_text> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.value.held = in.string();
  }
};
template <>
struct action<number_body> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    std::string digits;
    for (const char c : in.string_view())
      if (c != '_' && c != '+') digits += c;
    const bool negative = digits.front() == '-';
    const std::string_view rest = std::string_view(digits).substr(negative);
    double number = 0;
    if (rest.size() > 2 && rest[0] == '0' && (rest[1] == 'x' || rest[1] == 'o' || rest[1] == 'b')) {
      const int base = rest[1] == 'x' ? 16 : rest[1] == 'o' ? 8 : 2;
      unsigned long long whole = 0;
      if (std::from_chars(rest.data() + 2, rest.data() + rest.size(), whole, base).ec != std::errc())
        wrong(s.file, position_of(in), "a number too large");
      number = static_cast<double>(whole);
    } else {
      number = std::strtod(std::string(rest).c_str(), nullptr);
    }
    s.value.held = negative ? -number : number;
  }
};
template <>
struct action<word_true> {
  static void apply0(State& s) { s.value.held = true; }
};
template <>
struct action<word_false> {
  static void apply0(State& s) { s.value.held = false; }
};
template <>
struct action<word_null> {
  static void apply0(State& s) { s.value.held = std::monostate(); }
};
template <>
struct action<type_name> {
  static void apply0(State& s) { s.type = s.text; }
};
template <>
struct action<value_begin> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.value_at = position_of(in);
    s.type.clear();
  }
};
template <>
struct action<value> {
  static void apply0(State& s) {
    s.value.type = s.type;
    s.value.at = s.value_at;
  }
};
template <>
struct action<property_name> {
  static void apply0(State& s) { s.property = s.text; }
};
template <>
struct action<property> {
  static void apply0(State& s) {
    if (s.skipping == 0) s.open.back().properties.emplace_back(s.property, s.value);
  }
};
template <>
struct action<argument> {
  static void apply0(State& s) {
    s.value.type = s.type;
    s.value.at = s.value_at;
    if (s.skipping == 0) s.open.back().arguments.push_back(s.value);
  }
};
template <>
struct action<skip_begin> {
  static void apply0(State& s) { ++s.skipping; }
};
template <>
struct action<skip_end> {
  static void apply0(State& s) { --s.skipping; }
};
template <>
struct action<node_begin> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    s.type_at = position_of(in);
  }
};
template <>
struct action<node_name> {
  template <class Input>
  static void apply(const Input& in, State& s) {
    if (s.open.size() >= max_depth) wrong(s.file, position_of(in), "children too deep");
    Node node_value;
    node_value.name = s.text;
    node_value.at = position_of(in);
    s.open.push_back(std::move(node_value));
  }
};
template <>
struct action<node_done> {
  static void apply0(State& s) {
    Node done = std::move(s.open.back());
    s.open.pop_back();
    if (s.skipping > 0) return;
    (s.open.empty() ? s.roots : s.open.back().children).push_back(std::move(done));
  }
};

template <class Rule>
constexpr const char* error_message = nullptr;
template <>
constexpr const char* error_message<quoted_end> =
    "a text without its closing quote, or with an escape that there is not";
template <>
constexpr const char* error_message<number_end> =
    "a number with letters behind it: units stand in quotes (\"500ms\")";
template <>
constexpr const char* error_message<p::one<')'>> = "an annotation without its closing bracket";
template <>
constexpr const char* error_message<value> = "a property without its value";
template <>
constexpr const char* error_message<children_end> =
    "children without their closing brace, or something that is no node";
template <>
constexpr const char* error_message<node_end> = "something that is neither a value nor the end of its node";
template <>
constexpr const char* error_message<end_of_file> = "something that is no node";

template <class Rule>
struct control : p::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&... states) {
    if constexpr (error_message<Rule> != nullptr)
      throw p::parse_error(error_message<Rule>, in);
    else
      p::normal<Rule>::raise(in, states...);
  }
};

} // namespace

void wrong(const std::string& file, SourcePosition at, const std::string& what) {
  throw Wrong(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what);
}

std::vector<Node> parse(std::string_view text, const std::string& file) {
  State state{.file = file,
              .roots = {},
              .open = {},
              .text = {},
              .type = {},
              .property = {},
              .value_at = {},
              .value = {},
              .type_at = {}};
  p::memory_input in(text.data(), text.size(), file);
  try {
    p::parse<document, action, control>(in, state);
  } catch (const p::parse_error& e) {
    const auto at = e.positions().front();
    wrong(file, {at.line, at.column}, std::string(e.message()));
  }
  return std::move(state.roots);
}

} // namespace cometshift::kdl
