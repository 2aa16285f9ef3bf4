// Log output as text and as JSON, with suppressed lines; CTest compares standard error with the times
// removed.
#include "log.hpp"

int main() {
  using namespace cometshift;
  for (int i = 0; i < 8; ++i) log_info("frame", "connection %d: a length out of range", i);
  log_warning("accept", "Too many open files");
  log_info("reload", "left as it was: %s", "a \"quoted\" name\\path");
  configure_log(true, "info");
  log_info("interpreter", "up for %d ms", 12);
  log_info("reload", "left as it was: %s", "a \"quoted\" name\\path\twith a tab");
  log_warning("results", "no room to keep one");
  configure_log(true, "warning");
  log_info("drain", "told to leave");
  log_warning("recording", "a gap begins: the disk is full");
  configure_log(false, "error");
  log_warning("recording", "a gap begins: the disk is full");
}
