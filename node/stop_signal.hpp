// SIGTERM and SIGINT, the notice to drain. Owns the signals' handlers and the pipe through which they wake
// the event loop. The process may have been stopped when the signal was sent, and many other events may be
// ready when it goes on, so the time of the notice is taken in the handler, not when the event loop comes
// to it.
#pragma once

#include "clock.hpp"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>

#include <optional>

namespace cometshift {

// Catches the signals for as long as it exists; at most one object at a time. Threads that are started
// beside the event loop's block the signals, so that the handler interrupts the thread that reads `clock`.
class StopSignal {
 public:
  // Throws std::system_error if there is no descriptor for the pipe.
  StopSignal(asio::io_context& io, const Clock& clock);
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

  // If a signal has come: the time before which the first one can't have been sent. A process that runs
  // handles a signal at once, so that is the last reading of the clock before the handler.
  std::optional<Nanos> not_before() const;

 private:
  void wait();

  asio::posix::stream_descriptor wake_; // readable once a signal has come
};

} // namespace cometshift
