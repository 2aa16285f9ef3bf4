// Words of control: each is read as it was said, by the side that it is for; what is cut or spoilt is no word
// or says something else that makes sense, and none is longer than a message takes.
#include "control_member.hpp"

#include <cstdio>

using namespace cometshift;

namespace {

std::string of(Version version) {
  return std::to_string(version.token.raw) + "." + std::to_string(version.number);
}
std::string of(const Entry& entry) {
  return entry.key + "=" + entry.value + (entry.deleted ? " deleted" : "") + " at " + of(entry.version) +
         " by " + std::to_string(entry.writer.raw);
}
std::string of(const std::vector<Record>& records) {
  std::string out;
  for (const Record& one : records)
    out += "; " + of(one.entry) + " of " + std::to_string(one.writer_incarnation.raw) + " put " +
           std::to_string(one.put.raw);
  return out;
}
std::string of(const std::vector<Entry>& entries) {
  std::string out;
  for (const Entry& one : entries) out += "; " + of(one);
  return out;
}
std::string of(const Position& at) {
  return "taken " + of(at.taken) + " staged " + of(at.staged) + " renewing " + of(at.renewing) + " renewed " +
         of(at.renewed) + " renewals " + std::to_string(at.renewals);
}

// Prints, if told to; counts what it was told.
struct Told final : control_codec::ControlListener, control_codec::FollowerListener {
  bool quiet = false;
  std::size_t words = 0;

