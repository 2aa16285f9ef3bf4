// cometshift-scale: how costs go with sizes, over two decades. Results are JSON lines (rows.hpp). No part of
// what serves.
//
// Exit codes: 0 done; 1 a bound does not hold; 2 a file can't be read or written; 64 not understood.
#include "commands.hpp"

int main(int argc, char** argv) {
  CLI::App app{"How costs go with sizes: slopes over two decades, as JSON lines."};
  app.require_subcommand(1);
  int code = 0;
  for (const auto add :
       {cometshift::scale::add_link, cometshift::scale::add_core, cometshift::scale::add_added,
        cometshift::scale::add_control, cometshift::scale::add_page})
    add(app, code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 64;
  }
  return code;
}
