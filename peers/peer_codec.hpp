// Encoding of the messages between the servers of a fleet (peer_messages.proto); no I/O. Frames are those of
// the balancers' side (node/frames.hpp), with frame types of their own. A payload begins with a checksum of
// eight bytes: XXH3 of the rest, keyed by fleet, sender, recipient and incarnation of the sender, so that
// corrupted bytes and frames of another connection are rejected. This does not protect against forgery; it is
// meant for closed networks.
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>

namespace cometshift::peer_codec {

constexpr std::uint32_t layout = 1;                  // version of the message layout
constexpr std::size_t max_message_bytes = 64 * 1024; // frame size; larger frames are invalid
constexpr std::size_t max_item_bytes = 256;          // the longest name included
constexpr std::size_t max_control_bytes = 8 * 1024;  // of a message passed to `control`
constexpr std::size_t control_item_overhead = 3;     // bytes that `control` adds to the longest message

// Identity of the sender on a connection, from its hello.
struct Sender {
  std::string fleet;
  MemberId from, to;
  Incarnation incarnation;
  std::string listen = {}; // address where it can be dialled, as in the settings files; optional
};

// How often the sender of a message sends one, and how often it wants to receive one while there is nothing
// else to send. Encoded in whole ms, rounded up.
struct HeartbeatTerms {
  Nanos next_within = 0;        // time until the next message at the latest; 0: the build has no such field
  Nanos requested_interval = 0; // longest interval it accepts; 0: as in the settings
  bool isolated = false;        // it receives from no voter, and asks for a connection back
};

// Complete frames.
std::string hello(const Sender& sender);
std::string message(const Sender& sender, std::uint64_t number, std::uint64_t acked,
                    Incarnation acked_incarnation, bool leaving, std::string_view items,
                    const HeartbeatTerms& heartbeat = {});
// Items of a message, which can be concatenated.
std::string ask(Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term);
std::string release(std::string_view lease, AskNo number);
std::string grant(Incarnation to, std::string_view lease, AskNo number, bool wanted);
std::string refuse(Incarnation to, std::string_view lease, AskNo number, Token seen, Nanos left);
std::string done(std::string_view task, Token token, Nanos ago);
std::string voters(Epoch on_file, const VoterList& list);
std::string control(std::string_view bytes); // a message of control_codec; at most `max_control_bytes`

// Whether the recipient responds to this item at once: an ask or a control message, but not a release.
bool expects_response(std::string_view item);

// Receives the content of a message, grouped by the type of item. Views are valid until the call returns.
class Listener {
 public:
  virtual ~Listener() = default;
  // The header, called first. False: the items are skipped.
  virtual bool message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
                       Incarnation acked_incarnation, bool leaving, const HeartbeatTerms& heartbeat) = 0;
  virtual void voters(MemberId from, Epoch on_file, const VoterList& list) = 0; // before all other items
  virtual void asked(MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease,
                     AskNo number, Token token, Nanos term) = 0;
  virtual void released(MemberId from, Incarnation incarnation, std::string_view lease, AskNo number) = 0;
  virtual void granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) = 0;
  virtual void refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
                       Nanos left) = 0;
  virtual void done(MemberId from, std::string_view task, Token token, Nanos ago) = 0;
  virtual void control(MemberId, Incarnation, std::string_view) {} // ignored unless overridden
};

// Decode the payloads of frames. False: the payload is invalid, or of a layout that this build does not know.
bool decode_hello(std::string_view payload, Sender& sender);
bool decode_message(std::string_view payload, const Sender& sender, Listener& listener);

} // namespace cometshift::peer_codec
