#include "front.hpp"

#include "address.hpp"
#include "frames.hpp"
#include "hex.hpp"
#include "log.hpp"

#include <algorithm>
#include <array>
#include <span>

namespace cometshift {

namespace {

constexpr std::size_t kept_bytes = 8 * 1024; // of a connection's input: the largest request fits twice
constexpr std::size_t most_body = 2 * 1024;  // of a request
constexpr std::size_t most_open = 32;        // requests on a connection
constexpr std::size_t most_text = 64;        // of a mark or a subject
constexpr std::size_t most_used = 64;        // streams remembered beside the first ones, if all are used
constexpr std::size_t most_pending =
    256 * 1024;                          // bytes for a connection: 32 results fit; then its input waits
constexpr std::size_t gathered = 32;     // pieces in one write
constexpr std::size_t piece = 4 * 1024;  // smaller ones are put together
constexpr int reads_a_turn = 4;          // of one connection: the others get their turn
constexpr int accepts_a_turn = 64;       // against a flood of connections: those there are get their turn
constexpr std::size_t endings_part = 24; // of the connections there may be: as many more may be ending
constexpr const char* overrun = "fields that overrun it";
constexpr Nanos ms = 1'000'000;
constexpr std::int64_t latest_time = std::int64_t{1} << 42; // ms: keeps times in whole nanoseconds

} // namespace

Front::Front(asio::io_context& io, const std::string& listen, std::size_t most_connections,
             std::size_t most_waiting, Names names, Handler& taker)
    : io_(io), acceptor_(io), retry_(io), most_connections_(most_connections), most_waiting_(most_waiting),
      names_(std::move(names)), taker_(taker) {
  try {
    const asio::ip::tcp::endpoint at = endpoint_of(listen);
    acceptor_.open(at.protocol());
    acceptor_.set_option(
        asio::socket_base::reuse_address(true)); // against waiting for an earlier life's ends
    acceptor_.bind(at);
    acceptor_.listen();
    acceptor_.non_blocking(true);
    // Against waiting within an accept for the next one: one that left meanwhile is told of.
    acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  } catch (const asio::system_error& e) {
    throw std::invalid_argument("listen: " + listen + ": " + e.code().message());
  }
  accept();
}

// ---- connections come and go

// Nothing is due on it.
bool Front::spare(const Connection& c) const { return c.open.empty() && c.waiting == 0; }

// Against a table full of connections that say nothing while callers wait outside: one goes, in the order
// told. False if it is the newest that has to.
bool Front::make_room() {
  for (const Eviction way : order_) {
    if (way == Eviction::newest) return false;
    for (;;) {
      Connection* goes = nullptr;
      for (auto& [id, c] : connections_)
        if (spare(*c) && c->heard == (way == Eviction::idle) && (!goes || c->last < goes->last))
          goes = c.get();
      if (!goes) break;
      const ConnectionId id = goes->id;
      readable(*goes); // against closing over a request that lies unread
      const auto at = connections_.find(id);
      if (at == connections_.end()) return true;
      if (!spare(*at->second) || at->second->heard != (way == Eviction::idle)) continue;
      tell_no_more(*at->second);
      write(*at->second);
      if (const auto still = connections_.find(id); still != connections_.end()) end(*still->second);
      return true;
    }
  }
  return false;
}

// Takes those that wait to be accepted.
asio::error_code Front::accept_some(int most) {
  asio::error_code error;
  while (most-- > 0) {
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error == asio::error::connection_aborted) { // the others wait on
      error = {};
      continue;
    }
    if (error) break;
    if (connections_.size() >= most_connections_ && !make_room()) {
      note("accept", "no room, closed at once");
      continue; // with nothing read: what was written on it has not run
    }
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const ConnectionId id{next_++};
    Connection& c =
        *connections_.emplace(id, std::make_unique<Connection>(std::move(socket), id)).first->second;
    c.last = c.begun = now_;
    readable(c);
  }
  return error;
}

void Front::accept() {
  if (accepting_ || stopped_accepting_) return;
  accepting_ = true;
  acceptor_.async_wait(asio::socket_base::wait_read, [this](asio::error_code error) {
    accepting_ = false;
    if (stopped_accepting_) return;
    if (!error) error = accept_some(accepts_a_turn);
    if (!error || error == asio::error::would_block || error == asio::error::connection_aborted)
      return accept();
    // Against spinning where no descriptor is free: what waits is accepted when one is.
    note("accept", "%s", error.message().c_str());
    if (!endings_.empty()) endings_.erase(endings_.begin());
    retry_.expires_after(std::chrono::nanoseconds(accept_again_));
    retry_.async_wait([this](asio::error_code stopped) {
      if (!stopped) accept();
    });
  });
}

