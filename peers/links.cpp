#include "links.hpp"

#include "frames.hpp"

#include <asio/write.hpp>

#include <chrono>
#include <vector>

namespace cometshift {

namespace {

// Beyond two for each member, of which one may be closing while its replacement is accepted.
constexpr std::size_t spare_incoming = 8;
// Few enough that the hello of a connection is read before later connections can evict it.
constexpr std::size_t accepts_per_event = spare_incoming / 2;
constexpr std::chrono::seconds hello_timeout{2};
constexpr std::chrono::milliseconds accept_retry_delay{100}; // when no file descriptor is free
constexpr std::size_t max_read_bytes = 16 * 1024; // for each turn of a connection, so that others get theirs
constexpr int send_buffer_bytes = 32 * 1024;      // of the system; messages that wait longer are outdated

} // namespace

Links::Links(asio::io_context& io, Tcp::endpoint listen, peer_codec::Sender self,
             std::map<MemberId, Tcp::endpoint> others, Handler& handler)
    : io_(io), acceptor_(io), retry_(io), self_(std::move(self)), others_(std::move(others)),
      handler_(handler), read_buffer_(max_read_bytes, '\0') {
  try {
    acceptor_.open(listen.protocol());
    acceptor_.set_option(
        asio::socket_base::reuse_address(true)); // despite connections of a previous run in TIME_WAIT
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
  for (auto& [number, incoming] : incoming_) {
    incoming->socket.close(ignored);
    incoming->timer.cancel();
  }
  incoming_.clear();
  by_last_read_.clear();
  by_sender_.clear();
  outgoing_.clear();
}

// ---- listed members

void Links::add(MemberId member, Tcp::endpoint at) {
  if (member != self_.from) others_.insert_or_assign(member, at);
}

void Links::remove(MemberId member) {
  if (others_.erase(member) == 0) return;
  disconnect(member);
  const auto at = by_sender_.find(member);
  if (at == by_sender_.end()) return;
  for (const std::uint64_t number : std::set(at->second))
    close_incoming(std::shared_ptr(incoming_.at(number)), nullptr);
}

std::size_t Links::max_incoming() const { return 2 * others_.size() + spare_incoming; }

// ---- incoming connections

void Links::accept_pending() {
  for (std::size_t count = 0; count < accepts_per_event; ++count) {
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
    // Bounds the memory that any number of connections can hold.
    while (incoming_.size() >= max_incoming()) evict_oldest();
    const auto incoming = std::make_shared<Incoming>(std::move(socket), io_);
    incoming->number = next_number_++;
    incoming->socket.non_blocking(true, error);
    incoming_.emplace(incoming->number, incoming);
    by_last_read_.emplace(incoming->last_read, incoming->number);
    incoming->timer.expires_after(hello_timeout);
    incoming->timer.async_wait([this, weak = std::weak_ptr(incoming)](asio::error_code stopped) {
      const auto live = weak.lock();
      if (!stopped && live && !live->identified) close_incoming(live, "no hello within 2 s");
    });
    read(incoming);
  }
  accept();
}

void Links::accept() {
  acceptor_.async_wait(asio::socket_base::wait_read, [this](asio::error_code error) {
    if (!error && !closed_) accept_pending();
  });
}

void Links::close_incoming(const std::shared_ptr<Incoming>& incoming, const char* reason) {
  if (incoming_.erase(incoming->number) == 0) return;
  by_last_read_.erase({incoming->last_read, incoming->number});
  if (const auto at = by_sender_.find(incoming->sender.from);
      incoming->identified && at != by_sender_.end()) {
    at->second.erase(incoming->number);
    if (at->second.empty()) by_sender_.erase(at);
  }
  if (reason) handler_.log_event(std::string("incoming peer connection closed: ") + reason);
  asio::error_code ignored;
  incoming->socket.close(ignored);
  incoming->timer.cancel();
}

void Links::evict_oldest() {
  close_incoming(std::shared_ptr(incoming_.at(by_last_read_.begin()->second)),
                 "too many connections, this one was idle longest");
}

// A member that connects again sends on the new connection; unread bytes of its earlier ones are outdated.
void Links::close_superseded(const Incoming& newer) {
  std::vector<std::shared_ptr<Incoming>> before;
  for (const std::uint64_t number : by_sender_[newer.sender.from])
    if (const auto& incoming = incoming_.at(number); incoming->sender.incarnation == newer.sender.incarnation)
      before.push_back(incoming);
  for (const auto& incoming : before) close_incoming(incoming, nullptr);
  by_sender_[newer.sender.from].insert(newer.number);
}

// Most connections are idle: all of them share one read buffer, and each keeps only an incomplete message.
void Links::read(const std::shared_ptr<Incoming>& incoming) {
  incoming->socket.async_wait(Tcp::socket::wait_read, [this, incoming](asio::error_code error) {
    if (closed_ || !incoming_.contains(incoming->number)) return;
    std::size_t n = 0;
    if (!error) n = incoming->socket.read_some(asio::buffer(read_buffer_), error);
    if (error == asio::error::would_block) return read(incoming);
    if (error) return close_incoming(incoming, nullptr);
    incoming->buffer.append(read_buffer_, 0, n);
    by_last_read_.erase({incoming->last_read, incoming->number});
    incoming->last_read = ++reads_;
    by_last_read_.emplace(incoming->last_read, incoming->number);
    const char* reason = nullptr;
    if (!parse(*incoming, reason)) return close_incoming(incoming, reason);
    if (incoming->buffer.empty()) incoming->buffer.shrink_to_fit();
    read(incoming);
  });
}

bool Links::parse(Incoming& incoming, const char*& reason) {
  const std::string_view all = incoming.buffer;
  std::size_t from = 0;
  while (all.size() - from >= frames::header_size) {
    const std::uint32_t length = frames::read_le(all.data() + from, 4);
    if (!frames::is_valid_length(length) || length + 4 > peer_codec::max_message_bytes)
      return reason = "invalid frame length", false;
    if (all.size() - from < length + 4) break;
    const auto type = static_cast<std::uint8_t>(all[from + 4]);
    const std::string_view payload = all.substr(from + frames::header_size, length + 4 - frames::header_size);
    from += length + 4;
    if (!incoming.identified) {
      if (type != frames::peer_hello || !peer_codec::decode_hello(payload, incoming.sender))
        return reason = "invalid hello", false;
      if (incoming.sender.fleet != self_.fleet) return reason = "hello of another fleet", false;
      if (incoming.sender.to != self_.from) return reason = "hello to another member", false;
      if (!others_.contains(incoming.sender.from) &&
          !(handler_.accept_unlisted(incoming.sender) && others_.contains(incoming.sender.from)))
        return reason = "hello of a member that is not listed", false;
      incoming.identified = true;
      incoming.timer.cancel();
      close_superseded(incoming);
    } else if (type != frames::peer_message || !handler_.message(incoming.sender, payload)) {
      return reason = "invalid message", false;
    }
    if (!incoming_.contains(incoming.number)) return false; // closed or removed meanwhile
  }
  incoming.buffer.erase(0, from);
  return true;
}

// ---- outgoing connections

bool Links::is_current(MemberId to, const OutgoingPtr& outgoing) const {
  const auto at = outgoing_.find(to);
  return at != outgoing_.end() && at->second == outgoing;
}

void Links::outgoing_closed(MemberId to, const OutgoingPtr& outgoing) {
  if (!is_current(to, outgoing)) return;
  outgoing_.erase(to);
  handler_.broken(to);
}

void Links::dial(MemberId to) {
  const auto listed = others_.find(to);
  if (listed == others_.end()) return;
  const auto outgoing = std::make_shared<Outgoing>(io_);
  outgoing_[to] = outgoing;
  outgoing->socket.async_connect(listed->second, [this, to, outgoing](asio::error_code error) {
    if (!is_current(to, outgoing)) return;
    if (error) return outgoing_closed(to, outgoing);
    asio::error_code ignored;
    outgoing->socket.set_option(Tcp::no_delay(true), ignored);
    outgoing->socket.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
    peer_codec::Sender sender = self_;
    sender.to = to;
    outgoing->frame = peer_codec::hello(sender);
    asio::async_write(outgoing->socket, asio::buffer(outgoing->frame),
                      [this, to, outgoing](asio::error_code failed, std::size_t) {
                        if (!is_current(to, outgoing)) return;
                        if (failed) return outgoing_closed(to, outgoing);
                        handler_.connected(to);
                      });
    watch_for_close(to, outgoing);
  });
}

void Links::watch_for_close(MemberId to, const OutgoingPtr& outgoing) {
  outgoing->socket.async_read_some(asio::buffer(outgoing->discarded),
                                   [this, to, outgoing](asio::error_code error, std::size_t) {
                                     if (error)
                                       outgoing_closed(to, outgoing);
                                     else if (is_current(to, outgoing))
                                       watch_for_close(to, outgoing);
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
  const OutgoingPtr outgoing = at->second;
  outgoing->frame = std::move(frame);
  asio::async_write(outgoing->socket, asio::buffer(outgoing->frame),
                    [this, to, outgoing](asio::error_code error, std::size_t) {
                      if (!is_current(to, outgoing)) return;
                      if (error) return outgoing_closed(to, outgoing);
                      handler_.written(to);
                    });
}

} // namespace cometshift
