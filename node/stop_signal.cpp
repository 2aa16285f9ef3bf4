#include "stop_signal.hpp"

#include <atomic>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace cometshift {

namespace {

constexpr int stop_signals[] = {SIGTERM, SIGINT};

// What the signal handler uses. It may run between any two instructions, so everything is a lock-free atomic.
constexpr Nanos not_received = -1;
std::atomic<Nanos> received_not_before{not_received};
std::atomic<const Clock*> signal_clock{nullptr};
std::atomic<int> wake_writer{-1};
static_assert(std::atomic<Nanos>::is_always_lock_free && std::atomic<const Clock*>::is_always_lock_free &&
              std::atomic<int>::is_always_lock_free);

extern "C" void on_stop_signal(int) {
  const int saved_errno = errno;
  Nanos expected = not_received; // of several signals the first counts
  if (received_not_before.compare_exchange_strong(expected, signal_clock.load()->last_reading())) {
    const char byte = 0;
    [[maybe_unused]] const ssize_t written = write(wake_writer.load(), &byte, 1);
  }
  errno = saved_errno;
}

void set_handler(void (*handler)(int)) {
  struct sigaction action {};
  action.sa_handler = handler;
  action.sa_flags = SA_RESTART;
  sigfillset(&action.sa_mask);
  for (const int signal : stop_signals) sigaction(signal, &action, nullptr);
}

} // namespace

StopSignal::StopSignal(asio::io_context& io, const Clock& clock) : wake_(io) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe");
  wake_.assign(ends[0]);
  wake_writer = ends[1];
  signal_clock = &clock;
  received_not_before = not_received;
  set_handler(on_stop_signal);
  wait();
}

StopSignal::~StopSignal() {
  set_handler(SIG_DFL);
  close(wake_writer.exchange(-1));
  signal_clock = nullptr;
}

// Ends the event loop's wait; the byte stays in the pipe.
void StopSignal::wait() {
  wake_.async_wait(asio::posix::stream_descriptor::wait_read, [](asio::error_code) {});
}

std::optional<Nanos> StopSignal::not_before() const {
  const Nanos time = received_not_before;
  return time == not_received ? std::nullopt : std::optional(time);
}

} // namespace cometshift