// Ends one on which all is said.
void Front::end(Connection& c) {
  if (!c.peer_ended) {
    asio::error_code error;
    c.socket.shutdown(asio::socket_base::shutdown_send, error);
    if (!error) {
      endings_.try_emplace(next_ending_, std::move(c.socket), now_);
      linger(next_ending_++);
      // Against those that end taking the descriptors of those that come.
      while (connections_.size() + endings_.size() > most_connections_ + most_connections_ / endings_part + 1)
        endings_.erase(endings_.begin());
    }
  }
  drop(c, nullptr);
}

// Reads and drops what comes on one that ends, to its peer's end; sweep() sets the bound in time.
void Front::linger(std::uint64_t number) {
  const auto at = endings_.find(number);
  if (at == endings_.end()) return;
  std::array<char, kept_bytes> dropped;
  for (int turn = 0; turn < reads_a_turn; ++turn) {
    asio::error_code error;
    const std::size_t n = at->second.socket.read_some(asio::buffer(dropped), error);
    if (error && error != asio::error::would_block) {
      endings_.erase(at);
      return;
    }
    if (error || n < dropped.size()) break;
  }
  at->second.socket.async_wait(asio::socket_base::wait_read, [this, number](asio::error_code stopped) {
    if (!stopped) linger(number);
  });
}

// The one place where a connection is given back.
void Front::drop(Connection& c, const char* why) {
  if (why) note("connection", "closed: %s", why);
  const std::set<StreamId> open = std::move(c.open);
  const ConnectionId id = c.id;
  waiting_ -= c.waiting;
  connections_.erase(id);
  for (const StreamId stream : open) taker_.stream_lost({id, stream});
}

// A frame that is on its way has its time, also past the end: its caller wrote no new one.
bool Front::over(const Connection& c) const {
  if (!c.open.empty() || c.waiting > 0) return false;
  if (c.peer_ended) return true;
  const bool coming = c.filled > 0 && !c.input_ignored && now_ - c.begun < first_word_;
  return !coming && c.draining_since >= 0 && now_ - c.draining_since >= leave_to_end_;
}

void Front::sweep() {
  std::vector<ConnectionId> ended, stuck, slow;
  const Nanos least = std::min(idle_ > 0 ? idle_ : silent_, silent_ > 0 ? silent_ : idle_);
  for (auto& [id, c] : connections_) {
    if (least > 0 && c->open.empty() && now_ - c->last >= least) tell_no_more(*c);
    // Against peers that say nothing, or that never end what they began, however it trickles.
    if (first_word_ > 0 && c->begun >= 0 && now_ - c->begun >= first_word_ && !c->input_ignored)
      c->heard || c->filled > 0 ? slow.push_back(id) : tell_no_more(*c);
    if (over(*c)) ended.push_back(id);
    if (unread_ > 0 && c->writing && now_ - c->stuck_since >= unread_) stuck.push_back(id);
  }
  for (const ConnectionId id : stuck) drop(*connections_.at(id), "it does not read what it is sent");
  for (const ConnectionId id : slow) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) continue;
    const Nanos begun = at->second->begun;
    readable(*at->second); // against ending over the rest of the frame, which may lie unread
    if (const auto still = connections_.find(id);
        still != connections_.end() && still->second->begun == begun && !still->second->input_ignored)
      unreadable(*still->second, "a frame that does not end");
  }
  for (const ConnectionId id : ended) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) continue;
    if (!at->second->peer_ended) readable(*at->second); // against closing over a request that lies unread
    if (const auto still = connections_.find(id); still != connections_.end() && over(*still->second))
      end(*still->second);
  }
  // Against peers that never end.
  while (!endings_.empty() && now_ - endings_.begin()->second.since >= leave_to_end_)
    endings_.erase(endings_.begin());
}

void Front::tell_no_more(Connection& c) {
  if (c.draining_since >= 0) return;
  c.draining_since = now_;
  say(c, [](std::string& out) { frames::put_no_more(out); });
}

