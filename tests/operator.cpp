// Tests the parsing of operator files: the resulting settings, and the error messages for invalid files.
#include "operator.hpp"

#include <cstdio>

using namespace cometshift;

int main() {
  const auto show = [](const char* what, const char* text) {
    std::printf("# %s\n", what);
    try {
      for (const auto& [name, value] : parse_operator_text(text, "op.kdl")) {
        if (const double* figure = std::get_if<double>(&value))
          std::printf("  %s %.12g\n", name.c_str(), *figure);
        else
          std::printf("  %s \"%s\"\n", name.c_str(), std::get<std::string>(value).c_str());
      }
    } catch (const std::invalid_argument& e) {
      std::printf("%s\n", e.what());
    }
  };
  show("nothing: all defaults", "");
  show("comments, and parts left out with slashdash",
       "// for the long weekend\n"
       "recording { /* off\n /* and within */ on lines */ on #true; folder \"x\" // here\n"
       "    segment-size (MiB)4 ; segment-age \"90s\"\n"
       "    /- bodies #true\n"
       "    total-size \\\n  \"64MiB\"\n    conceal false\n}\n"
       "/- log { level \"debug\" }\n");
  show("raw texts, escapes, words without quotes, fractions",
       "recording {\n  on #true\n  folder #\"/var/\\rec\"#\n  segment-size (MiB)4\n"
       "  segment-age \"90s\"\n  /- bodies #true\n  total-size \"6.4e1MiB\"\n  conceal false\n}\n"
       "log { format \"js\\u{6f}n\"; level error }\n");
  show("pools", "pools {\n  reserve \"4%\"\n  window \"500ms\"\n  repeats \"30%\"\n  pool \"bookings\" {\n   "
                " op-types booking \"rebook\"\n"
                "    weight 2\n    floor \"60%\"\n  }\n  pool agents {\n    tenants \"agents\"\n    ceiling "
                "\"25%\"\n  }\n}\n");
  show("pools that promise more than there is, a floor over its ceiling, a name twice, unknown names",
       "pools {\n  reserve \"20%\"\n  pool a {\n    floor \"60%\"\n    ceiling \"50%\"\n  }\n  pool a {\n  "
       "}\n  pool b {\n    flor "
       "\"40%\"\n    floor \"40%\"\n    weight \"much\"\n    tenants\n  }\n  pool\n  reserve 5\n  poll "
       "c\n}\n");
  show("a fleet", "fleet {\n  name \"kamati\"\n  self 2\n  listen \"10.0.0.2:6000\"\n  term \"3s\"\n  voters "
                  "1 2 3\n  member 1 "
                  "\"10.0.0.1:6000\"\n"
                  "  member 2 \"10.0.0.2:6000\"\n  member 3 \"[::1]:6000\"\n  task \"sweep\" {\n    every "
                  "\"1min\"\n    limit "
                  "\"500ms\"\n    call \"10.0.9.9:80\"\n"
                  "    fences #true\n    priority 5\n  }\n}\n");
  show("a fleet with almost everything wrong in it",
       "fleet {\n  self 0\n  listen \"here\"\n  term \"3\"\n  voters 1 1 x 70000\n  voters 2\n  member 1 "
       "\"10.0.0.1\"\n  member "
       "2\n  member 1 \"10.0.0.1:6000\"\n"
       "  task \"a b\" {\n  }\n  task \"sweep\" {\n    evry \"1s\"\n    priority 1.5\n  }\n  task \"sweep\" "
       "{\n  }\n  "
       "most-terms \"many\"\n}\n");
  show("a fleet whose parts do not go together",
       "fleet {\n  self 9\n  term \"1s\"\n  longest-term \"500ms\"\n  beat \"1s\"\n  silent \"1s\"\n  "
       "rest-least \"3s\"\n  voters 1 "
       "1 4\n  member 1 \"10.0.0.1:6000\"\n"
       "  member 2 \"10.0.0.1:6000\"\n}\nfleet {\n}\n");
  show("and again, its addresses mended", "fleet {\n  self 9\n  term \"1s\"\n  longest-term \"500ms\"\n  "
                                          "beat \"1s\"\n  silent \"1s\"\n  rest-least \"3s\"\n  voters 1 "
                                          "1 4\n  member 1 \"10.0.0.1:6000\"\n"
                                          "  member 2 \"10.0.0.2:6000\"\n  task \"late\" {\n    call "
                                          "\"10.0.9.9:80\"\n    limit \"800ms\"\n  }\n}\n");
  show("unknown names, with what was meant",
       "recroding {\n}\nrecording {\n  folders \"x\"\n  weather \"fine\"\n}\n");
  show("a figure without its unit, with the unit of another kind, with none that there is",
       "recording {\n  segment-age 500\n  segment-size \"10s\"\n  total-size \"10Mib\"\n  queue-size "
       "\"many\"\n}\n");
  show("out of range", "recording {\n  segment-age \"1ms\"\n  queue-size \"1KiB\"\n}\n");
  show("twice, and where first", "recording {\n  on #true\n  on #false\n}\nlog {\n}\nrecording {\n}\n");
  show("a value of another kind",
       "recording {\n  on \"yes\"\n  folder 5\n  on\n}\nlog { format \"xml\"; level #null }\n");
  show("properties and values where children are meant", "recording on=#true\nlog \"json\"\n");
  show("what does not go together", "recording {\n  on #true\n}\n");
  show("a total under two segments", "recording {\n  segment-size \"20MiB\"\n  total-size \"30MiB\"\n}\n");
  show("a text that does not end", "recording {\n  folder \"x\n}\n");
  show("an escape that there is not", "recording {\n  folder \"\\q\"\n}\n");
  show("a raw text as other languages have it", "recording {\n  folder r#\"x\"#\n}\n");
  show("a brace too few", "recording {\n  on #true\n");
  show("a brace too many", "recording {\n}\n}\n");
  show("letters behind a number", "recording {\n  segment-age 500ms\n}\n");
  show("a property without its value", "recording {\n  on a=\n}\n");
  std::string deep;
  for (int i = 0; i < 40; ++i) deep += "a {";
  show("children too deep", deep.c_str());
}
