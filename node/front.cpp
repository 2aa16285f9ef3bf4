#include "front.hpp"

#include "frames.hpp"
#include "hex.hpp"
#include "log.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <sys/socket.h>

namespace cometshift {

namespace {

constexpr std::size_t input_buffer_bytes = 8 * 1024; // per connection; the largest request fits twice
constexpr std::size_t max_body_bytes = 2 * 1024;     // per request
constexpr std::size_t max_open_streams = 32;         // per connection
constexpr std::size_t max_text_bytes = 64;           // of an idempotency key or an item
constexpr std::size_t max_remembered_streams = 64;   // used streams above the first gap
// Bytes per connection. 32 results fit; above that, no further input is read from it.
constexpr std::size_t max_unread_output = 256 * 1024;
constexpr std::size_t max_write_pieces = 32;      // buffers per gathered write
constexpr std::size_t min_piece_bytes = 4 * 1024; // smaller pieces of output are merged
constexpr int reads_per_turn = 4;                 // per connection, so that others are not starved
constexpr std::size_t lingering_divisor = 24;     // this part of max_connections may linger in addition
constexpr const char* fields_overrun = "fields overrun the payload";
constexpr Nanos ms = 1'000'000;
constexpr std::int64_t max_time_ms = std::int64_t{1} << 42; // in nanoseconds it still fits 64 bits

} // namespace

Front::Front(asio::io_context& io, const std::string& listen, std::size_t max_connections,
             std::size_t max_pending_bytes, Names names, Clock& clock, Handler& handler)
    : max_connections_(max_connections), max_pending_bytes_(max_pending_bytes), names_(std::move(names)),
      clock_(clock), handler_(handler), listener_(io, listen, *this) {}

// ---- accepting and closing connections

bool Front::is_idle(const Connection& c) const { return c.open_streams.empty() && c.pending_bytes == 0; }

// Closes one connection without open streams or pending output, so that a full table of idle connections does
// not keep callers out. Candidates are chosen by the eviction order. Returns false if there is none before
// the order comes to the newest connection, which then has to be closed.
bool Front::evict_one() {
  for (const Eviction criterion : eviction_order_) {
    if (criterion == Eviction::newest) return false;
    for (;;) {
      Connection* victim = nullptr;
      for (auto& [id, c] : connections_)
        if (is_idle(*c) && c->received_frame == (criterion == Eviction::idle) &&
            (!victim || c->last_activity < victim->last_activity))
          victim = c.get();
      if (!victim) break;
      const ConnectionId id = victim->id;
      on_readable(*victim); // a request may be waiting in the socket buffer
      const auto at = connections_.find(id);
      if (at == connections_.end()) return true;
      if (!is_idle(*at->second) || at->second->received_frame != (criterion == Eviction::idle)) continue;
      send_go_away(*at->second);
      write_output(*at->second);
      if (const auto still = connections_.find(id); still != connections_.end())
        close_gracefully(*still->second);
      return true;
    }
  }
  return false;
}

void Front::accepted(asio::ip::tcp::socket socket) {
  if (connections_.size() >= max_connections_ && !evict_one()) {
    log_info("accept", "connection table full, new connection closed");
    return; // nothing was read from it, so no op of it has run
  }
  asio::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const ConnectionId id{next_connection_++};
  Connection& c =
      *connections_.emplace(id, std::make_unique<Connection>(std::move(socket), id)).first->second;
  c.last_activity = c.frame_began = clock_.now();
  on_readable(c);
  if (!listener_.closing()) return;
  const auto at = connections_.find(id);
  if (at == connections_.end()) return;
  send_go_away(*at->second);
  write_output(*at->second); // a connection with pending output can't be evicted for the next one
}

void Front::free_descriptor() {
  if (!lingering_.empty()) lingering_.erase(lingering_.begin());
}

// While connections are left, as each of them ends; and for a while in any case, as calls end too.
bool Front::may_free_descriptor() const {
  return !connections_.empty() || !lingering_.empty() || clock_.now() - stopped_accepting_at_ < drain_delay_;
}

// Closes a connection whose output is complete. Lingers unless the peer has already closed its side.
void Front::close_gracefully(Connection& c) {
  if (!c.peer_closed) {
    asio::error_code error;
    c.socket.shutdown(asio::socket_base::shutdown_send, error);
    if (!error) {
      lingering_.try_emplace(next_lingering_, std::move(c.socket), clock_.now());
      drain_lingering(next_lingering_++);
      // Lingering connections must not use up the descriptors of new ones.
      while (connections_.size() + lingering_.size() >
             max_connections_ + max_connections_ / lingering_divisor + 1)
        lingering_.erase(lingering_.begin());
    }
  }
  remove(c, nullptr);
}

// Reads and discards the input of a lingering connection until its peer closes; check_timeouts() bounds the
// time.
void Front::drain_lingering(std::uint64_t number) {
  const auto at = lingering_.find(number);
  if (at == lingering_.end()) return;
  std::array<char, input_buffer_bytes> dropped;
  for (int turn = 0; turn < reads_per_turn; ++turn) {
    asio::error_code error;
    const std::size_t n = at->second.socket.read_some(asio::buffer(dropped), error);
    if (error && error != asio::error::would_block) {
      lingering_.erase(at);
      return;
    }
    if (error || n < dropped.size()) break;
  }
  at->second.socket.async_wait(asio::socket_base::wait_read, [this, number](asio::error_code stopped) {
    if (!stopped) drain_lingering(number);
  });
}

// The only place where a connection is released.
void Front::remove(Connection& c, const char* reason) {
  if (reason) log_info("connection", "closed: %s", reason);
  const std::set<StreamId> lost = std::move(c.open_streams);
  const ConnectionId id = c.id;
  pending_bytes_ -= c.pending_bytes;
  connections_.erase(id);
  for (const StreamId stream : lost) handler_.stream_lost({id, stream});
}

// A frame that is partly received may complete within its timeout even after the drain delay: its caller
// began it before it knew.
bool Front::may_close(const Connection& c, Nanos now) const {
  if (!c.open_streams.empty() || c.pending_bytes > 0) return false;
  if (c.peer_closed) return true;
  const bool frame_in_progress = c.filled > 0 && !c.input_ignored && now - c.frame_began < frame_timeout_;
  return !frame_in_progress && c.draining_since >= 0 && now - c.draining_since >= drain_delay_;
}

void Front::check_timeouts(Nanos now) {
  std::vector<ConnectionId> ended, stuck, slow;
  const Nanos timeout = std::min(idle_timeout_ > 0 ? idle_timeout_ : silence_timeout_,
                                 silence_timeout_ > 0 ? silence_timeout_ : idle_timeout_);
  for (auto& [id, c] : connections_) {
    if (timeout > 0 && c->open_streams.empty() && now - c->last_activity >= timeout) send_go_away(*c);
    // Peers that send nothing, or that never complete a frame, even if its bytes keep trickling in.
    if (frame_timeout_ > 0 && c->frame_began >= 0 && now - c->frame_began >= frame_timeout_ &&
        !c->input_ignored)
      c->received_frame || c->filled > 0 ? slow.push_back(id) : send_go_away(*c);
    if (may_close(*c, now)) ended.push_back(id);
    if (write_stall_timeout_ > 0 && c->write_pending && now - c->write_blocked_since >= write_stall_timeout_)
      stuck.push_back(id);
  }
  for (const ConnectionId id : stuck) remove(*connections_.at(id), "the peer does not read its responses");
  for (const ConnectionId id : slow) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) continue;
    const Nanos frame_began = at->second->frame_began;
    on_readable(*at->second); // the rest of the frame may be waiting in the socket buffer
    if (const auto still = connections_.find(id); still != connections_.end() &&
                                                  still->second->frame_began == frame_began &&
                                                  !still->second->input_ignored)
      reject_input(*still->second, "frame not completed in time");
  }
  for (const ConnectionId id : ended) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) continue;
    if (!at->second->peer_closed) on_readable(*at->second); // a request may be waiting
    if (const auto still = connections_.find(id);
        still != connections_.end() && may_close(*still->second, now))
      close_gracefully(*still->second);
  }
  // Peers that never close their side.
  while (!lingering_.empty() && now - lingering_.begin()->second.since >= drain_delay_)
    lingering_.erase(lingering_.begin());
}

