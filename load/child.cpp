#include "child.hpp"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cometshift::load {

Child::Child(const std::vector<std::string>& command, const std::string& log) {
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("no process could be made");
  if (pid_ > 0) return;
  if (const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600); out >= 0) {
    dup2(out, 1);
    dup2(out, 2);
  }
  for (int fd = 3, most = static_cast<int>(sysconf(_SC_OPEN_MAX)); fd < most && fd < 65536; ++fd)
    close(fd); // against a server that holds the stand-ins' listeners open
  std::vector<char*> words;
  for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  execv(words.front(), words.data());
  _exit(127);
}

Child::~Child() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void Child::tell(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

bool Child::ended(Cost& cost) {
  if (pid_ > 0) {
    int status = 0;
    rusage used{};
    if (wait4(pid_, &status, WNOHANG, &used) != pid_) return false;
    pid_ = -1;
    cost_.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    const auto seconds = [](timeval t) {
      return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    cost_.cpu_seconds = seconds(used.ru_utime) + seconds(used.ru_stime);
    cost_.peak_kb = used.ru_maxrss;
  }
  cost = cost_;
  return true;
}

} // namespace cometshift::load
