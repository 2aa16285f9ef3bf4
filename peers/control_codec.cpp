#include "control_codec.hpp"

#include "control.pb.h"

#include <algorithm>
#include <limits>

namespace cometshift::control_codec {

namespace {

namespace wire = control_wire;

// Against texts longer than the word that says them.
constexpr std::size_t most_why = 256; // bytes

std::string text(std::string_view some) { return std::string(some); }
Nanos span_of(std::uint64_t raw) {
  return static_cast<Nanos>(std::min<std::uint64_t>(raw, std::numeric_limits<Nanos>::max() / 4));
}

void put(wire::Place& out, Version version) {
  out.set_token(version.token.raw);
  out.set_number(version.number);
}
Version version_of(const wire::Place& in) { return {Token{in.token()}, in.number()}; }

void put(wire::Entry& out, const Entry& entry) {
  out.set_key(entry.key);
  out.set_value(entry.value);
  put(*out.mutable_version(), entry.version);
  out.set_writer(entry.writer.raw);
  out.set_deleted(entry.deleted);
}
Entry entry_of(const wire::Entry& in) {
  return {in.key(), in.value(), version_of(in.version()), MemberId{in.writer()}, in.deleted()};
}
void put(wire::Entry& out, const Record& record) {
  put(out, record.entry);
  out.set_writer_of(record.writer_incarnation.raw);
  out.set_put(record.put.raw);
}
Record record_of(const wire::Entry& in) {
  return {entry_of(in), Incarnation{in.writer_of()}, PutNumber{in.put()}};
}
template <class Wire>
std::vector<Record> records_of(const Wire& in) {
  std::vector<Record> out;
  out.reserve(static_cast<std::size_t>(in.record_size()));
  for (const wire::Entry& one : in.record()) out.push_back(record_of(one));
  return out;
}
template <class Wire>
std::vector<Entry> entries_of(const Wire& in) {
  std::vector<Entry> out;
  out.reserve(static_cast<std::size_t>(in.entry_size()));
  for (const wire::Entry& one : in.entry()) out.push_back(entry_of(one));
  return out;
}

void put(wire::Position& out, const Position& at) {
  put(*out.mutable_taken(), at.taken);
  if (at.staged != Version{}) put(*out.mutable_staged(), at.staged);
  if (at.renewing != Version{}) put(*out.mutable_renewing(), at.renewing);
  if (at.renewed != Version{}) put(*out.mutable_renewed(), at.renewed);
  out.set_renewals(at.renewals);
}
Position position_of(const wire::Position& in) {
  return {version_of(in.taken()), version_of(in.staged()), version_of(in.renewing()),
          version_of(in.renewed()), in.renewals()};
}

template <class Put>
std::string word(Incarnation to, Put put_in) {
  wire::Control out;
  put_in(out);
  out.set_to(to.raw);
  return out.SerializeAsString();
}

} // namespace

// ---- the one order

std::string prepare(Token token, std::uint32_t round) {
  return word({}, [&](wire::Control& out) {
    out.mutable_prepare()->set_token(token.raw);
    out.mutable_prepare()->set_round(round);
  });
}
std::string promise(Incarnation to, Token token, std::uint32_t round, const LogStatus& standing) {
  return word(to, [&](wire::Control& out) {
    wire::Promise& one = *out.mutable_promise();
    one.set_token(token.raw);
    one.set_round(round);
    put(*one.mutable_last(), standing.last);
    put(*one.mutable_committed(), standing.committed);
    for (const auto& [version, roster] : standing.rosters) {
      wire::Roster& told = *one.add_roster();
      put(*told.mutable_version(), version);
      told.set_text(format_roster(roster));
    }
  });
}
std::string refuse(Incarnation to, Token token, Token seen) {
  return word(to, [&](wire::Control& out) {
    out.mutable_refusal()->set_token(token.raw);
    out.mutable_refusal()->set_seen(seen.raw);
  });
}
std::string append(const Append& append) {
  return word({}, [&](wire::Control& out) {
    wire::Append& one = *out.mutable_append();
    one.set_token(append.token.raw);
    one.set_mark(append.sequence);
    put(*one.mutable_log_from(), append.log_from);
    put(*one.mutable_previous(), append.previous);
    put(*one.mutable_committed(), append.committed);
    for (const Record& record : append.records) put(*one.add_record(), record);
  });
}
std::string appended(Incarnation to, Token token, std::uint64_t mark, Version matched, bool gap) {
  return word(to, [&](wire::Control& out) {
    wire::Appended& one = *out.mutable_appended();
    one.set_token(token.raw);
    one.set_mark(mark);
    put(*one.mutable_matched(), matched);
    one.set_gap(gap);
  });
}
std::string fetch(Token token, Version base, Version cursor, Token since) {
  return word({}, [&](wire::Control& out) {
    wire::Fetch& one = *out.mutable_fetch();
    one.set_token(token.raw);
    put(*one.mutable_base(), base);
    put(*one.mutable_cursor(), cursor);
    one.set_since(since.raw);
  });
}
std::string chunk(Incarnation to, const Chunk& chunk) {
  return word(to, [&](wire::Control& out) {
    wire::Chunk& one = *out.mutable_chunk();
    one.set_token(chunk.token.raw);
    put(*one.mutable_base(), chunk.base);
    put(*one.mutable_from(), chunk.from);
    put(*one.mutable_upto(), chunk.to);
    put(*one.mutable_floor(), chunk.floor);
    put(*one.mutable_committed(), chunk.committed);
    one.set_last(chunk.last);
    one.set_no_way(chunk.unavailable);
    for (const Record& record : chunk.records) put(*one.add_record(), record);
  });
}
std::string pass(Incarnation to, Token token, const ForwardedPut& passed) {
  return word(to, [&](wire::Control& out) {
    wire::Pass& one = *out.mutable_pass();
    one.set_token(token.raw);
    one.set_number(passed.number.raw);
    one.set_oldest(passed.oldest.raw);
    one.set_key(passed.key);
    one.set_value(passed.value);
    one.set_deleted(passed.deleted);
    if (passed.expected) put(*one.mutable_expected(), *passed.expected);
  });
}
std::string answer(Incarnation to, Token token, PutNumber number, PutOutcome end, Version version,
                   std::string_view why) {
  return word(to, [&](wire::Control& out) {
    wire::Answer& one = *out.mutable_answer();
    one.set_token(token.raw);
    one.set_put(number.raw);
    one.set_end(static_cast<std::uint32_t>(end));
    put(*one.mutable_version(), version);
    one.set_why(text(why.substr(0, most_why)));
  });
}

// ---- who is there

std::string part(PartNo from, PartNo upto, PartNo last, std::uint64_t digest,
                 const std::vector<const MemberRecord*>& records) {
  return word({}, [&](wire::Control& out) {
    wire::Part& one = *out.mutable_part();
    one.set_from(from.raw);
    one.set_upto(upto.raw);
    one.set_last(last.raw);
    one.set_digest(digest);
    for (const MemberRecord* record : records) {
      wire::Member& member = *one.add_record();
      member.set_member(record->member.raw);
      member.set_incarnation(record->incarnation.raw);
      member.set_attached(record->attached.raw);
      member.set_address(record->address);
      member.set_zone(record->zone);
      member.set_since(record->since);
      member.set_presence(static_cast<std::uint32_t>(record->presence));
      member.set_number(record->number.raw);
    }
  });
}
std::string part_held(Incarnation owner, PartNo upto) {
  return word({}, [&](wire::Control& out) {
    out.mutable_part_held()->set_owner(owner.raw);
    out.mutable_part_held()->set_upto(upto.raw);
  });
}

// ---- a server

std::string follow(AttachmentNumber number, bool primary, const Position& at,
                   const std::vector<FollowedScope>& scopes, std::string_view zone) {
  return word({}, [&](wire::Control& out) {
    wire::Follow& one = *out.mutable_follow();
    one.set_number(number.raw);
    one.set_primary(primary);
    put(*one.mutable_at(), at);
    for (const FollowedScope& held : scopes) {
      wire::Scope& scope = *one.add_scope();
      scope.set_scope(held.scope);
      scope.set_digest(held.digest);
      scope.set_held(held.held);
    }
    one.set_zone(text(zone));
  });
}
std::string have(AttachmentNumber number, const Position& at) {
  return word({}, [&](wire::Control& out) {
    out.mutable_have()->set_number(number.raw);
    put(*out.mutable_have()->mutable_at(), at);
  });
}
std::string compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) {
  return word({}, [&](wire::Control& out) {
    wire::Compare& one = *out.mutable_compare();
    one.set_number(number.raw);
    put(*one.mutable_at(), at);
    for (const std::uint64_t digest : digests) one.add_digest(digest);
  });
}
std::string unfollow(AttachmentNumber number) {
  return word({}, [&](wire::Control& out) { out.mutable_unfollow()->set_number(number.raw); });
}

