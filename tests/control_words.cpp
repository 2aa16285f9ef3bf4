// Messages of the control plane: each is decoded as it was encoded, and only by the side that it is for.
// Truncated or corrupted messages are rejected or decode to a valid message, and none exceeds the size of an
// item.
#include "control_member.hpp"

#include <cstdio>

using namespace cometshift;

namespace {

std::string format(Version version) {
  return std::to_string(version.token.raw) + "." + std::to_string(version.number);
}
std::string format(const Entry& entry) {
  return entry.key + "=" + entry.value + (entry.deleted ? " deleted" : "") + " at " + format(entry.version) +
         " by " + std::to_string(entry.writer.raw);
}
std::string format(const std::vector<Record>& records) {
  std::string out;
  for (const Record& one : records)
    out += "; " + format(one.entry) + " of " + std::to_string(one.writer_incarnation.raw) + " put " +
           std::to_string(one.put.raw);
  return out;
}
std::string format(const std::vector<Entry>& entries) {
  std::string out;
  for (const Entry& one : entries) out += "; " + format(one);
  return out;
}
std::string format(const Position& at) {
  return "taken " + format(at.taken) + " staged " + format(at.staged) + " renewing " + format(at.renewing) +
         " renewed " + format(at.renewed) + " renewals " + std::to_string(at.renewals);
}

// Counts the decoded messages, and prints them unless `quiet`.
struct PrintedMessages final : control_codec::ControlListener, control_codec::FollowerListener {
  bool quiet = false;
  std::size_t messages = 0;