void Front::send_go_away(Connection& c) {
  if (c.draining_since >= 0) return;
  c.draining_since = clock_.now();
  enqueue(c, [](std::string& output) { frames::put_go_away(output); });
}

void Front::stop_accepting() {
  const bool first_call = !listener_.closing();
  if (first_call) stopped_accepting_at_ = clock_.now();
  listener_.close_after_pending();
  if (!first_call) return;
  for (auto& [id, c] : connections_) send_go_away(*c);
}

// ---- input

void Front::wait_readable(Connection& c) {
  if (c.read_pending || c.peer_closed || c.input_ignored || c.pending_bytes > max_unread_output) return;
  c.read_pending = true;
  c.socket.async_wait(asio::socket_base::wait_read, [this, id = c.id](asio::error_code error) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) return;
    at->second->read_pending = false;
    if (error) return remove(*at->second, error.message().c_str());
    on_readable(*at->second);
  });
}

// Whether the peer has reset the connection. What it had written before can still be read then, but its
// answers can't be delivered.
bool Front::was_reset(Connection& c) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(c.socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error != 0;
}

void Front::on_readable(Connection& c) {
  if (c.input_ignored) return;
  if (was_reset(c)) return remove(c, nullptr);
  if (!c.input) c.input = std::make_unique<char[]>(input_buffer_bytes);
  for (int turn = 0; turn < reads_per_turn; ++turn) {
    asio::error_code error;
    const std::size_t room = input_buffer_bytes - c.filled;
    const std::size_t n = c.socket.read_some(asio::buffer(c.input.get() + c.filled, room), error);
    if (error == asio::error::would_block) break;
    if (error == asio::error::eof) {
      c.peer_closed = true;
      if (c.open_streams.empty() && c.pending_bytes == 0) return remove(c, nullptr);
      break;
    }
    if (error) return remove(c, error == asio::error::connection_reset ? nullptr : error.message().c_str());
    const Nanos read_at = clock_.now();
    if (c.frame_began < 0) c.frame_began = read_at;
    c.filled += n;
    parse_frames(c, read_at);
    if (n < room || c.input_ignored) break;
  }
  if (c.filled == 0) c.input.reset(); // most connections are idle: don't hold their buffers
  wait_readable(c);
}