  void say(const std::string& what) {
    ++words;
    if (!quiet) std::printf("  %s\n", what.c_str());
  }
  static std::string n(std::uint64_t number) { return std::to_string(number); }
  void prepared(Token token, std::uint32_t round) override {
    say("prepare " + n(token.raw) + " round " + n(round));
  }
  void promised(Incarnation to, Token token, std::uint32_t round, const LogStatus& standing) override {
    std::string rosters;
    for (const auto& [version, roster] : standing.rosters)
      rosters += "; " + of(version) + " " + format_roster(roster);
    say("promise to " + n(to.raw) + " " + n(token.raw) + " round " + n(round) + " last " + of(standing.last) +
        " committed " + of(standing.committed) + rosters);
  }
  void refused(Incarnation to, Token token, Token seen) override {
    say("refuse to " + n(to.raw) + " " + n(token.raw) + " seen " + n(seen.raw));
  }
  void appending(const Append& a) override {
    say("append " + n(a.token.raw) + " mark " + n(a.sequence) + " log from " + of(a.log_from) + " behind " +
        of(a.previous) + " committed " + of(a.committed) + of(a.records));
  }
  void appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap) override {
    say("appended to " + n(to.raw) + " " + n(token.raw) + " mark " + n(sequence) + " up to " + of(matched) +
        (gap ? " gap" : ""));
  }
  void fetched(Token token, Version base, Version cursor, Token since) override {
    say("fetch " + n(token.raw) + " base " + of(base) + " after " + of(cursor) + " since " + n(since.raw));
  }
  void chunked(Incarnation to, const Chunk& c) override {
    say("chunk to " + n(to.raw) + " " + n(c.token.raw) + " base " + of(c.base) + " " + of(c.from) + " to " +
        of(c.to) + " floor " + of(c.floor) + " committed " + of(c.committed) + (c.last ? " last" : "") +
        (c.unavailable ? " no way" : "") + of(c.records));
  }
  void passed(Incarnation to, Token token, const ForwardedPut& p) override {
    say("pass to " + n(to.raw) + " " + n(token.raw) + " put " + n(p.number.raw) + " oldest " +
        n(p.oldest.raw) + " " + p.key + "=" + p.value + (p.deleted ? " deleted" : "") +
        (p.expected ? " expects " + of(*p.expected) : ""));
  }
  void answered(Incarnation to, Token token, PutNumber put, PutOutcome end, Version version,
                std::string_view why) override {
    say("answer to " + n(to.raw) + " " + n(token.raw) + " put " + n(put.raw) + " " +
        std::string(to_text(end)) + " " + of(version) + " " + std::string(why.substr(0, 20)) + " (" +
        n(why.size()) + ")");
  }
  void part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
            const std::vector<MemberRecord>& records) override {
    std::string out =
        "part " + n(from.raw) + " to " + n(upto.raw) + " of " + n(last.raw) + " digest " + n(digest);
    for (const MemberRecord& r : records)
      out += "; " + n(r.member.raw) + " of " + n(r.incarnation.raw) + " attached " + n(r.attachment.raw) +
             " " + r.address + " " + r.zone + " since " + n(r.since) + " " +
             std::string(to_text(r.presence)) + " " + n(r.revision.raw);
    say(out);
  }
  void part_held(Incarnation owner, PartRevision upto) override {
    say("held of " + n(owner.raw) + " to " + n(upto.raw));
  }
  void follow(AttachmentNumber number, bool primary, const Position& at,
              const std::vector<FollowedScope>& scopes, std::string_view zone) override {
    std::string out = "follow " + n(number.raw) + (primary ? " first " : " second ") + of(at);
    for (const FollowedScope& s : scopes) out += "; " + s.scope + " " + n(s.digest) + (s.held ? " held" : "");
    say(out + " in " + std::string(zone));
  }
  void have(AttachmentNumber number, const Position& at) override {
    say("have " + n(number.raw) + " " + of(at));
  }
  void compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) override {
    std::string out = "compare " + n(number.raw) + " at " + of(at);
    for (const std::uint64_t one : digests) out += " " + n(one);
    say(out);
  }
  void unfollow(AttachmentNumber number) override { say("unfollow " + n(number.raw)); }
  void delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last, Nanos age,
             const std::vector<Entry>& entries) override {
    say("delta to " + n(to.raw) + " " + n(number.raw) + " " + of(from) + " to " + of(upto) + " of " +
        of(last) + " age " + std::to_string(age) + of(entries));
  }
  void renewal(Incarnation to, AttachmentNumber number, Version at, const std::vector<std::uint16_t>& scopes,
               Version from, Version upto, Version last, const std::vector<Entry>& entries) override {
    std::string out = "renewal to " + n(to.raw) + " " + n(number.raw) + " at " + of(at) + " scopes";
    for (const std::uint16_t one : scopes) out += " " + n(one);
    say(out + " " + of(from) + " to " + of(upto) + " of " + of(last) + of(entries));
  }
  void beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) override {
    say("beat to " + n(to.raw) + " " + n(number.raw) + " " + of(committed) + " age " + std::to_string(age));
  }
  void rest(Incarnation to, AttachmentNumber number, Nanos rest) override {
    say("rest to " + n(to.raw) + " " + n(number.raw) + " " + std::to_string(rest));
  }
  void elsewhere(Incarnation to, AttachmentNumber number) override {
    say("elsewhere to " + n(to.raw) + " " + n(number.raw));
  }
  void again(Incarnation to, AttachmentNumber number) override {
    say("again to " + n(to.raw) + " " + n(number.raw));
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
  Told told;
  int wrong = 0;
  const auto read_as = [&](bool by_control, std::string_view bytes) {
    return by_control ? read(bytes, static_cast<ControlListener&>(told))
                      : read(bytes, static_cast<FollowerListener&>(told));
  };
  std::printf("# each as it was said\n");
  for (const bool by_control : {true, false})
    for (const std::string& word : by_control ? control : follower) wrong += !read_as(by_control, word);

  std::printf("# not by the other side, not cut to any length, not with scopes or ends that there are not\n");
  told.quiet = true;
  std::size_t cuts = 0, sense = 0;
  for (const bool by_control : {true, false})
    for (const std::string& word : by_control ? control : follower) {
      wrong += read_as(!by_control, word);
      for (std::size_t n = 0; n < word.size(); ++n, ++cuts) {
        const std::size_t before = told.words;
        const bool taken = read_as(by_control, std::string_view(word).substr(0, n));
        wrong += taken != (told.words > before); // a word is told as a whole, or nothing of it
      }
      std::string spoilt = word;
      for (std::size_t n = 0; n < word.size(); ++n) {
        spoilt[n] = static_cast<char>(spoilt[n] ^ 0x80);
        const std::size_t before = told.words;
        const bool taken = read_as(by_control, spoilt);
        wrong += taken != (told.words > before);
        sense += taken;
        spoilt[n] = word[n];
      }
    }
  wrong += read_as(false, renewal(to, AttachmentNumber{4}, b, {64}, a, b, b, {}));
  wrong += read_as(true, answer(to, token, PutNumber{7}, static_cast<PutOutcome>(3), a, ""));
  std::printf("  %zu cut; some spoilt ones still make sense (their sum would not): %d\n", cuts, sense > 0);

  std::printf(
      "# the longest: as many bytes as a batch may have, in records of the least and of the largest\n");
  const double most_batch = number(default_control_settings(true), "control.most_batch", 0);
  const double overhead = number(default_control_settings(true), "control.record_overhead", 0);
  for (const std::size_t size : {std::size_t{1}, std::size_t{100}, std::size_t{4096 + 200}}) {
    Append append{token, ~0ULL, a, a, a, {}};
    Record one{{std::string(std::min<std::size_t>(size, 200), 'k'),
                std::string(size > 200 ? size - 200 : 0, 'v'),
                {Token{~0ULL}, ~0ULL},
                MemberId{65535},
                true},
               Incarnation{~0ULL},
               PutNumber{~0ULL}};
    for (double bytes = 0;
         bytes + static_cast<double>(size) + overhead <= most_batch || append.records.empty();
         bytes += static_cast<double>(size) + overhead)
      append.records.push_back(one);
    wrong += control_codec::append(append).size() > peer_codec::max_control_bytes;
  }
  std::printf("wrong %d\n", wrong);
  return wrong > 0;
}