  void print(const std::string& text) {
    ++messages;
    if (!quiet) std::printf("  %s\n", text.c_str());
  }
  static std::string decimal(std::uint64_t number) { return std::to_string(number); }
  void prepared(Token token, std::uint32_t round) override {
    print("prepare " + decimal(token.raw) + " round " + decimal(round));
  }
  void promised(Incarnation to, Token token, std::uint32_t round, const LogStatus& status) override {
    std::string rosters;
    for (const auto& [version, roster] : status.rosters)
      rosters += "; " + format(version) + " " + format_roster(roster);
    print("promise to " + decimal(to.raw) + " " + decimal(token.raw) + " round " + decimal(round) + " last " +
          format(status.last) + " committed " + format(status.committed) + rosters);
  }
  void refused(Incarnation to, Token token, Token seen) override {
    print("refuse to " + decimal(to.raw) + " " + decimal(token.raw) + " seen " + decimal(seen.raw));
  }
  void appending(const Append& a) override {
    print("append " + decimal(a.token.raw) + " mark " + decimal(a.sequence) + " log from " +
          format(a.log_from) + " behind " + format(a.previous) + " committed " + format(a.committed) +
          format(a.records));
  }
  void appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap) override {
    print("appended to " + decimal(to.raw) + " " + decimal(token.raw) + " mark " + decimal(sequence) +
          " up to " + format(matched) + (gap ? " gap" : ""));
  }
  void fetched(Token token, Version base, Version cursor, Token since) override {
    print("fetch " + decimal(token.raw) + " base " + format(base) + " after " + format(cursor) + " since " +
          decimal(since.raw));
  }
  void chunked(Incarnation to, const Chunk& c) override {
    print("chunk to " + decimal(to.raw) + " " + decimal(c.token.raw) + " base " + format(c.base) + " " +
          format(c.from) + " to " + format(c.to) + " floor " + format(c.floor) + " committed " +
          format(c.committed) + (c.last ? " last" : "") + (c.unavailable ? " no way" : "") +
          format(c.records));
  }
  void passed(Incarnation to, Token token, const ForwardedPut& p) override {
    print("pass to " + decimal(to.raw) + " " + decimal(token.raw) + " put " + decimal(p.number.raw) +
          " oldest " + decimal(p.oldest.raw) + " " + p.key + "=" + p.value + (p.deleted ? " deleted" : "") +
          (p.expected ? " expects " + format(*p.expected) : ""));
  }
  void answered(Incarnation to, Token token, PutNumber put, PutOutcome end, Version version,
                std::string_view reason) override {
    print("answer to " + decimal(to.raw) + " " + decimal(token.raw) + " put " + decimal(put.raw) + " " +
          std::string(to_text(end)) + " " + format(version) + " " + std::string(reason.substr(0, 20)) + " (" +
          decimal(reason.size()) + ")");
  }
  void part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
            const std::vector<MemberRecord>& records) override {
    std::string out = "part " + decimal(from.raw) + " to " + decimal(upto.raw) + " of " + decimal(last.raw) +
                      " digest " + decimal(digest);
    for (const MemberRecord& r : records)
      out += "; " + decimal(r.member.raw) + " of " + decimal(r.incarnation.raw) + " attached " +
             decimal(r.attachment.raw) + " " + r.address + " " + r.zone + " since " + decimal(r.since) + " " +
             std::string(to_text(r.presence)) + " " + decimal(r.revision.raw);
    print(out);
  }
  void part_held(Incarnation owner, PartRevision upto) override {
    print("held of " + decimal(owner.raw) + " to " + decimal(upto.raw));
  }
  void follow(AttachmentNumber number, bool primary, const Position& at,
              const std::vector<FollowedScope>& scopes, std::string_view zone) override {
    std::string out = "follow " + decimal(number.raw) + (primary ? " first " : " second ") + format(at);
    for (const FollowedScope& s : scopes)
      out += "; " + s.scope + " " + decimal(s.digest) + (s.held ? " held" : "");
    print(out + " in " + std::string(zone));
  }
  void have(AttachmentNumber number, const Position& at) override {
    print("have " + decimal(number.raw) + " " + format(at));
  }
  void compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) override {
    std::string out = "compare " + decimal(number.raw) + " at " + format(at);
    for (const std::uint64_t one : digests) out += " " + decimal(one);
    print(out);
  }
  void unfollow(AttachmentNumber number) override { print("unfollow " + decimal(number.raw)); }
  void delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last, Nanos age,
             const std::vector<Entry>& entries) override {
    print("delta to " + decimal(to.raw) + " " + decimal(number.raw) + " " + format(from) + " to " +
          format(upto) + " of " + format(last) + " age " + std::to_string(age) + format(entries));
  }
  void renewal(Incarnation to, AttachmentNumber number, Version at, const std::vector<std::uint16_t>& scopes,
               Version from, Version upto, Version last, const std::vector<Entry>& entries) override {
    std::string out =
        "renewal to " + decimal(to.raw) + " " + decimal(number.raw) + " at " + format(at) + " scopes";
    for (const std::uint16_t one : scopes) out += " " + decimal(one);
    print(out + " " + format(from) + " to " + format(upto) + " of " + format(last) + format(entries));
  }
  void beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) override {
    print("beat to " + decimal(to.raw) + " " + decimal(number.raw) + " " + format(committed) + " age " +
          std::to_string(age));
  }
  void rest(Incarnation to, AttachmentNumber number, Nanos delay) override {
    print("rest to " + decimal(to.raw) + " " + decimal(number.raw) + " " + std::to_string(delay));
  }
  void elsewhere(Incarnation to, AttachmentNumber number) override {
    print("elsewhere to " + decimal(to.raw) + " " + decimal(number.raw));
  }
  void again(Incarnation to, AttachmentNumber number) override {
    print("again to " + decimal(to.raw) + " " + decimal(number.raw));
  }
};

} // namespace

