#include "links.hpp"

#include "frames.hpp"

#include <asio/write.hpp>

#include <chrono>
#include <vector>

namespace cometshift {

namespace {

constexpr std::size_t more_incoming = 8;      // than two for each member: one that is going, one that comes
constexpr std::chrono::seconds first_word{2}; // in which a connection has to say who it is
constexpr std::chrono::milliseconds accept_retry_delay{100}; // where no descriptor is free
constexpr std::size_t read_at_once = 16 * 1024;              // bytes: others have their turn between
constexpr int sent_ahead =
    32 * 1024; // bytes that the system may hold of messages: what is old there is of no use

} // namespace

Links::Links(asio::io_context& io, Tcp::endpoint listen, peer_codec::Sender self,
             std::map<MemberId, Tcp::endpoint> others, Handler& taker)
    : io_(io), acceptor_(io), retry_(io), self_(std::move(self)), others_(std::move(others)), taker_(taker),
      some_(read_at_once, '\0') {
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
  by_heard_.clear();
  by_speaker_.clear();
  outgoing_.clear();
}

// ---- who is listed

void Links::add(MemberId member, Tcp::endpoint at) {
  if (member != self_.from) others_.insert_or_assign(member, at);
}

void Links::remove(MemberId member) {
  if (others_.erase(member) == 0) return;
  disconnect(member);
  const auto at = by_speaker_.find(member);
  if (at == by_speaker_.end()) return;
  for (const std::uint64_t number : std::set(at->second)) end(std::shared_ptr(incoming_.at(number)), nullptr);
}

std::size_t Links::most_incoming() const { return 2 * others_.size() + more_incoming; }

// ---- those that others dial

void Links::accept_all() {
  for (;;) {
    asio::error_code error;
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) return accept();
    if (error && error != asio::error::connection_aborted) {
      retry_.expires_after(accept_retry_delay);
      retry_.async_wait([this](asio::error_code stopped) {
        if (!stopped) accept();
      });
      return;
    }
    if (error) continue;
    // Against any number of connections: what they hold is bounded by it.
    while (incoming_.size() >= most_incoming()) make_room();
    const auto one = std::make_shared<Incoming>(std::move(socket), io_);
    one->number = next_++;
    one->socket.non_blocking(true, error);
    incoming_.emplace(one->number, one);
    by_heard_.emplace(one->heard, one->number);
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
  if (incoming_.erase(one->number) == 0) return;
  by_heard_.erase({one->heard, one->number});
  if (const auto at = by_speaker_.find(one->sender.from); one->known && at != by_speaker_.end()) {
    at->second.erase(one->number);
    if (at->second.empty()) by_speaker_.erase(at);
  }
  if (why) taker_.log_event(std::string("a connection closed: ") + why);
  asio::error_code ignored;
  one->socket.close(ignored);
  one->timer.cancel();
}

void Links::make_room() { end(std::shared_ptr(incoming_.at(by_heard_.begin()->second)), "room for another"); }

// A member that dials anew speaks there: what still lies in an earlier connection of it is old.
void Links::replace(const Incoming& by) {
  std::vector<std::shared_ptr<Incoming>> before;
  for (const std::uint64_t number : by_speaker_[by.sender.from])
    if (const auto& one = incoming_.at(number); one->sender.incarnation == by.sender.incarnation)
      before.push_back(one);
  for (const auto& one : before) end(one, nullptr);
  by_speaker_[by.sender.from].insert(by.number);
}

// Most are idle: what is read of any of them passes through one place, and each keeps what is no message yet.
void Links::read(const std::shared_ptr<Incoming>& one) {
  one->socket.async_wait(Tcp::socket::wait_read, [this, one](asio::error_code error) {
    if (closed_ || !incoming_.contains(one->number)) return;
    std::size_t n = 0;
    if (!error) n = one->socket.read_some(asio::buffer(some_), error);
    if (error == asio::error::would_block) return read(one);
    if (error) return end(one, nullptr);
    one->in.append(some_, 0, n);
    by_heard_.erase({one->heard, one->number});
    one->heard = ++heards_;
    by_heard_.emplace(one->heard, one->number);
    const char* why = nullptr;
    if (!parse(*one, why)) return end(one, why);
    if (one->in.empty()) one->in.shrink_to_fit();
    read(one);
  });
}

bool Links::parse(Incoming& one, const char*& why) {
  const std::string_view all = one.in;
  std::size_t from = 0;
  while (all.size() - from >= frames::header_size) {
    const std::uint32_t length = frames::read_le(all.data() + from, 4);
    if (!frames::is_valid_length(length) || length + 4 > peer_codec::most_letter)
      return why = "no letter", false;
    if (all.size() - from < length + 4) break;
    const auto type = static_cast<std::uint8_t>(all[from + 4]);
    const std::string_view payload = all.substr(from + frames::header_size, length + 4 - frames::header_size);
    from += length + 4;
    if (!one.known) {
      if (type != frames::peer_hello || !peer_codec::decode_hello(payload, one.sender))
        return why = "it says nothing that can be read", false;
      if (one.sender.fleet != self_.fleet) return why = "of another fleet", false;
      if (one.sender.to != self_.from) return why = "for another member", false;
      if (!others_.contains(one.sender.from) &&
          !(taker_.accept_unlisted(one.sender) && others_.contains(one.sender.from)))
        return why = "of no member that is listed", false;
      one.known = true;
      one.timer.cancel();
      replace(one);
    } else if (type != frames::peer_message || !taker_.message(one.sender, payload)) {
      return why = "a letter that can't be read", false;
    }
    if (!incoming_.contains(one.number)) return false; // closed or removed meanwhile
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
  const auto listed = others_.find(to);
  if (listed == others_.end()) return;
  const auto held = std::make_shared<Outgoing>(io_);
  outgoing_[to] = held;
  held->socket.async_connect(listed->second, [this, to, held](asio::error_code error) {
    if (!current(to, held)) return;
    if (error) return lost(to, held);
    asio::error_code ignored;
    held->socket.set_option(Tcp::no_delay(true), ignored);
    held->socket.set_option(asio::socket_base::send_buffer_size(sent_ahead), ignored);
    peer_codec::Sender sender = self_;
    sender.to = to;
    held->frame = peer_codec::hello(sender);
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

void Links::disconnect(MemberId to) {
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