void Front::parse_frames(Connection& c, Nanos read_at) {
  std::size_t from = 0;
  while (from < c.filled) {
    const std::size_t remaining = c.filled - from;
    if (c.input_ignored) {
      from = c.filled;
      break;
    }
    if (c.skip_bytes > 0) {
      const std::size_t some = std::min(c.skip_bytes, remaining);
      c.skip_bytes -= some;
      from += some;
      if (c.skip_bytes == 0) c.frame_began = from < c.filled ? read_at : -1;
      continue;
    }
    if (remaining < 4) break;
    const std::uint32_t length = frames::read_le(c.input.get() + from, 4);
    if (!frames::is_valid_length(length)) {
      reject_input(c, "frame length out of range");
      continue;
    }
    const std::size_t size = length + 4;
    const bool whole = size <= input_buffer_bytes / 2; // of larger frames only the header is read
    if (remaining < (whole ? size : frames::header_size)) break;
    const char* at = c.input.get() + from;
    const std::string_view payload(at + frames::header_size, whole ? size - frames::header_size : 0);
    if (!handle_frame(c, read_at, static_cast<std::uint8_t>(at[4]), StreamId{frames::read_le(at + 5, 4)},
                      payload, whole))
      continue;
    from += whole ? size : frames::header_size;
    if (!whole) c.skip_bytes = size - frames::header_size;
    c.received_frame = true;
    c.last_activity = read_at;
    c.frame_began = c.skip_bytes > 0 || from < c.filled ? read_at : -1;
  }
  std::copy(c.input.get() + from, c.input.get() + c.filled, c.input.get());
  c.filled -= from;
}

// Stops parsing a connection's input, as frame boundaries can't be found any more. The peer is notified, open
// streams still get their responses, and then the connection ends. Other connections are not affected.
bool Front::reject_input(Connection& c, const char* reason) {
  log_info("frame", "connection %llu: %s", static_cast<unsigned long long>(c.id.raw), reason);
  c.input_ignored = true;
  enqueue(c, [](std::string& output) {
    frames::put_response(output, frames::response, 0, frames::failed, -1, 0, false, 0);
  });
  send_go_away(c);
  return false;
}

void Front::penalize(StreamRef ref) {
  const auto at = connections_.find(ref.connection);
  if (at != connections_.end() && ++at->second->invalid_ops == max_invalid_ops_)
    reject_input(*at->second, "too many invalid ops");
}

bool Front::claim_stream(Connection& c, StreamId stream) {
  if (stream <= c.used_through || c.open_streams.contains(stream) || !c.used_above.insert(stream).second)
    return false;
  // Bounds memory for peers that leave gaps: the lowest remembered stream is forgotten and would be taken as
  // new.
  if (c.used_above.size() > max_remembered_streams) c.used_above.erase(c.used_above.begin());
  while (!c.used_above.empty() && c.used_above.begin()->raw <= c.used_through.raw + 1) {
    c.used_through = std::max(c.used_through, *c.used_above.begin());
    c.used_above.erase(c.used_above.begin());
  }
  return true;
}