// ---- and back

std::string delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last,
                  Nanos age, const std::vector<const Entry*>& entries) {
  return word(to, [&](wire::Control& out) {
    wire::Delta& one = *out.mutable_delta();
    one.set_number(number.raw);
    put(*one.mutable_from(), from);
    put(*one.mutable_upto(), upto);
    put(*one.mutable_last(), last);
    one.set_age(age);
    for (const Entry* entry : entries) put(*one.add_entry(), *entry);
  });
}
std::string renewal(Incarnation to, AttachmentNumber number, Version at,
                    const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                    const std::vector<const Entry*>& entries) {
  return word(to, [&](wire::Control& out) {
    wire::Renewal& one = *out.mutable_renewal();
    one.set_number(number.raw);
    put(*one.mutable_at(), at);
    for (const std::uint16_t scope : scopes) one.add_scope(scope);
    put(*one.mutable_from(), from);
    put(*one.mutable_upto(), upto);
    put(*one.mutable_last(), last);
    for (const Entry* entry : entries) put(*one.add_entry(), *entry);
  });
}
std::string beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) {
  return word(to, [&](wire::Control& out) {
    wire::Beat& one = *out.mutable_beat();
    one.set_number(number.raw);
    put(*one.mutable_committed(), committed);
    one.set_age(age);
  });
}
std::string rest(Incarnation to, AttachmentNumber number, Nanos rest) {
  return word(to, [&](wire::Control& out) {
    out.mutable_rest()->set_number(number.raw);
    out.mutable_rest()->set_rest(static_cast<std::uint64_t>(std::max<Nanos>(rest, 0)));
  });
}
std::string elsewhere(Incarnation to, AttachmentNumber number) {
  return word(to, [&](wire::Control& out) { out.mutable_elsewhere()->set_number(number.raw); });
}
std::string again(Incarnation to, AttachmentNumber number) {
  return word(to, [&](wire::Control& out) { out.mutable_again()->set_number(number.raw); });
}