void Front::stop_accepting() {
  if (stopped_accepting_) return;
  stopped_accepting_ = true;
  // Against resetting what was connected, and may have been written to, already.
  while (!accept_some(accepts_a_turn)) {
  }
  asio::error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
  for (auto& [id, c] : connections_) tell_no_more(*c);
}

// ---- bytes in

void Front::await_bytes(Connection& c) {
  if (c.reading || c.peer_ended || c.input_ignored || c.waiting > most_pending) return;
  c.reading = true;
  c.socket.async_wait(asio::socket_base::wait_read, [this, id = c.id](asio::error_code error) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) return;
    at->second->reading = false;
    if (error) return drop(*at->second, error.message().c_str());
    readable(*at->second);
  });
}

void Front::readable(Connection& c) {
  if (c.input_ignored) return;
  if (!c.in) c.in = std::make_unique<char[]>(kept_bytes);
  for (int turn = 0; turn < reads_a_turn; ++turn) {
    asio::error_code error;
    const std::size_t room = kept_bytes - c.filled;
    const std::size_t n = c.socket.read_some(asio::buffer(c.in.get() + c.filled, room), error);
    if (error == asio::error::would_block) break;
    if (error == asio::error::eof) {
      c.peer_ended = true;
      if (c.open.empty() && c.waiting == 0) return drop(c, nullptr);
      break;
    }
    if (error) return drop(c, error == asio::error::connection_reset ? nullptr : error.message().c_str());
    if (c.begun < 0) c.begun = now_;
    c.filled += n;
    parse(c);
    if (n < room || c.input_ignored) break;
  }
  if (c.filled == 0) c.in.reset(); // most connections are idle
  await_bytes(c);
}

void Front::parse(Connection& c) {
  std::size_t from = 0;
  while (from < c.filled) {
    const std::size_t left = c.filled - from;
    if (c.input_ignored) {
      from = c.filled;
      break;
    }
    if (c.skip > 0) {
      const std::size_t some = std::min(c.skip, left);
      c.skip -= some;
      from += some;
      if (c.skip == 0) c.begun = from < c.filled ? now_ : -1;
      continue;
    }
    if (left < 4) break;
    const std::uint32_t length = frames::read_le(c.in.get() + from, 4);
    if (!frames::is_valid_length(length)) {
      unreadable(c, "a length out of range");
      continue;
    }
    const std::size_t size = length + 4;
    const bool whole = size <= kept_bytes / 2; // what is larger is not kept: only its head counts
    if (left < (whole ? size : frames::header_size)) break;
    const char* at = c.in.get() + from;
    const std::string_view payload(at + frames::header_size, whole ? size - frames::header_size : 0);
    if (!frame(c, static_cast<std::uint8_t>(at[4]), StreamId{frames::read_le(at + 5, 4)}, payload, whole))
      continue;
    from += whole ? size : frames::header_size;
    if (!whole) c.skip = size - frames::header_size;
    c.heard = true;
    c.last = now_;
    c.begun = c.skip > 0 || from < c.filled ? now_ : -1;
  }
  std::copy(c.in.get() + from, c.in.get() + c.filled, c.in.get());
  c.filled -= from;
}

// Against reading on where frames can't be told from each other any more: the peer is told, what is open is
// settled, and then the connection ends. Others notice nothing.
bool Front::unreadable(Connection& c, const char* why) {
  note("frame", "connection %llu: %s", static_cast<unsigned long long>(c.id.raw), why);
  c.input_ignored = true;
  say(c, [](std::string& out) {
    frames::put_answer(out, frames::response, 0, frames::failed, -1, 0, false, 0);
  });
  tell_no_more(c);
  return false;
}

void Front::penalize(StreamRef line) {
  const auto at = connections_.find(line.connection);
  if (at != connections_.end() && ++at->second->penalties == most_penalties_)
    unreadable(*at->second, "too many ops that can't be taken");
}

bool Front::use_stream(Connection& c, StreamId stream) {
  if (stream <= c.used_to || c.open.contains(stream) || !c.used.insert(stream).second) return false;
  // Against a peer that leaves gaps for ever: some of what it used is forgotten, as any other number is new.
  if (c.used.size() > most_used) c.used.erase(c.used.begin());
  while (!c.used.empty() && c.used.begin()->raw <= c.used_to.raw + 1) {
    c.used_to = std::max(c.used_to, *c.used.begin());
    c.used.erase(c.used.begin());
  }
  return true;
}

