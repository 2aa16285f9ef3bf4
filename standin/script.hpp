// Faults by script: a text with a line for each, "SECONDS WHAT [FIGURE]", in the order of their times; `#`
// begins a comment. What there is:
//
// - link-break, link-break-within: the link to the interpreter ends; in the middle of a notice
// - notices-twice P, remarks P: part of the notices
// - speed P: of the cores; 0: they stand still
// - runs-fail P: part of the runs
// - records-ms T, records-silent P, records-spoilt P, records-away P, records-reset P
// - records-down, records-up, announce-down, announce-up: refuses connections; announce-down first, at 0:
// from
//   before the server starts
// - announce-silent P: part of the reports
// - move: all three listen at other addresses, and the server is told by a hang-up signal
// - reload, leave: a hang-up signal, the notice to leave, to the server
// - strangers N: connections that send what can't be read
// - callers-reset P: part of the callers' connections are reset at once
// - rate P: times the usual rate of ops from then on
// - resend P: part of the refused ops that come again at once, without limit
#pragma once

#include "ids.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift::standin {

struct Fault {
  Nanos at = 0; // from the beginning
  std::string what;
  double figure = 0;
};

// Throws std::invalid_argument: "FILE:LINE: what".
std::vector<Fault> script_in(std::string_view text, const std::string& file);

} // namespace cometshift::standin
