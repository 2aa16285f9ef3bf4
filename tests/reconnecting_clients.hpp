// Clients that connect and say nothing, and come again as soon as they are accepted: while they are active,
// the backlog of the listener under test is never empty when accept() is called. Replaces the system's
// accept(), so a test that includes this consists of one source file. Needs no second thread or core.
#pragma once

#include "driver.hpp"

#include <deque>
#include <poll.h>
#include <sys/syscall.h>

class ReconnectingClients {
  static constexpr std::size_t max_open = 200;   // the oldest connection is reset beyond it
  static constexpr int max_connections = 12'000; // ends a loop that waits for an empty backlog
  static constexpr int connect_timeout_ms = 1000;

  std::deque<TestConnection> open_;
  int connections_ = 0;

 public:
  inline static ReconnectingClients* active = nullptr;
  inline static int port = 5050; // of the listener under test
  inline static int accepts = 0; // calls that returned a connection

  ReconnectingClients() { active = this; }
  ~ReconnectingClients() {
    active = nullptr;
    for (TestConnection& connection : open_) connection.reset_without_turn();
  }
  ReconnectingClients(const ReconnectingClients&) = delete;
  ReconnectingClients& operator=(const ReconnectingClients&) = delete;

  // Adds a connection to the backlog of the listener `fd`.
  void connect_to(int fd) {
    if (connections_ == max_connections) return;
    ++connections_;
    open_.push_back(TestConnection::connect_without_turn(port));
    pollfd listener{fd, POLLIN, 0};
    if (poll(&listener, 1, connect_timeout_ms) != 1) connections_ = max_connections; // no port is free
    if (open_.size() <= max_open) return;
    open_.front().reset_without_turn();
    open_.pop_front();
  }
  // Whether only the bound of this class ended a loop of accepts.
  bool exhausted() const { return connections_ == max_connections; }
};

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  if (ReconnectingClients::active) ReconnectingClients::active->connect_to(fd);
  const int accepted = static_cast<int>(syscall(SYS_accept, fd, from, size));
  if (accepted >= 0) ++ReconnectingClients::accepts;
  return accepted;
}
