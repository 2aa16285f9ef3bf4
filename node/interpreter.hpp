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
    virtual void command_rejected(OpId id, std::string_view command) = 0;
  };

  InterpreterLink(asio::io_context& io, const std::string& address, std::size_t most_unwritten,
                  Handler& taker);

  bool up() const { return up_; }
  // Only while up. What is sent before the question of a number is known to be read once that is answered.
  void run(OpId id, std::string_view op_type, std::string_view body);
  void resume(OpId id, std::string_view reply);
  bool ask_gauges(); // unless the answer to a question before is still out
  std::uint64_t next_question() const { return asked_ + 1; }
  std::uint64_t answered_question() const { return answered_; }

  // Goes over to another address of the same interpreter, once all commands so far are known to be read.
  void move_to(const std::string& address);

  void link_reconnect_delay(Nanos rest) { rest_ = rest; }
  void leave_within(Nanos time) { leave_within_ = time; }
  void silent_for(Nanos time) { silent_for_ = time; }
  void flush();

 private:
  void connect();
  void watch();
  void down();
  void broken(const char* why);
  void await_bytes();
  void readable();
  void line(const char* at, std::size_t size);
  bool once_more(std::uint64_t after);
  void unreadable(std::uint64_t number, const char* what);
  void question();
  void command(std::string_view action, OpId id);
  void content(std::string_view bytes);

  asio::io_context& io_;
  asio::ip::tcp::endpoint address_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer again_;
  asio::steady_timer silence_;
  std::size_t most_unwritten_; // bytes: a link that takes so little is made anew
  Handler& taker_;
  simdjson::dom::parser parser_;
  std::vector<char> in_;
  std::size_t filled_ = 0;
  std::string out_;
  std::size_t written_ = 0;
  std::uint64_t link_ = 0;                    // counts them; handlers of earlier ones do nothing
  std::uint64_t last_ = 0;                    // notice read
  std::uint64_t retried_ = ~std::uint64_t{0}; // a link was made anew for what comes after this notice
  std::uint64_t asked_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t looked_ = 0;       // the last question when it was last looked whether anything is heard
  std::uint64_t heard_before_ = 0; // answered when the link was made
  Nanos rest_ = 0;
  Nanos leave_within_ = 0;
  Nanos silent_for_ = 0;
  bool open_ = false;
  bool up_ = false;
  bool waiting_room_ = false;
  bool reading_ = false; // a wait for bytes is out
  bool heard_ = false;   // something, since it was last looked
  bool banner_ = false;
  bool said_down_ = false;
  bool leaving_ = false; // for another address, as soon as the last question is answered
};

// Texts of base64, with no line breaks; false if there is anything else in them.
void put_base64(std::string& out, std::string_view bytes);
bool read_base64(std::string_view text, std::string& out);

} // namespace cometshift