// ---- read

bool read(std::string_view bytes, ControlListener& listener) {
  wire::Control in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  const Incarnation to{in.to()};
  switch (in.what_case()) {
  case wire::Control::kPrepare:
    listener.prepared(Token{in.prepare().token()}, in.prepare().round());
    return true;
  case wire::Control::kPromise: {
    const wire::Promise& one = in.promise();
    LogStatus standing{version_of(one.last()), version_of(one.committed()), {}};
    for (const wire::Roster& told : one.roster()) {
      std::optional<Roster> roster = parse_roster(told.text());
      if (!roster) return false;
      standing.rosters.emplace_back(version_of(told.version()), std::move(*roster));
    }
    listener.promised(to, Token{one.token()}, one.round(), standing);
    return true;
  }
  case wire::Control::kRefusal:
    listener.refused(to, Token{in.refusal().token()}, Token{in.refusal().seen()});
    return true;
  case wire::Control::kAppend: {
    const wire::Append& one = in.append();
    listener.appending({Token{one.token()}, one.mark(), version_of(one.log_from()),
                        version_of(one.previous()), version_of(one.committed()), records_of(one)});
    return true;
  }
  case wire::Control::kAppended: {
    const wire::Appended& one = in.appended();
    listener.appended(to, Token{one.token()}, one.mark(), version_of(one.matched()), one.gap());
    return true;
  }
  case wire::Control::kFetch: {
    const wire::Fetch& one = in.fetch();
    listener.fetched(Token{one.token()}, version_of(one.base()), version_of(one.cursor()),
                     Token{one.since()});
    return true;
  }
  case wire::Control::kChunk: {
    const wire::Chunk& one = in.chunk();
    Chunk chunk;
    chunk.token = Token{one.token()};
    chunk.base = version_of(one.base());
    chunk.from = version_of(one.from());
    chunk.to = version_of(one.upto());
    chunk.floor = version_of(one.floor());
    chunk.committed = version_of(one.committed());
    chunk.last = one.last();
    chunk.unavailable = one.no_way();
    chunk.records = records_of(one);
    listener.chunked(to, chunk);
    return true;
  }
  case wire::Control::kPass: {
    const wire::Pass& one = in.pass();
    ForwardedPut passed{
        PutNumber{one.number()}, PutNumber{one.oldest()}, one.key(), one.value(), one.deleted(), {}};
    if (one.has_expected()) passed.expected = version_of(one.expected());
    listener.passed(to, Token{one.token()}, passed);
    return true;
  }
  case wire::Control::kAnswer: {
    const wire::Answer& one = in.answer();
    if (one.end() > static_cast<std::uint32_t>(PutOutcome::unknown)) return false;
    listener.answered(to, Token{one.token()}, PutNumber{one.put()}, static_cast<PutOutcome>(one.end()),
                      version_of(one.version()), one.why());
    return true;
  }
  case wire::Control::kPart: {
    const wire::Part& one = in.part();
    std::vector<MemberRecord> records;
    for (const wire::Member& member : one.record()) {
      if (member.presence() > static_cast<std::uint32_t>(Presence::gone)) return false;
      records.push_back({MemberId{member.member()}, Incarnation{member.incarnation()},
                         AttachmentNumber{member.attached()}, member.address(), member.zone(), member.since(),
                         static_cast<Presence>(member.presence()), PartNo{member.number()}});
    }
    listener.part(PartNo{one.from()}, PartNo{one.upto()}, PartNo{one.last()}, one.digest(), records);
    return true;
  }
  case wire::Control::kPartHeld:
    listener.part_held(Incarnation{in.part_held().owner()}, PartNo{in.part_held().upto()});
    return true;
  case wire::Control::kFollow: {
    const wire::Follow& one = in.follow();
    std::vector<FollowedScope> scopes;
    for (const wire::Scope& scope : one.scope())
      scopes.push_back({scope.scope(), scope.digest(), scope.held()});
    listener.follow(AttachmentNumber{one.number()}, one.primary(), position_of(one.at()), scopes, one.zone());
    return true;
  }
  case wire::Control::kHave:
    listener.have(AttachmentNumber{in.have().number()}, position_of(in.have().at()));
    return true;
  case wire::Control::kCompare:
    listener.compare(AttachmentNumber{in.compare().number()}, version_of(in.compare().at()),
                     {in.compare().digest().begin(), in.compare().digest().end()});
    return true;
  case wire::Control::kUnfollow:
    listener.unfollow(AttachmentNumber{in.unfollow().number()});
    return true;
  default:
    return false;
  }
}

