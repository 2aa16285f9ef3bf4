// The link to the interpreter: commands out, notices in, one JSON object a line. Owns the socket, the number
// of the last notice read, and what is yet to be written.
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

class InterpreterLink {
 public:
  // What comes in. Views hold until the call returns.
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void machine_up(Nanos since) = 0;
    virtual void caught_up(std::uint64_t heard) = 0; // the link works and all notices so far are read
    virtual void link_down() {}                      // commands are not taken until it is caught up again
    virtual void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) = 0;
    virtual void call_wanted(OpId id, std::string body) = 0;
    virtual void gauges(std::span<const double> values) = 0;
    virtual void command_rejected(OpId id, std::string_view begin_command) = 0;
  };

  InterpreterLink(asio::io_context& io, const std::string& address, std::size_t max_unwritten,
                  Handler& handler);

  bool up() const { return up_; }
  // Only while up. What is sent before the question of a number is known to be read once that is answered.
  void run(OpId id, std::string_view op_type, std::string_view body);
  void resume(OpId id, std::string_view reply);
  bool request_gauges(); // unless the answer to a question before is still out
  std::uint64_t next_query_number() const { return sent_queries_ + 1; }
  std::uint64_t answered_query_number() const { return answered_queries_; }

  // Goes over to another address of the same interpreter, once all commands so far are known to be read.
  void set_address(const std::string& address);

  void link_reconnect_delay(Nanos rest) { reconnect_delay_ = rest; }
  void link_handover_timeout(Nanos time) { handover_timeout_ = time; }
  void link_silence_timeout(Nanos time) { silence_timeout_ = time; }
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
  void malformed_notice(std::uint64_t number, const char* what);
  void send_query();
  void begin_command(std::string_view action, OpId id);
  void finish_command(std::string_view bytes);

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer reconnect_timer_;
  asio::steady_timer silence_timer_;
  std::size_t max_unwritten_; // bytes: a link that takes so little is made anew
  Handler& handler_;
  simdjson::dom::parser parser_;
  std::vector<char> input_;
  std::size_t filled_ = 0;
  std::string output_;
  std::size_t written_ = 0;
  std::uint64_t link_generation_ = 0;               // counts them; handlers of earlier ones do nothing
  std::uint64_t last_position_ = 0;                 // notice read
  std::uint64_t retried_after_ = ~std::uint64_t{0}; // a link was made anew for what comes after this notice
  std::uint64_t sent_queries_ = 0;
  std::uint64_t answered_queries_ = 0;
  std::uint64_t queries_at_last_check_ =
      0; // the last question when it was last looked whether anything is heard
  std::uint64_t answered_before_link_ = 0; // answered when the link was made
  Nanos reconnect_delay_ = 0;
  Nanos handover_timeout_ = 0;
  Nanos silence_timeout_ = 0;
  bool connected_ = false;
  bool up_ = false;
  bool write_pending_ = false;
  bool read_pending_ = false; // a wait for bytes is out
  bool received_ = false;     // something, since it was last looked
  bool banner_received_ = false;
  bool failure_logged_ = false;
  bool handing_over_ = false; // for another address, as soon as the last question is answered
};

// Texts of base64, with no line breaks; false if there is anything else in them.
void encode_base64(std::string& out, std::string_view bytes);
bool decode_base64(std::string_view text, std::string& out);

} // namespace cometshift
