// Where the fleet's tasks are done: one process, one clock, every act with its begin, its end, its member and
// its token, told to a judge. "POST /task/NAME" takes a while and answers 200; a task whose name begins with
// "fenced" is refused with 409 where its token is smaller than the greatest seen, which a "plain" one can't
// be.
#pragma once

#include "judge.hpp"
#include "party.hpp"

#include <functional>

namespace cometshift::fleet {

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
