// Encoding of the messages among control members, and between them and the servers that follow them
// (control.proto); no I/O. Each message is one `control` item of a message between peers (peer_codec.hpp),
// which already identifies fleet, sender and incarnation and has a checksum.
//
// Bounds: peer_codec::max_control_bytes for each message. Messages with entries or records stay below it
// through control.most_part, .most_batch and .record_overhead (default_control_settings);
// tests/control_words.cpp checks the longest ones. Errors: `read` returns false for an invalid message, and
// has then not called the listener.
#pragma once

#include "directory.hpp"
#include "peer_codec.hpp"
#include "replica.hpp"

#include <span>

namespace cometshift::control_codec {

// `to`: incarnation of the recipient that is addressed; {}: any.
std::string prepare(Token token, std::uint32_t round);
std::string promise(Incarnation to, Token token, std::uint32_t round, const LogStatus& status);
std::string refuse(Incarnation to, Token token, Token seen);
std::string append(const Append& append);
std::string appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap);
std::string fetch(Token token, Version base, Version cursor, Token since);
std::string chunk(Incarnation to, const Chunk& chunk);
std::string pass(Incarnation to, Token token, const ForwardedPut& put);
std::string answer(Incarnation to, Token token, PutNumber put, PutOutcome end, Version version,
                   std::string_view reason);

std::string part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
                 const std::vector<const MemberRecord*>& records);
std::string part_held(Incarnation owner, PartRevision upto);

std::string follow(AttachmentNumber number, bool primary, const Position& at,
                   const std::vector<FollowedScope>& scopes, std::string_view zone);
std::string have(AttachmentNumber number, const Position& at);
std::string compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests);
std::string unfollow(AttachmentNumber number);

std::string delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last,
                  Nanos age, const std::vector<const Entry*>& entries);
std::string renewal(Incarnation to, AttachmentNumber number, Version at,
                    const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                    const std::vector<const Entry*>& entries);
std::string beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age);
std::string rest(Incarnation to, AttachmentNumber number, Nanos delay);
std::string elsewhere(Incarnation to, AttachmentNumber number);
std::string again(Incarnation to, AttachmentNumber number);

// Receives the messages to a control member. The sender and its incarnation are those of the enclosing
// message.
class ControlListener {
 public:
  virtual ~ControlListener() = default;
  virtual void prepared(Token token, std::uint32_t round) = 0;
  virtual void promised(Incarnation to, Token token, std::uint32_t round, const LogStatus& status) = 0;
  virtual void refused(Incarnation to, Token token, Token seen) = 0;
  virtual void appending(const Append& append) = 0;
  virtual void appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap) = 0;
  virtual void fetched(Token token, Version base, Version cursor, Token since) = 0;
  virtual void chunked(Incarnation to, const Chunk& chunk) = 0;
  virtual void passed(Incarnation to, Token token, const ForwardedPut& put) = 0;
  virtual void answered(Incarnation to, Token token, PutNumber put, PutOutcome end, Version version,
                        std::string_view reason) = 0;
  virtual void part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
                    const std::vector<MemberRecord>& records) = 0;
  virtual void part_held(Incarnation owner, PartRevision upto) = 0;
  virtual void follow(AttachmentNumber number, bool primary, const Position& at,
                      const std::vector<FollowedScope>& scopes, std::string_view zone) = 0;
  virtual void have(AttachmentNumber number, const Position& at) = 0;
  virtual void compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) = 0;
  virtual void unfollow(AttachmentNumber number) = 0;
};
bool read(std::string_view bytes, ControlListener& listener);

// Receives the messages to a server that follows control members.
class FollowerListener {
 public:
  virtual ~FollowerListener() = default;
  virtual void delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last,
                     Nanos age, const std::vector<Entry>& entries) = 0;
  virtual void renewal(Incarnation to, AttachmentNumber number, Version at,
                       const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                       const std::vector<Entry>& entries) = 0;
  virtual void beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) = 0;
  virtual void rest(Incarnation to, AttachmentNumber number, Nanos delay) = 0;
  virtual void elsewhere(Incarnation to, AttachmentNumber number) = 0;
  virtual void again(Incarnation to, AttachmentNumber number) = 0;
};
bool read(std::string_view bytes, FollowerListener& listener);

} // namespace cometshift::control_codec
