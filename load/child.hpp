// One server as a child process: started with a command, told by signals, and what it cost. Owns the process;
// none outlives this object.
#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace cometshift::load {

class Child {
 public:
  struct Cost {
    int exit_code = -1; // negative: the signal that ended it
    double cpu_seconds = 0;
    long peak_kb = 0;
  };
  // Its output goes to a file.
  Child(const std::vector<std::string>& command, const std::string& log);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  void tell(int signal);
  bool ended(Cost& cost);            // without waiting
  pid_t pid() const { return pid_; } // -1: it has ended

 private:
  pid_t pid_ = -1;
  Cost cost_;
};

} // namespace cometshift::load
