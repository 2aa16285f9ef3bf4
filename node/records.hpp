// Client of the records service: encodes calls and interprets what their ends prove.
#pragma once

#include "http_client.hpp"
#include "state.hpp"

#include <functional>
#include <string>

namespace cometshift {

// Makes the calls that runs request.
class RecordsClient {
 public:
  using Callback = std::function<void(Outcome, std::string reply)>;

  RecordsClient(asio::io_context& io, const std::string& address, std::size_t max_connections);

  // Starts a call; a call in progress for the same op is cancelled. `callback` is called once, never from
  // within this function, and not at all if the call is cancelled.
  void call(OpId id, Nanos timeout, const std::string& body, Callback callback);
  // Closes the connection; the callback is not called.
  void cancel(OpId id) { client_.cancel(CallId{id.raw}); }
  // Applies to new calls; calls in flight finish at the old address.
  void set_address(const std::string& address);
  std::size_t connections() const { return client_.connections(); }

 private:
  asio::ip::tcp::endpoint address_;
  HttpClient client_;
};

} // namespace cometshift
