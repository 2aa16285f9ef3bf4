// Reports on recordings for the command line: verification by replay, the history of one op with the reasons
// of its decisions, contents, and differences to the decisions of this build. Each function writes to `out`
// and returns the exit code of the program (server/main.cpp).
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

namespace cometshift {

// Replays `times` times; returns 0 if all replays match the recording, otherwise prints the first difference
// and returns 1.
int replay_report(const std::vector<std::string>& paths, int times, std::FILE* out);
int explain_report(const std::vector<std::string>& paths, const std::string& op, std::FILE* out);
// Counts changed outcomes by op type, kind and reason, and checks the rules for both sides; returns 0 if
// nothing changed. For ops that only this build starts, an end is simulated after the median run time of
// their type in the recording; the report counts these.
int compare_report(const std::vector<std::string>& paths, std::FILE* out);
int info_report(const std::vector<std::string>& paths, std::FILE* out);
int list_report(const std::vector<std::string>& paths, std::uint64_t from_ms, std::uint64_t to_ms,
                std::FILE* out);

// Section of a recording, given by times in ms from its beginning or by an op, to be written as one segment
// that can be replayed on its own. With `scrub`, marks and subjects are concealed and bodies are left out.
struct Part {
  double from_ms = 0;
  double to_ms = -1; // -1: to the end
  std::string op;    // instead of times: from the arrival of this op to its end, with a margin on both sides
  bool scrub = false;
};
int cut_report(const std::vector<std::string>& paths, const Part& part, const std::string& into,
               std::FILE* out);

} // namespace cometshift