bool read(std::string_view bytes, FollowerListener& listener) {
  wire::Control in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  const Incarnation to{in.to()};
  switch (in.what_case()) {
  case wire::Control::kDelta: {
    const wire::Delta& one = in.delta();
    listener.delta(to, AttachmentNumber{one.number()}, version_of(one.from()), version_of(one.upto()),
                   version_of(one.last()), one.age(), entries_of(one));
    return true;
  }
  case wire::Control::kRenewal: {
    const wire::Renewal& one = in.renewal();
    std::vector<std::uint16_t> scopes;
    for (const std::uint32_t scope : one.scope()) {
      if (scope >= max_scopes) return false;
      scopes.push_back(static_cast<std::uint16_t>(scope));
    }
    listener.renewal(to, AttachmentNumber{one.number()}, version_of(one.at()), scopes, version_of(one.from()),
                     version_of(one.upto()), version_of(one.last()), entries_of(one));
    return true;
  }
  case wire::Control::kBeat:
    listener.beat(to, AttachmentNumber{in.beat().number()}, version_of(in.beat().committed()),
                  in.beat().age());
    return true;
  case wire::Control::kRest:
    listener.rest(to, AttachmentNumber{in.rest().number()}, span_of(in.rest().rest()));
    return true;
  case wire::Control::kElsewhere:
    listener.elsewhere(to, AttachmentNumber{in.elsewhere().number()});
    return true;
  case wire::Control::kAgain:
    listener.again(to, AttachmentNumber{in.again().number()});
    return true;
  default:
    return false;
  }
}

} // namespace cometshift::control_codec