bool Front::handle_frame(Connection& c, Nanos read_at, std::uint8_t type, StreamId stream,
                         std::string_view payload, bool whole) {
  // Bounds peers that keep sending after go_away. A few frames are accepted: they may have been in transit.
  if (c.draining_since >= 0 && read_at - c.draining_since >= drain_delay_ &&
      ++c.frames_after_drain > max_invalid_ops_)
    return reject_input(c, "too many frames after go_away");
  if (type == frames::request) return handle_request(c, stream, payload, whole);
  if (type != frames::health_check) return reject_input(c, "unknown frame type");
  std::string_view rest;
  const auto ignore = [](std::string_view, std::string_view) {};
  if (whole && !frames::for_each_field(payload, ignore, rest)) return reject_input(c, fields_overrun);
  enqueue(c, [&](std::string& output) {
    frames::put_response(output, frames::health_response, stream.raw,
                         healthy_ ? frames::ok : frames::unhealthy, feedback_, 0, false, 0);
  });
  return true;
}

// Decodes a request into an op. Returns false if the input can't be parsed any further.
bool Front::handle_request(Connection& c, StreamId stream, std::string_view payload, bool whole) {
  static constexpr std::array<std::string_view, 10> known{"verb",  "txn", "door",     "lb",     "team",
                                                          "limit", "ram", "standing", "unique", "item"};
  std::array<std::string_view, known.size()> value;
  std::array<bool, known.size()> present{};
  bool duplicate_field = false;
  std::string_view body;
  const auto take = [&](std::string_view name, std::string_view text) {
    const auto at = static_cast<std::size_t>(std::find(known.begin(), known.end(), name) - known.begin());
    if (at == known.size()) return;
    duplicate_field = duplicate_field || present[at];
    present[at] = true;
    value[at] = text;
  };
  const bool fields_valid = !whole || frames::for_each_field(payload, take, body);
  const auto& [verb, txn, received_at, lb, team, limit, ram, standing, unique, item] = value;
  if (!fields_valid) return reject_input(c, fields_overrun);
  if (!claim_stream(c, stream)) return reject_input(c, "stream number reused");
  if (!whole) return refuse_request(c, stream, "frame too large");
  if (c.open_streams.size() >= max_open_streams)
    return refuse_request(c, stream, "too many open streams on its connection");
  if (duplicate_field) return refuse_request(c, stream, "duplicate field");
  if (body.size() > max_body_bytes) return refuse_request(c, stream, "body too large");
  const auto type = std::find(names_.op_types.begin(), names_.op_types.end(), verb);
  if (type == names_.op_types.end()) return refuse_request(c, stream, "verb: unknown op type");
  const auto type_at = static_cast<std::size_t>(type - names_.op_types.begin());
  const auto tenant = std::find(names_.tenants.begin(), names_.tenants.end(), team);
  if (!names_.tenants.empty() && tenant == names_.tenants.end())
    return refuse_request(c, stream, "team: unknown tenant");
  std::uint64_t id = 0;
  std::int64_t received_at_ms = 0, limit_ms = 0, caller = 0;
  double held_kb = 0, rank = 0;
  if (!read_hex(txn, id) || id == no_op_id.raw) return refuse_request(c, stream, "invalid txn");
  if (!frames::parse_integer(received_at, received_at_ms) || received_at_ms < 0 ||
      received_at_ms > max_time_ms)
    return refuse_request(c, stream, "invalid door");
  if (!frames::parse_integer(lb, caller) || caller < 0) return refuse_request(c, stream, "invalid lb");
  if (present[5] ? !frames::parse_integer(limit, limit_ms) || limit_ms <= 0 || limit_ms > max_time_ms
                 : names_.limit_required)
    return refuse_request(c, stream, "invalid limit");
  if (!frames::parse_number(ram, held_kb) || held_kb <= 0 || held_kb >= 2000)
    return refuse_request(c, stream, "invalid ram");
  if (!frames::parse_number(standing, rank) || rank < 0 || rank >= 1)
    return refuse_request(c, stream, "invalid standing");
  if (names_.keyed[type_at] && (unique.empty() || unique.size() > max_text_bytes))
    return refuse_request(c, stream, "invalid unique");
  if (item.size() > max_text_bytes) return refuse_request(c, stream, "invalid item");
  c.open_streams.insert(stream);
  handler_.op_received(
      {c.id, stream}, OpId{id}, OpTypeId{static_cast<std::uint32_t>(type_at)},
      TenantId{names_.tenants.empty() ? 0 : static_cast<std::uint32_t>(tenant - names_.tenants.begin())},
      CallerId{static_cast<std::uint64_t>(caller)}, received_at_ms * ms, limit_ms * ms, held_kb, rank, unique,
      item, body);
  return true;
}

// ---- output

