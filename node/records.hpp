// Calls to the records service, on HttpCalls: what a call says, and what its end proves.
#pragma once

#include "http_client.hpp"
#include "state.hpp"

#include <functional>
#include <string>

namespace cometshift {

class Records {
 public:
  using Then = std::function<void(Outcome, std::string reply)>; // what comes next, handed the end of a call

  Records(asio::io_context& io, const std::string& address, std::size_t most_connections);

  // One for each op at a time: another gives up the first. `then` is called once, never within this call.
  void call(OpId id, Nanos time_out, const std::string& body, Then then);
  void give_up(OpId id) { calls_.give_up(CallId{id.raw}); } // without a word; the connection is closed
  void move_to(const std::string& address); // for calls from now on; those in hand end where they are
  std::size_t connections() const { return calls_.connections(); }

 private:
  asio::ip::tcp::endpoint address_;
  HttpCalls calls_;
};

} // namespace cometshift