bool Front::frame(Connection& c, std::uint8_t type, StreamId stream, std::string_view payload, bool whole) {
  // Against peers that go on for ever after they were told to end. A few frames are read as any: they may
  // have been on the way.
  if (c.draining_since >= 0 && now_ - c.draining_since >= leave_to_end_ && ++c.past_end > most_penalties_)
    return unreadable(c, "goes on after its end");
  if (type == frames::request) return ask(c, stream, payload, whole);
  if (type != frames::health_check) return unreadable(c, "an unknown type");
  std::string_view rest;
  const auto ignore = [](std::string_view, std::string_view) {};
  if (whole && !frames::for_each_field(payload, ignore, rest)) return unreadable(c, overrun);
  say(c, [&](std::string& out) {
    frames::put_answer(out, frames::health_response, stream.raw, good_ ? frames::ok : frames::unhealthy,
                       feedback_, 0, false, 0);
  });
  return true;
}

// A request: false if it can't be read.
bool Front::ask(Connection& c, StreamId stream, std::string_view payload, bool whole) {
  static constexpr std::array<std::string_view, 10> known{"verb",  "txn", "door",     "lb",     "team",
                                                          "limit", "ram", "standing", "unique", "item"};
  std::array<std::string_view, known.size()> value;
  std::array<bool, known.size()> there{};
  bool twice = false;
  std::string_view body;
  const auto take = [&](std::string_view name, std::string_view text) {
    const auto at = static_cast<std::size_t>(std::find(known.begin(), known.end(), name) - known.begin());
    if (at == known.size()) return;
    twice = twice || there[at];
    there[at] = true;
    value[at] = text;
  };
  const bool readable = !whole || frames::for_each_field(payload, take, body);
  const auto& [verb, txn, received_at, lb, team, limit, ram, standing, unique, item] = value;
  if (!readable) return unreadable(c, overrun);
  if (!use_stream(c, stream)) return unreadable(c, "a stream used twice");
  if (!whole) return refuse(c, stream, "too large");
  if (c.open.size() >= most_open) return refuse(c, stream, "too many open on its connection");
  if (twice) return refuse(c, stream, "a field twice");
  if (body.size() > most_body) return refuse(c, stream, "a body too large");
  const auto type = std::find(names_.op_types.begin(), names_.op_types.end(), verb);
  if (type == names_.op_types.end()) return refuse(c, stream, "verb: unknown op type");
  const auto type_at = static_cast<std::size_t>(type - names_.op_types.begin());
  const auto tenant = std::find(names_.tenants.begin(), names_.tenants.end(), team);
  if (!names_.tenants.empty() && tenant == names_.tenants.end())
    return refuse(c, stream, "team: unknown tenant");
  std::uint64_t id = 0;
  std::int64_t door_ms = 0, limit_ms = 0, caller = 0;
  double kb = 0, rank = 0;
  if (!read_hex(txn, id) || id == no_op_id.raw) return refuse(c, stream, "txn");
  if (!frames::read_whole(received_at, door_ms) || door_ms < 0 || door_ms > latest_time)
    return refuse(c, stream, "door");
  if (!frames::read_whole(lb, caller) || caller < 0) return refuse(c, stream, "lb");
  if (there[5] ? !frames::read_whole(limit, limit_ms) || limit_ms <= 0 || limit_ms > latest_time
               : names_.tells_patience)
    return refuse(c, stream, "limit");
  if (!frames::read_number(ram, kb) || kb <= 0 || kb >= 2000) return refuse(c, stream, "ram");
  if (!frames::read_number(standing, rank) || rank < 0 || rank >= 1) return refuse(c, stream, "standing");
  if (names_.marked[type_at] && (unique.empty() || unique.size() > most_text))
    return refuse(c, stream, "unique");
  if (item.size() > most_text) return refuse(c, stream, "item");
  c.open.insert(stream);
  taker_.op_received(
      {c.id, stream}, OpId{id}, OpTypeId{static_cast<std::uint32_t>(type_at)},
      TenantId{names_.tenants.empty() ? 0 : static_cast<std::uint32_t>(tenant - names_.tenants.begin())},
      CallerId{static_cast<std::uint64_t>(caller)}, door_ms * ms, limit_ms * ms, kb, rank, unique, item,
      body);
  return true;
}

