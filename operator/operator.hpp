// The operator file: what operators set beside the platform's configuration. Read, checked and given defaults
// here, and nowhere else; docs/operator.md lists the names. All that is wrong in a file is told at once, a
// line each: "FILE:LINE:COLUMN: what, and what was meant".
#pragma once

#include "kdl.hpp"
#include "state.hpp"

#include <string>
#include <string_view>

namespace cometshift {

// Names to values: "recording.folder", "log.format" and so on; times in "_ns", sizes in "_bytes", flags 0
// or 1. Without a path or a text, all defaults. Throws std::invalid_argument.
Settings read_operator_file(const std::string& path);
Settings parse_operator_text(std::string_view text, const std::string& file);
Settings parse_operator_nodes(const std::vector<kdl::Node>& nodes, const std::string& file);

// The part under a name and a dot, without it: "recording." gives "folder" and so on.
Settings part_of(const Settings& settings, std::string_view prefix);

} // namespace cometshift
