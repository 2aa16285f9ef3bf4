// What control members say to each other and to the servers that follow them, as bytes and back, no I/O
// (control.proto). Each is one `control` word of a letter (peer_codec.hpp), so which fleet, who, in which
// incarnation and that no byte was spoilt is known before.
//
// Bounds: words::most_control bytes each. What holds entries or records keeps to it by control.most_part,
// .most_batch and .record_overhead (control_figures); tests/control_words.cpp holds the longest against it.
// Errors: reading returns false for what is no such word; nothing of it was told then.
#pragma once

#include "directory.hpp"
#include "peer_codec.hpp"
#include "replica.hpp"

#include <span>

namespace cometshift::control_words {

// `to`: the incarnation that is meant; {}: any.
std::string prepare(Token token, std::uint32_t round);
std::string promise(Incarnation to, Token token, std::uint32_t round, const LogStanding& standing);
std::string refuse(Incarnation to, Token token, Token seen);
std::string append(const Append& append);
std::string appended(Incarnation to, Token token, std::uint64_t mark, Version matched, bool gap);
std::string fetch(Token token, Version base, Version cursor, Token since);
std::string chunk(Incarnation to, const Chunk& chunk);
std::string pass(Incarnation to, Token token, const PassedPut& put);
std::string answer(Incarnation to, Token token, PutNo put, PutEnd end, Version version, std::string_view why);

std::string part(PartNo from, PartNo upto, PartNo last, std::uint64_t digest,
                 const std::vector<const MemberRecord*>& records);
std::string part_held(Incarnation owner, PartNo upto);

std::string follow(FollowNo number, bool primary, const Position& at, const std::vector<ScopeHeld>& scopes,
                   std::string_view zone);
std::string have(FollowNo number, const Position& at);
std::string compare(FollowNo number, Version at, const std::vector<std::uint64_t>& digests);
std::string unfollow(FollowNo number);

std::string delta(Incarnation to, FollowNo number, Version from, Version upto, Version last, Nanos age,
                  const std::vector<const Entry*>& entries);
std::string renewal(Incarnation to, FollowNo number, Version at, const std::vector<std::uint16_t>& scopes,
                    Version from, Version upto, Version last, const std::vector<const Entry*>& entries);
std::string beat(Incarnation to, FollowNo number, Version committed, Nanos age);
std::string rest(Incarnation to, FollowNo number, Nanos rest);
std::string elsewhere(Incarnation to, FollowNo number);
std::string again(Incarnation to, FollowNo number);

// Of a control member. Who a word is from, and in which incarnation, the letter says.
class ControlListener {
 public:
  virtual ~ControlListener() = default;
  virtual void prepared(Token token, std::uint32_t round) = 0;
  virtual void promised(Incarnation to, Token token, std::uint32_t round, const LogStanding& standing) = 0;
  virtual void refused(Incarnation to, Token token, Token seen) = 0;
  virtual void appending(const Append& append) = 0;
  virtual void appended(Incarnation to, Token token, std::uint64_t mark, Version matched, bool gap) = 0;
  virtual void fetched(Token token, Version base, Version cursor, Token since) = 0;
  virtual void chunked(Incarnation to, const Chunk& chunk) = 0;
  virtual void passed(Incarnation to, Token token, const PassedPut& put) = 0;
  virtual void answered(Incarnation to, Token token, PutNo put, PutEnd end, Version version,
                        std::string_view why) = 0;
  virtual void part(PartNo from, PartNo upto, PartNo last, std::uint64_t digest,
                    const std::vector<MemberRecord>& records) = 0;
  virtual void part_held(Incarnation owner, PartNo upto) = 0;
  virtual void follow(FollowNo number, bool primary, const Position& at, const std::vector<ScopeHeld>& scopes,
                      std::string_view zone) = 0;
  virtual void have(FollowNo number, const Position& at) = 0;
  virtual void compare(FollowNo number, Version at, const std::vector<std::uint64_t>& digests) = 0;
  virtual void unfollow(FollowNo number) = 0;
};
bool read(std::string_view bytes, ControlListener& listener);

// Of a server.
class FollowerListener {
 public:
  virtual ~FollowerListener() = default;
  virtual void delta(Incarnation to, FollowNo number, Version from, Version upto, Version last, Nanos age,
                     const std::vector<Entry>& entries) = 0;
  virtual void renewal(Incarnation to, FollowNo number, Version at, const std::vector<std::uint16_t>& scopes,
                       Version from, Version upto, Version last, const std::vector<Entry>& entries) = 0;
  virtual void beat(Incarnation to, FollowNo number, Version committed, Nanos age) = 0;
  virtual void rest(Incarnation to, FollowNo number, Nanos rest) = 0;
  virtual void elsewhere(Incarnation to, FollowNo number) = 0;
  virtual void again(Incarnation to, FollowNo number) = 0;
};
bool read(std::string_view bytes, FollowerListener& listener);

} // namespace cometshift::control_words