// Calls `put` with the piece of output to append to, and accounts for the bytes that it adds.
template <class Put>
void Front::enqueue(Connection& c, Put put) {
  if (c.output.empty() || c.output.back().size() > min_piece_bytes) c.output.emplace_back();
  const std::size_t before = c.output.back().size();
  put(c.output.back());
  c.pending_bytes += c.output.back().size() - before;
  pending_bytes_ += c.output.back().size() - before;
  mark_dirty(c);
}

void Front::mark_dirty(Connection& c) {
  if (c.dirty) return;
  c.dirty = true;
  dirty_.push_back(c.id);
}

// Responds to a request that is well-formed but invalid; it is not passed on to the handler.
bool Front::refuse_request(Connection& c, StreamId stream, const char* reason) {
  log_info("request", "refused, %s", reason);
  c.open_streams.insert(stream);
  refused({c.id, stream}, 0, true);
  penalize({c.id, stream});
  return true;
}

// Closes an open stream, whose response is to be written now. Returns its connection; null if the stream or
// the connection is gone.
Front::Connection* Front::take_stream(StreamRef ref) {
  const auto at = connections_.find(ref.connection);
  if (at == connections_.end() || at->second->open_streams.erase(ref.stream) == 0) return nullptr;
  at->second->last_activity = clock_.now();
  return at->second.get();
}

void Front::served(StreamRef ref, std::string result) {
  Connection* c = take_stream(ref);
  if (!c) return;
  enqueue(*c, [&](std::string& output) {
    frames::put_response(output, frames::response, ref.stream.raw, frames::ok, feedback_, 0, false,
                         result.size());
  });
  c->invalid_ops = 0;
  c->pending_bytes += result.size();
  pending_bytes_ += result.size();
  c->output.push_back(std::move(result));
}

void Front::refused(StreamRef ref, Nanos retry_after, bool no_retry) {
  if (Connection* c = take_stream(ref))
    enqueue(*c, [&](std::string& output) {
      frames::put_response(output, frames::response, ref.stream.raw, frames::refused, feedback_,
                           retry_after / ms, no_retry, 0);
    });
}

void Front::failed(StreamRef ref) {
  if (Connection* c = take_stream(ref))
    enqueue(*c, [&](std::string& output) {
      frames::put_response(output, frames::response, ref.stream.raw, frames::failed, feedback_, 0, false, 0);
    });
}

void Front::write_output(Connection& c) {
  while (c.pending_bytes > 0 && !c.write_pending) {
    std::array<asio::const_buffer, max_write_pieces> pieces;
    std::size_t count = 0;
    for (const std::string& part : c.output) {
      if (count == max_write_pieces) break;
      const std::size_t done = count == 0 ? c.written : 0;
      pieces[count++] = asio::buffer(part.data() + done, part.size() - done);
    }
    asio::error_code error;
    std::size_t n = c.socket.write_some(std::span(pieces.data(), count), error);
    if (error == asio::error::would_block) {
      c.write_pending = true;
      c.write_blocked_since = clock_.now();
      c.socket.async_wait(asio::socket_base::wait_write, [this, id = c.id](asio::error_code stopped) {
        const auto at = connections_.find(id);
        if (at == connections_.end()) return;
        at->second->write_pending = false;
        if (stopped) return remove(*at->second, stopped.message().c_str());
        mark_dirty(*at->second);
      });
      return;
    }
    if (error) return remove(c, nullptr);
    c.pending_bytes -= n;
    pending_bytes_ -= n;
    for (n += c.written; !c.output.empty() && n >= c.output.front().size();) {
      n -= c.output.front().size();
      c.output.pop_front();
    }
    c.written = n;
  }
  if (c.peer_closed && may_close(c, clock_.now()))
    return remove(c, nullptr); // the rest is left to check_timeouts()
  wait_readable(c);
}

void Front::flush() {
  const Nanos now = clock_.now();
  if (now - timeouts_checked_at_ >= drain_delay_ / 8) {
    timeouts_checked_at_ = now;
    check_timeouts(now);
  }
  for (std::size_t i = 0; i < dirty_.size(); ++i) { // may grow: a lost stream can lead to more responses
    const auto at = connections_.find(dirty_[i]);
    if (at == connections_.end()) continue;
    at->second->dirty = false;
    write_output(*at->second);
  }
  dirty_.clear();
  while (pending_bytes_ > max_pending_bytes_) { // peers that never read
    const auto most =
        std::max_element(connections_.begin(), connections_.end(), [](const auto& a, const auto& b) {
          return a.second->pending_bytes < b.second->pending_bytes;
        });
    remove(*most->second, "the peer does not read its responses");
  }
}

} // namespace cometshift
