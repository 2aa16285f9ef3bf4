// The operator file: settings by operators in addition to the configuration from the platform. It is parsed,
// validated and completed with defaults only here; docs/operator.md lists the names. All errors in a file are
// reported at once, one per line: "FILE:LINE:COLUMN: error, and a suggestion".
#pragma once

#include "kdl.hpp"
#include "state.hpp"

#include <string>
#include <string_view>

namespace cometshift {

// Settings by name, such as "recording.folder" and "log.format". Times end in "_ns", sizes in "_bytes"; flags
// are 0 or 1. An empty text gives all defaults. Throws std::invalid_argument.
Settings read_operator_file(const std::string& path);
Settings parse_operator_text(std::string_view text, const std::string& file);
Settings parse_operator_nodes(const std::vector<kdl::Node>& nodes, const std::string& file);

// The settings whose names start with a prefix, with the prefix removed: for "recording.", "folder" and so
// on.
Settings part_of(const Settings& settings, std::string_view prefix);

} // namespace cometshift
