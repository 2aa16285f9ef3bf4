#include "referee.hpp"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/read_until.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <charconv>

namespace cometshift::fleet {

namespace {
constexpr std::size_t max_head_bytes = 4 * 1024;
auto into(asio::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// The text between `before` and the end of its line.
std::string_view rest_of_line_after(std::string_view head, std::string_view before) {
  const std::size_t at = head.find(before);
  if (at == std::string_view::npos) return {};
  const std::string_view rest = head.substr(at + before.size());
  return rest.substr(0, rest.find_first_of("\r\n"));
}
template <class N>
bool parse_integer(std::string_view text, N& value) {
  const auto [end, error_code] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error_code == std::errc() && end == text.data() + text.size();
}
} // namespace

TaskTarget::TaskTarget(asio::io_context& io, asio::ip::tcp::endpoint at, ExclusionChecker& checker,
                       std::function<Nanos()> now, Nanos act_duration)
    : io_(io), checker_(checker), now_(std::move(now)), act_duration_(act_duration),
      listener_(io, at, [this](asio::ip::tcp::socket socket) {
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
      }) {}

asio::awaitable<void> TaskTarget::serve(asio::ip::tcp::socket socket) {
  asio::error_code error;
  std::string head;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(head, max_head_bytes), "\r\n\r\n",
                                  into(error));
  if (error) co_return; // no complete request head
  const std::string_view path = rest_of_line_after(head, "POST /task/");
  const std::string task(path.substr(0, path.find(' ')));
  std::uint64_t token = 0;
  unsigned member = 0;
  if (task.empty() || !parse_integer(rest_of_line_after(head, "Fencing-Token: "), token) ||
      !parse_integer(rest_of_line_after(head, "Member: "), member))
    co_return; // not a request that can be checked
  const bool fences = task.starts_with("fenced");
  const std::size_t act = checker_.begin_act(now_(), task, fences, member, Token{token});
  std::string reply = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  if (checker_.acts()[act].refused) {
    reply = "HTTP/1.1 409 Conflict\r\nGreater-Token: " + std::to_string(checker_.greatest_token(task).raw) +
            "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  } else {
    asio::steady_timer timer(io_, std::chrono::nanoseconds(act_duration_));
    co_await timer.async_wait(into(error));
    checker_.end_act(now_(), act);
  }
  co_await asio::async_write(socket, asio::buffer(reply), into(error));
}

} // namespace cometshift::fleet
