// The HTTP target at which the fleet's tasks are carried out. It is one process with one clock, and reports
// every act, with its begin, end, member and token, to the checker. "POST /task/NAME" takes the configured
// duration and is answered with 200. A task whose name begins with "fenced" is refused with 409 if its token
// is smaller than the greatest seen; a "plain" one can't be refused.
#pragma once

#include "judge.hpp"
#include "party.hpp"

#include <functional>

namespace cometshift::fleet {

// Serves task calls and reports them to an ExclusionChecker.
class TaskTarget {
 public:
  TaskTarget(asio::io_context& io, asio::ip::tcp::endpoint at, ExclusionChecker& checker,
             std::function<Nanos()> now, Nanos act_duration);

 private:
  asio::awaitable<void> serve(asio::ip::tcp::socket socket);

  asio::io_context& io_;
  ExclusionChecker& checker_;
  std::function<Nanos()> now_;
  Nanos act_duration_;
  standin::Door listener_;
};

} // namespace cometshift::fleet
