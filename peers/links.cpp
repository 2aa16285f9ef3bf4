#include "links.hpp"

#include "frames.hpp"

#include <asio/write.hpp>

#include <chrono>

namespace cometshift {

namespace {

constexpr std::size_t more_incoming = 8;      // than two for each member: one that is going, one that comes
constexpr std::chrono::seconds first_word{2}; // in which a connection has to say who it is
constexpr std::chrono::milliseconds accept_again{100}; // where no descriptor is free
constexpr int sent_ahead =
    32 * 1024; // bytes that the system may hold of letters: what is old there is of no use

} // namespace

Links::Links(asio::io_context& io, Tcp::endpoint listen, words::Speaker self,
             std::map<MemberId, Tcp::endpoint> others, Taker& taker)
    : io_(io), acceptor_(io), retry_(io), self_(std::move(self)), others_(std::move(others)), taker_(taker) {
  try {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(
        asio::socket_base::reuse_address(true)); // against waiting for an earlier life's ends
    acceptor_.bind(listen);
    acceptor_.listen();
    acceptor_.non_blocking(true);
  } catch (const asio::system_error& e) {
    throw std::invalid_argument("fleet listen: " + e.code().message());
  }
  accept();
}

Links::~Links() { close(); }

void Links::close() {
  closed_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
  for (auto& [number, one] : incoming_) {
    one->socket.close(ignored);
    one->timer.cancel();
  }
  incoming_.clear();
  numbers_.clear();
  outgoing_.clear();
}

// ---- those that others dial

void Links::accept_all() {
  for (;;) {
    asio::error_code error;
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) return accept();
    if (error && error != asio::error::connection_aborted) {
      retry_.expires_after(accept_again);
      retry_.async_wait([this](asio::error_code stopped) {
        if (!stopped) accept();
      });
      return;
    }
    if (error) continue;
    // Against any number of connections: what they hold is bounded by it.
    if (incoming_.size() >= 2 * others_.size() + more_incoming) make_room();
    const auto one = std::make_shared<Incoming>(std::move(socket), io_);
    numbers_[one.get()] = next_;
    incoming_.emplace(next_++, one);
    one->timer.expires_after(first_word);
    one->timer.async_wait([this, weak = std::weak_ptr(one)](asio::error_code stopped) {
      const auto held = weak.lock();
      if (!stopped && held && !held->known) end(held, "it does not say who it is");
    });
    read(one);
  }
}

void Links::accept() {
  acceptor_.async_wait(asio::socket_base::wait_read, [this](asio::error_code error) {
    if (!error && !closed_) accept_all();
  });
}

void Links::end(const std::shared_ptr<Incoming>& one, const char* why) {
  const auto at = numbers_.find(one.get());
  if (at == numbers_.end()) return;
  if (why) taker_.remark(std::string("a connection closed: ") + why);
  asio::error_code ignored;
  one->socket.close(ignored);
  one->timer.cancel();
  incoming_.erase(at->second);
  numbers_.erase(at);
}

void Links::make_room() {
  auto oldest = incoming_.begin();
  for (auto at = incoming_.begin(); at != incoming_.end(); ++at)
    if (at->second->heard < oldest->second->heard) oldest = at;
  end(std::shared_ptr(oldest->second), "room for another");
}

// A member that dials anew speaks there: what still lies in an earlier connection of it is old.
void Links::replace(const Incoming& by) {
  std::vector<std::shared_ptr<Incoming>> before;
  for (const auto& [number, one] : incoming_)
    if (one.get() != &by && one->known && one->speaker.from == by.speaker.from &&
        one->speaker.incarnation == by.speaker.incarnation)
      before.push_back(one);
  for (const auto& one : before) end(one, nullptr);
}

void Links::read(const std::shared_ptr<Incoming>& one) {
  one->socket.async_read_some(asio::buffer(one->some), [this, one](asio::error_code error, std::size_t n) {
    if (!numbers_.contains(one.get())) return;
    if (error) return end(one, nullptr);
    one->in.append(one->some, n);
    one->heard = ++heards_;
    const char* why = nullptr;
    if (!parse(*one, why)) return end(one, why);
    if (one->in.empty()) one->in.shrink_to_fit(); // most are idle
    read(one);
  });
}

bool Links::parse(Incoming& one, const char*& why) {
  const std::string_view all = one.in;
  std::size_t from = 0;
  while (all.size() - from >= frames::head_size) {
    const std::uint32_t length = frames::number_at(all.data() + from, 4);
    if (!frames::possible(length) || length + 4 > words::most_letter) return why = "no letter", false;
    if (all.size() - from < length + 4) break;
    const auto type = static_cast<std::uint8_t>(all[from + 4]);
    const std::string_view payload = all.substr(from + frames::head_size, length + 4 - frames::head_size);
    from += length + 4;
    if (!one.known) {
      if (type != frames::peer_hello || !words::read_hello(payload, one.speaker))
        return why = "it says nothing that can be read", false;
      if (one.speaker.fleet != self_.fleet) return why = "of another fleet", false;
      if (one.speaker.to != self_.from) return why = "for another member", false;
      if (!others_.contains(one.speaker.from)) return why = "of no member that is listed", false;
      one.known = true;
      one.timer.cancel();
      replace(one);
    } else if (type != frames::peer_letter || !taker_.letter(one.speaker, payload)) {
      return why = "a letter that can't be read", false;
    }
    if (closed_) return false;
  }
  one.in.erase(0, from);
  return true;
}

// ---- those that this member dials

bool Links::current(MemberId to, const Held& held) const {
  const auto at = outgoing_.find(to);
  return at != outgoing_.end() && at->second == held;
}

void Links::lost(MemberId to, const Held& held) {
  if (!current(to, held)) return;
  outgoing_.erase(to);
  taker_.broken(to);
}

void Links::dial(MemberId to) {
  const auto held = std::make_shared<Outgoing>(io_);
  outgoing_[to] = held;
  held->socket.async_connect(others_.at(to), [this, to, held](asio::error_code error) {
    if (!current(to, held)) return;
    if (error) return lost(to, held);
    asio::error_code ignored;
    held->socket.set_option(Tcp::no_delay(true), ignored);
    held->socket.set_option(asio::socket_base::send_buffer_size(sent_ahead), ignored);
    words::Speaker speaker = self_;
    speaker.to = to;
    held->frame = words::hello(speaker);
    asio::async_write(held->socket, asio::buffer(held->frame),
                      [this, to, held](asio::error_code failed, std::size_t) {
                        if (!current(to, held)) return;
                        if (failed) return lost(to, held);
                        taker_.connected(to);
                      });
    await_end(to, held);
  });
}

void Links::await_end(MemberId to, const Held& held) {
  held->socket.async_read_some(asio::buffer(held->ignored),
                               [this, to, held](asio::error_code error, std::size_t) {
                                 if (error)
                                   lost(to, held);
                                 else if (current(to, held))
                                   await_end(to, held);
                               });
}

void Links::hang_up(MemberId to) {
  const auto at = outgoing_.find(to);
  if (at == outgoing_.end()) return;
  asio::error_code ignored;
  at->second->socket.close(ignored);
  outgoing_.erase(at);
}

void Links::send(MemberId to, std::string frame) {
  const auto at = outgoing_.find(to);
  if (at == outgoing_.end()) return;
  const Held held = at->second;
  held->frame = std::move(frame);
  asio::async_write(held->socket, asio::buffer(held->frame),
                    [this, to, held](asio::error_code error, std::size_t) {
                      if (!current(to, held)) return;
                      if (error) return lost(to, held);
                      taker_.written(to);
                    });
}

} // namespace cometshift
