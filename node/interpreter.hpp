// Client of the interpreter that runs the ops: sends commands and receives notices, one JSON object per line.
// Owns the socket, the position of the last notice read, and the unwritten output.
#pragma once

#include "ids.hpp"
#include "state.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <simdjson.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

// A link that reconnects by itself. Notices carry positions; after a reconnect the interpreter sends all
// notices after the last position read, so that none is lost.
class InterpreterLink {
 public:
  // Receives notices and changes of the link. Views are valid until the call returns.
  class Handler {
   public:
    virtual ~Handler() = default;
    // The interpreter is running, for `uptime` already.
    virtual void machine_up(Nanos uptime) = 0;
    // The link is up and all earlier notices have been read. `answered_query`: the last query that was
    // answered on earlier links.
    virtual void caught_up(std::uint64_t answered_query) = 0;
    // No commands may be sent until it has caught up again.
    virtual void link_down() {}
    virtual void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) = 0;
    virtual void call_wanted(OpId id, std::string body) = 0;
    virtual void gauges(std::span<const double> values) = 0;
    // The interpreter did not carry out a command for this op.
    virtual void command_rejected(OpId id, std::string_view command) = 0;
  };

  InterpreterLink(asio::io_context& io, const std::string& address, std::size_t max_unwritten,
                  Handler& handler);

  bool up() const { return up_; }
  // Commands may be sent only while the link is up. Queries for gauges are numbered; the answer to one proves
  // that the interpreter has read all commands sent before it.
  void run(OpId id, std::string_view op_type, std::string_view body);
  void resume(OpId id, std::string_view reply);
  bool request_gauges(); // false, and nothing sent, while an earlier query is unanswered
  std::uint64_t next_query_number() const { return sent_queries_ + 1; }
  std::uint64_t answered_query_number() const { return answered_queries_; }

  // Moves to another address of the same interpreter, after all commands sent so far are known to be read.
  void set_address(const std::string& address);

  // Delay before a reconnect.
  void link_reconnect_delay(Nanos delay) { reconnect_delay_ = delay; }
  // How long a move to another address waits for the last answer on the old link.
  void link_handover_timeout(Nanos timeout) { handover_timeout_ = timeout; }
  // A link on which an answer is due, but nothing arrives for this long, is replaced.
  void link_silence_timeout(Nanos timeout) { silence_timeout_ = timeout; }
  // Writes as much of the pending output as the socket takes.
  void flush();

 private:
  void connect();
  void arm_silence_timer();
  void mark_down();
  void link_failed(const char* reason);
  void wait_readable();
  void on_readable();
  void handle_notice(const char* at, std::size_t size);
  bool reconnect_from(std::uint64_t after);
  void malformed_notice(std::uint64_t number, const char* reason);
  void send_query();
  void begin_command(std::string_view action, OpId id);
  void finish_command(std::string_view bytes);

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer reconnect_timer_;
  asio::steady_timer silence_timer_;
  std::size_t max_unwritten_; // bytes of output; a link that falls this far behind is replaced
  Handler& handler_;
  simdjson::dom::parser parser_;
  std::vector<char> input_;
  std::size_t filled_ = 0;
  std::string output_;
  std::size_t written_ = 0;
  std::uint64_t link_generation_ = 0;               // handlers of earlier generations do nothing
  std::uint64_t last_position_ = 0;                 // of the last notice read
  std::uint64_t retried_after_ = ~std::uint64_t{0}; // last position from which a reconnect asked again
  std::uint64_t sent_queries_ = 0;
  std::uint64_t answered_queries_ = 0;
  std::uint64_t queries_at_last_check_ = 0; // sent_queries_ at the last silence check
  std::uint64_t answered_before_link_ = 0;  // answered_queries_ when this link was connected
  Nanos reconnect_delay_ = 0;
  Nanos handover_timeout_ = 0;
  Nanos silence_timeout_ = 0;
  bool connected_ = false;
  bool up_ = false;
  bool write_pending_ = false;
  bool read_pending_ = false; // an asynchronous wait for input is in progress
  bool received_ = false;     // any input since the last silence check
  bool banner_received_ = false;
  bool failure_logged_ = false;
  bool handing_over_ = false; // reconnects to the new address when the last query is answered
};

// Base64 with padding and without line breaks. Decoding returns false if the text is anything else.
void encode_base64(std::string& out, std::string_view bytes);
bool decode_base64(std::string_view text, std::string& out);

} // namespace cometshift
