// The words that servers of a fleet say to each other, as bytes and back, no I/O (peer_messages.proto). A
// frame is as on the balancers' side (node/frames.hpp), in a range of types of its own; its payload begins
// with eight bytes, XXH3 of the rest keyed by who says it to whom in which incarnation: a byte that was
// spoilt on the way, or a frame of another connection, is not taken for a word. That is no protection against
// forgers: it is for closed networks.
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>

namespace cometshift::peer_codec {

constexpr std::uint32_t layout = 1;
constexpr std::size_t max_message_bytes = 64 * 1024; // bytes of a frame; what is larger is no message
constexpr std::size_t max_item_bytes = 256;          // bytes, the longest name included
constexpr std::size_t max_control_bytes = 8 * 1024;  // bytes of one that `control` takes
constexpr std::size_t control_item_overhead = 3;     // bytes that it adds to the longest

// Who speaks on a connection, told first.
struct Sender {
  std::string fleet;
  MemberId from, to;
  Incarnation incarnation;
  std::string listen = {}; // where it can be dialled, if it says so: an address as the files have it
};

// How often the writer of a message writes, and wants to be written to where nothing else is to be said.
// Whole ms, rounded up.
struct HeartbeatTerms {
  Nanos next_within = 0;        // another message follows within this; 0: of a build that knows of no rhythm
  Nanos requested_interval = 0; // one each so often is enough; 0: as the figures have it
  bool isolated = false;        // it hears no voter, and asks for a line back
};

// Whole frames.
std::string hello(const Sender& sender);
std::string message(const Sender& sender, std::uint64_t number, std::uint64_t acked,
                    Incarnation acked_incarnation, bool leaving, std::string_view items,
                    const HeartbeatTerms& heartbeat = {});
// Parts of a message, to be put behind each other.
std::string ask(Epoch epoch, std::string_view lease, AskNo number, Token token, Nanos term);
std::string release(std::string_view lease, AskNo number);
std::string grant(Incarnation to, std::string_view lease, AskNo number, bool wanted);
std::string refuse(Incarnation to, std::string_view lease, AskNo number, Token seen, Nanos left);
std::string done(std::string_view task, Token token, Nanos ago);
std::string voters(Epoch on_file, const VoterList& list);
std::string control(std::string_view bytes); // as the control part has them; at most `most_control`

// Whether such a part is answered at once: an ask or a word of control; a release is only told.
bool expects_response(std::string_view item);

// What a message says, in the order of the kinds. The views hold until the call returns.
class Listener {
 public:
  virtual ~Listener() = default;
  // First. False: nothing in it is to be taken.
  virtual bool message(MemberId from, Incarnation incarnation, std::uint64_t number, std::uint64_t acked,
                       Incarnation acked_incarnation, bool leaving, const HeartbeatTerms& heartbeat) = 0;
  virtual void voters(MemberId from, Epoch on_file, const VoterList& list) = 0; // before all other words
  virtual void asked(MemberId from, Incarnation incarnation, Epoch epoch, std::string_view lease,
                     AskNo number, Token token, Nanos term) = 0;
  virtual void released(MemberId from, Incarnation incarnation, std::string_view lease, AskNo number) = 0;
  virtual void granted(MemberId from, Incarnation to, std::string_view lease, AskNo number, bool wanted) = 0;
  virtual void refused(MemberId from, Incarnation to, std::string_view lease, AskNo number, Token seen,
                       Nanos left) = 0;
  virtual void done(MemberId from, std::string_view task, Token token, Nanos ago) = 0;
  virtual void control(MemberId, Incarnation, std::string_view) {} // who takes no part in it passes it over
};

// Payloads of frames. False: they can't be read, or not by this build.
bool decode_hello(std::string_view payload, Sender& sender);
bool decode_message(std::string_view payload, const Sender& sender, Listener& listener);

} // namespace cometshift::peer_codec