// ---- bytes out

// Hands the piece that heads are written to to `put`, and counts what it adds.
template <class Put>
void Front::say(Connection& c, Put put) {
  if (c.out.empty() || c.out.back().size() > piece) c.out.emplace_back();
  const std::size_t before = c.out.back().size();
  put(c.out.back());
  c.waiting += c.out.back().size() - before;
  waiting_ += c.out.back().size() - before;
  mark(c);
}

void Front::mark(Connection& c) {
  if (c.dirty) return;
  c.dirty = true;
  dirty_.push_back(c.id);
}

// Against ops that can be read but not be understood: one answer, and the module hears nothing of them.
bool Front::refuse(Connection& c, StreamId stream, const char* why) {
  note("request", "refused, %s", why);
  c.open.insert(stream);
  refused({c.id, stream}, 0, true);
  penalize({c.id, stream});
  return true;
}

// The connection of a line that is to be answered now; null if it is gone.
Front::Connection* Front::settle(StreamRef line) {
  const auto at = connections_.find(line.connection);
  if (at == connections_.end() || at->second->open.erase(line.stream) == 0) return nullptr;
  at->second->last = now_;
  return at->second.get();
}

void Front::served(StreamRef line, std::string result) {
  Connection* c = settle(line);
  if (!c) return;
  say(*c, [&](std::string& out) {
    frames::put_answer(out, frames::response, line.stream.raw, frames::ok, feedback_, 0, false,
                       result.size());
  });
  c->penalties = 0;
  c->waiting += result.size();
  waiting_ += result.size();
  c->out.push_back(std::move(result));
}

void Front::refused(StreamRef line, Nanos retry_after, bool no_retry) {
  if (Connection* c = settle(line))
    say(*c, [&](std::string& out) {
      frames::put_answer(out, frames::response, line.stream.raw, frames::refused, feedback_, retry_after / ms,
                         no_retry, 0);
    });
}

void Front::failed(StreamRef line) {
  if (Connection* c = settle(line))
    say(*c, [&](std::string& out) {
      frames::put_answer(out, frames::response, line.stream.raw, frames::failed, feedback_, 0, false, 0);
    });
}

void Front::write(Connection& c) {
  while (c.waiting > 0 && !c.writing) {
    std::array<asio::const_buffer, gathered> pieces;
    std::size_t count = 0;
    for (const std::string& part : c.out) {
      if (count == gathered) break;
      const std::size_t done = count == 0 ? c.written : 0;
      pieces[count++] = asio::buffer(part.data() + done, part.size() - done);
    }
    asio::error_code error;
    std::size_t n = c.socket.write_some(std::span(pieces.data(), count), error);
    if (error == asio::error::would_block) {
      c.writing = true;
      c.stuck_since = now_;
      c.socket.async_wait(asio::socket_base::wait_write, [this, id = c.id](asio::error_code stopped) {
        const auto at = connections_.find(id);
        if (at == connections_.end()) return;
        at->second->writing = false;
        if (stopped) return drop(*at->second, stopped.message().c_str());
        mark(*at->second);
      });
      return;
    }
    if (error) return drop(c, nullptr);
    c.waiting -= n;
    waiting_ -= n;
    for (n += c.written; !c.out.empty() && n >= c.out.front().size();) {
      n -= c.out.front().size();
      c.out.pop_front();
    }
    c.written = n;
  }
  if (c.peer_ended && over(c)) return drop(c, nullptr); // others by sweep()
  await_bytes(c);
}

void Front::flush(Nanos now) {
  now_ = now;
  if (now_ - swept_at_ >= leave_to_end_ / 8) {
    swept_at_ = now_;
    sweep();
  }
  for (std::size_t i = 0; i < dirty_.size(); ++i) { // grows where a lost line frees others
    const auto at = connections_.find(dirty_[i]);
    if (at == connections_.end()) continue;
    at->second->dirty = false;
    write(*at->second);
  }
  dirty_.clear();
  while (waiting_ > most_waiting_) { // against peers that never read
    const auto most =
        std::max_element(connections_.begin(), connections_.end(),
                         [](const auto& a, const auto& b) { return a.second->waiting < b.second->waiting; });
    drop(*most->second, "it does not read what it is sent");
  }
}

} // namespace cometshift