int main() {
  using namespace control_codec;
  const Incarnation to{77};
  const Token token{5};
  const Version a{Token{5}, 1}, b{Token{5}, 2};
  const Entry route{"service/9/route", "10.0.0.1:80", b, MemberId{3}, false},
      gone{"fleet/x", "", a, MemberId{4}, true};
  const Record record{route, Incarnation{8}, PutNumber{6}};
  const Position at{a, b, Version{Token{5}, 3}, b, 4};
  const MemberRecord member{MemberId{12}, Incarnation{13},        AttachmentNumber{14}, "10.0.0.2:6000", "z1",
                            15,           Presence::unresponsive, PartRevision{16}};
  const std::vector<std::string> control{
      prepare(token, 2),
      promise(to, token, 2, {b, a, {{a, {{{MemberId{1}, Incarnation{11}}}, Token{4}}}}}),
      refuse(to, token, Token{9}),
      append({token, 3, a, a, a, {record, {gone, {}, {}}}}),
      appended(to, token, 3, b, true),
      fetch(token, a, b, Token{4}),
      chunk(to, {token, a, a, b, a, b, true, false, {record}}),
      chunk(to, {token, a, a, a, a, b, false, true, {}}),
      pass(to, token, {PutNumber{7}, PutNumber{6}, "fleet/x", "1", false, a}),
      pass(to, token, {PutNumber{8}, PutNumber{6}, "fleet/x", "", true, {}}),
      answer(to, token, PutNumber{7}, PutOutcome::refused, a, std::string(1000, 'y')),
      part(PartRevision{1}, PartRevision{2}, PartRevision{3}, 99, {&member}),
      part_held(to, PartRevision{3}),
      follow(AttachmentNumber{4}, true, at, {{"fleet", 1, true}, {"service/9", 0, false}}, "z1"),
      have(AttachmentNumber{4}, at),
      compare(AttachmentNumber{4}, a, {1, 2}),
      unfollow(AttachmentNumber{4})};
  const std::vector<std::string> follower{delta(to, AttachmentNumber{4}, a, b, b, -1, {&route, &gone}),
                                          renewal(to, AttachmentNumber{4}, b, {0, 1}, a, b, b, {&route}),
                                          beat(to, AttachmentNumber{4}, b, 20),
                                          rest(to, AttachmentNumber{4}, 30),
                                          elsewhere(to, AttachmentNumber{4}),
                                          again(to, AttachmentNumber{4})};
  PrintedMessages printed;
  int wrong = 0;
  const auto read_as = [&](bool by_control, std::string_view bytes) {
    return by_control ? read(bytes, static_cast<ControlListener&>(printed))
                      : read(bytes, static_cast<FollowerListener&>(printed));
  };
  std::printf("# each message is decoded as it was encoded\n");
  for (const bool by_control : {true, false})
    for (const std::string& message : by_control ? control : follower) wrong += !read_as(by_control, message);

  std::printf("# not by the other side, not truncated to any length, not with invalid scopes or outcomes\n");
  printed.quiet = true;
  std::size_t cuts = 0, still_valid = 0;
  for (const bool by_control : {true, false})
    for (const std::string& message : by_control ? control : follower) {
      wrong += read_as(!by_control, message);
      for (std::size_t n = 0; n < message.size(); ++n, ++cuts) {
        const std::size_t before = printed.messages;
        const bool accepted = read_as(by_control, std::string_view(message).substr(0, n));
        wrong += accepted != (printed.messages > before); // a message is reported completely or not at all
      }
      std::string corrupted = message;
      for (std::size_t n = 0; n < message.size(); ++n) {
        corrupted[n] = static_cast<char>(corrupted[n] ^ 0x80);
        const std::size_t before = printed.messages;
        const bool accepted = read_as(by_control, corrupted);
        wrong += accepted != (printed.messages > before);
        still_valid += accepted;
        corrupted[n] = message[n];
      }
    }
  wrong += read_as(false, renewal(to, AttachmentNumber{4}, b, {64}, a, b, b, {}));
  wrong += read_as(true, answer(to, token, PutNumber{7}, static_cast<PutOutcome>(3), a, ""));
  std::printf(
      "  %zu truncated; some corrupted ones can still be decoded (their checksum would not match): %d\n",
      cuts, still_valid > 0);

  std::printf("# the longest: as many bytes as a batch may have, in records of the smallest and of the "
              "largest size\n");
  const double most_batch = number(default_control_settings(true), "control.most_batch", 0);
  const double overhead = number(default_control_settings(true), "control.record_overhead", 0);
  for (const std::size_t size : {std::size_t{1}, std::size_t{100}, std::size_t{4096 + 200}}) {
    Append append{token, ~0ULL, a, a, a, {}};
    Record record_of_size{{std::string(std::min<std::size_t>(size, 200), 'k'),
                           std::string(size > 200 ? size - 200 : 0, 'v'),
                           {Token{~0ULL}, ~0ULL},
                           MemberId{65535},
                           true},
                          Incarnation{~0ULL},
                          PutNumber{~0ULL}};
    for (double bytes = 0;
         bytes + static_cast<double>(size) + overhead <= most_batch || append.records.empty();
         bytes += static_cast<double>(size) + overhead)
      append.records.push_back(record_of_size);
    wrong += control_codec::append(append).size() > peer_codec::max_control_bytes;
  }
  std::printf("wrong %d\n", wrong);
  return wrong > 0;
}
