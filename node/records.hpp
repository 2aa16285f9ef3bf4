// Calls to the records service, on HttpCalls: what a call says, and what its end proves.
#pragma once

#include "http_client.hpp"
#include "state.hpp"

#include <functional>
#include <string>

namespace cometshift {

class RecordsClient {
 public:
  using Callback =
      std::function<void(Outcome, std::string reply)>; // what comes next, handed the end of a call

  RecordsClient(asio::io_context& io, const std::string& address, std::size_t max_connections);

  // One for each op at a time: another gives up the first. `then` is called once, never within this call.
  void call(OpId id, Nanos timeout, const std::string& body, Callback callback);
  void cancel(OpId id) { client_.cancel(CallId{id.raw}); } // without a word; the connection is closed
  void set_address(const std::string& address); // for calls from now on; those in hand end where they are
  std::size_t connections() const { return client_.connections(); }

 private:
  asio::ip::tcp::endpoint address_;
  HttpClient client_;
};

} // namespace cometshift
