#include "control_codec.hpp"

#include "control.pb.h"

#include <algorithm>
#include <limits>

namespace cometshift::control_codec {

namespace {

namespace wire = control_wire;

// Longer reasons are truncated, so that the message stays within its bound.
constexpr std::size_t max_reason_bytes = 256; // bytes

std::string to_string(std::string_view text) { return std::string(text); }
Nanos nanos_from_wire(std::uint64_t raw) {
  return static_cast<Nanos>(std::min<std::uint64_t>(raw, std::numeric_limits<Nanos>::max() / 4));
}

void encode(wire::Place& out, Version version) {
  out.set_token(version.token.raw);
  out.set_number(version.number);
}
Version version_of(const wire::Place& in) { return {Token{in.token()}, in.number()}; }

void encode(wire::Entry& out, const Entry& entry) {
  out.set_key(entry.key);
  out.set_value(entry.value);
  encode(*out.mutable_version(), entry.version);
  out.set_writer(entry.writer.raw);
  out.set_deleted(entry.deleted);
}
Entry entry_of(const wire::Entry& in) {
  return {in.key(), in.value(), version_of(in.version()), MemberId{in.writer()}, in.deleted()};
}
void encode(wire::Entry& out, const Record& record) {
  encode(out, record.entry);
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
  for (const wire::Entry& entry : in.record()) out.push_back(record_of(entry));
  return out;
}
template <class Wire>
std::vector<Entry> entries_of(const Wire& in) {
  std::vector<Entry> out;
  out.reserve(static_cast<std::size_t>(in.entry_size()));
  for (const wire::Entry& entry : in.entry()) out.push_back(entry_of(entry));
  return out;
}

void encode(wire::Position& out, const Position& at) {
  encode(*out.mutable_taken(), at.taken);
  if (at.staged != Version{}) encode(*out.mutable_staged(), at.staged);
  if (at.renewing != Version{}) encode(*out.mutable_renewing(), at.renewing);
  if (at.renewed != Version{}) encode(*out.mutable_renewed(), at.renewed);
  out.set_renewals(at.renewals);
}
Position position_of(const wire::Position& in) {
  return {version_of(in.taken()), version_of(in.staged()), version_of(in.renewing()),
          version_of(in.renewed()), in.renewals()};
}

template <class Fill>
std::string encode_message(Incarnation to, Fill fill) {
  wire::Control out;
  fill(out);
  out.set_to(to.raw);
  return out.SerializeAsString();
}

} // namespace

// ---- the replicated log

std::string prepare(Token token, std::uint32_t round) {
  return encode_message({}, [&](wire::Control& out) {
    out.mutable_prepare()->set_token(token.raw);
    out.mutable_prepare()->set_round(round);
  });
}
std::string promise(Incarnation to, Token token, std::uint32_t round, const LogStatus& status) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Promise& body = *out.mutable_promise();
    body.set_token(token.raw);
    body.set_round(round);
    encode(*body.mutable_last(), status.last);
    encode(*body.mutable_committed(), status.committed);
    for (const auto& [version, roster] : status.rosters) {
      wire::Roster& wire_roster = *body.add_roster();
      encode(*wire_roster.mutable_version(), version);
      wire_roster.set_text(format_roster(roster));
    }
  });
}
std::string refuse(Incarnation to, Token token, Token seen) {
  return encode_message(to, [&](wire::Control& out) {
    out.mutable_refusal()->set_token(token.raw);
    out.mutable_refusal()->set_seen(seen.raw);
  });
}
std::string append(const Append& append) {
  return encode_message({}, [&](wire::Control& out) {
    wire::Append& body = *out.mutable_append();
    body.set_token(append.token.raw);
    body.set_mark(append.sequence);
    encode(*body.mutable_log_from(), append.log_from);
    encode(*body.mutable_previous(), append.previous);
    encode(*body.mutable_committed(), append.committed);
    for (const Record& record : append.records) encode(*body.add_record(), record);
  });
}
std::string appended(Incarnation to, Token token, std::uint64_t sequence, Version matched, bool gap) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Appended& body = *out.mutable_appended();
    body.set_token(token.raw);
    body.set_mark(sequence);
    encode(*body.mutable_matched(), matched);
    body.set_gap(gap);
  });
}
std::string fetch(Token token, Version base, Version cursor, Token since) {
  return encode_message({}, [&](wire::Control& out) {
    wire::Fetch& body = *out.mutable_fetch();
    body.set_token(token.raw);
    encode(*body.mutable_base(), base);
    encode(*body.mutable_cursor(), cursor);
    body.set_since(since.raw);
  });
}
std::string chunk(Incarnation to, const Chunk& chunk) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Chunk& body = *out.mutable_chunk();
    body.set_token(chunk.token.raw);
    encode(*body.mutable_base(), chunk.base);
    encode(*body.mutable_from(), chunk.from);
    encode(*body.mutable_upto(), chunk.to);
    encode(*body.mutable_floor(), chunk.floor);
    encode(*body.mutable_committed(), chunk.committed);
    body.set_last(chunk.last);
    body.set_no_way(chunk.unavailable);
    for (const Record& record : chunk.records) encode(*body.add_record(), record);
  });
}
std::string pass(Incarnation to, Token token, const ForwardedPut& passed) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Pass& body = *out.mutable_pass();
    body.set_token(token.raw);
    body.set_number(passed.number.raw);
    body.set_oldest(passed.oldest.raw);
    body.set_key(passed.key);
    body.set_value(passed.value);
    body.set_deleted(passed.deleted);
    if (passed.expected) encode(*body.mutable_expected(), *passed.expected);
  });
}
std::string answer(Incarnation to, Token token, PutNumber number, PutOutcome end, Version version,
                   std::string_view reason) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Answer& body = *out.mutable_answer();
    body.set_token(token.raw);
    body.set_put(number.raw);
    body.set_end(static_cast<std::uint32_t>(end));
    encode(*body.mutable_version(), version);
    body.set_why(to_string(reason.substr(0, max_reason_bytes)));
  });
}

// ---- the directory of members

std::string part(PartRevision from, PartRevision upto, PartRevision last, std::uint64_t digest,
                 const std::vector<const MemberRecord*>& records) {
  return encode_message({}, [&](wire::Control& out) {
    wire::Part& body = *out.mutable_part();
    body.set_from(from.raw);
    body.set_upto(upto.raw);
    body.set_last(last.raw);
    body.set_digest(digest);
    for (const MemberRecord* record : records) {
      wire::Member& member = *body.add_record();
      member.set_member(record->member.raw);
      member.set_incarnation(record->incarnation.raw);
      member.set_attached(record->attachment.raw);
      member.set_address(record->address);
      member.set_zone(record->zone);
      member.set_since(record->since);
      member.set_presence(static_cast<std::uint32_t>(record->presence));
      member.set_number(record->revision.raw);
    }
  });
}
std::string part_held(Incarnation owner, PartRevision upto) {
  return encode_message({}, [&](wire::Control& out) {
    out.mutable_part_held()->set_owner(owner.raw);
    out.mutable_part_held()->set_upto(upto.raw);
  });
}

// ---- from a server to a control member

std::string follow(AttachmentNumber number, bool primary, const Position& at,
                   const std::vector<FollowedScope>& scopes, std::string_view zone) {
  return encode_message({}, [&](wire::Control& out) {
    wire::Follow& body = *out.mutable_follow();
    body.set_number(number.raw);
    body.set_primary(primary);
    encode(*body.mutable_at(), at);
    for (const FollowedScope& held : scopes) {
      wire::Scope& scope = *body.add_scope();
      scope.set_scope(held.scope);
      scope.set_digest(held.digest);
      scope.set_held(held.held);
    }
    body.set_zone(to_string(zone));
  });
}
std::string have(AttachmentNumber number, const Position& at) {
  return encode_message({}, [&](wire::Control& out) {
    out.mutable_have()->set_number(number.raw);
    encode(*out.mutable_have()->mutable_at(), at);
  });
}
std::string compare(AttachmentNumber number, Version at, const std::vector<std::uint64_t>& digests) {
  return encode_message({}, [&](wire::Control& out) {
    wire::Compare& body = *out.mutable_compare();
    body.set_number(number.raw);
    encode(*body.mutable_at(), at);
    for (const std::uint64_t digest : digests) body.add_digest(digest);
  });
}
std::string unfollow(AttachmentNumber number) {
  return encode_message({}, [&](wire::Control& out) { out.mutable_unfollow()->set_number(number.raw); });
}

// ---- from a control member to a server

std::string delta(Incarnation to, AttachmentNumber number, Version from, Version upto, Version last,
                  Nanos age, const std::vector<const Entry*>& entries) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Delta& body = *out.mutable_delta();
    body.set_number(number.raw);
    encode(*body.mutable_from(), from);
    encode(*body.mutable_upto(), upto);
    encode(*body.mutable_last(), last);
    body.set_age(age);
    for (const Entry* entry : entries) encode(*body.add_entry(), *entry);
  });
}
std::string renewal(Incarnation to, AttachmentNumber number, Version at,
                    const std::vector<std::uint16_t>& scopes, Version from, Version upto, Version last,
                    const std::vector<const Entry*>& entries) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Renewal& body = *out.mutable_renewal();
    body.set_number(number.raw);
    encode(*body.mutable_at(), at);
    for (const std::uint16_t scope : scopes) body.add_scope(scope);
    encode(*body.mutable_from(), from);
    encode(*body.mutable_upto(), upto);
    encode(*body.mutable_last(), last);
    for (const Entry* entry : entries) encode(*body.add_entry(), *entry);
  });
}
std::string beat(Incarnation to, AttachmentNumber number, Version committed, Nanos age) {
  return encode_message(to, [&](wire::Control& out) {
    wire::Beat& body = *out.mutable_beat();
    body.set_number(number.raw);
    encode(*body.mutable_committed(), committed);
    body.set_age(age);
  });
}
std::string rest(Incarnation to, AttachmentNumber number, Nanos delay) {
  return encode_message(to, [&](wire::Control& out) {
    out.mutable_rest()->set_number(number.raw);
    out.mutable_rest()->set_rest(static_cast<std::uint64_t>(std::max<Nanos>(delay, 0)));
  });
}
std::string elsewhere(Incarnation to, AttachmentNumber number) {
  return encode_message(to, [&](wire::Control& out) { out.mutable_elsewhere()->set_number(number.raw); });
}
std::string again(Incarnation to, AttachmentNumber number) {
  return encode_message(to, [&](wire::Control& out) { out.mutable_again()->set_number(number.raw); });
}

// ---- decoding

bool read(std::string_view bytes, ControlListener& listener) {
  wire::Control in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return false;
  const Incarnation to{in.to()};
  switch (in.what_case()) {
  case wire::Control::kPrepare:
    listener.prepared(Token{in.prepare().token()}, in.prepare().round());
    return true;
  case wire::Control::kPromise: {
    const wire::Promise& body = in.promise();
    LogStatus status{version_of(body.last()), version_of(body.committed()), {}};
    for (const wire::Roster& wire_roster : body.roster()) {
      std::optional<Roster> roster = parse_roster(wire_roster.text());
      if (!roster) return false;
      status.rosters.emplace_back(version_of(wire_roster.version()), std::move(*roster));
    }
    listener.promised(to, Token{body.token()}, body.round(), status);
    return true;
  }
  case wire::Control::kRefusal:
    listener.refused(to, Token{in.refusal().token()}, Token{in.refusal().seen()});
    return true;
  case wire::Control::kAppend: {
    const wire::Append& body = in.append();
    listener.appending({Token{body.token()}, body.mark(), version_of(body.log_from()),
                        version_of(body.previous()), version_of(body.committed()), records_of(body)});
    return true;
  }
  case wire::Control::kAppended: {
    const wire::Appended& body = in.appended();
    listener.appended(to, Token{body.token()}, body.mark(), version_of(body.matched()), body.gap());
    return true;
  }
  case wire::Control::kFetch: {
    const wire::Fetch& body = in.fetch();
    listener.fetched(Token{body.token()}, version_of(body.base()), version_of(body.cursor()),
                     Token{body.since()});
    return true;
  }
  case wire::Control::kChunk: {
    const wire::Chunk& body = in.chunk();
    Chunk chunk;
    chunk.token = Token{body.token()};
    chunk.base = version_of(body.base());
    chunk.from = version_of(body.from());
    chunk.to = version_of(body.upto());
    chunk.floor = version_of(body.floor());
    chunk.committed = version_of(body.committed());
    chunk.last = body.last();
    chunk.unavailable = body.no_way();
    chunk.records = records_of(body);
    listener.chunked(to, chunk);
    return true;
  }
  case wire::Control::kPass: {
    const wire::Pass& body = in.pass();
    ForwardedPut passed{
        PutNumber{body.number()}, PutNumber{body.oldest()}, body.key(), body.value(), body.deleted(), {}};
    if (body.has_expected()) passed.expected = version_of(body.expected());
    listener.passed(to, Token{body.token()}, passed);
    return true;
  }
  case wire::Control::kAnswer: {
    const wire::Answer& body = in.answer();
    if (body.end() > static_cast<std::uint32_t>(PutOutcome::unknown)) return false;
    listener.answered(to, Token{body.token()}, PutNumber{body.put()}, static_cast<PutOutcome>(body.end()),
                      version_of(body.version()), body.why());
    return true;
  }
  case wire::Control::kPart: {
    const wire::Part& body = in.part();
    std::vector<MemberRecord> records;
    for (const wire::Member& member : body.record()) {
      if (member.presence() > static_cast<std::uint32_t>(Presence::gone)) return false;
      records.push_back({MemberId{member.member()}, Incarnation{member.incarnation()},
                         AttachmentNumber{member.attached()}, member.address(), member.zone(), member.since(),
                         static_cast<Presence>(member.presence()), PartRevision{member.number()}});
    }
    listener.part(PartRevision{body.from()}, PartRevision{body.upto()}, PartRevision{body.last()},
                  body.digest(), records);
    return true;
  }
  case wire::Control::kPartHeld:
    listener.part_held(Incarnation{in.part_held().owner()}, PartRevision{in.part_held().upto()});
    return true;
  case wire::Control::kFollow: {
    const wire::Follow& body = in.follow();
    std::vector<FollowedScope> scopes;
    for (const wire::Scope& scope : body.scope())
      scopes.push_back({scope.scope(), scope.digest(), scope.held()});
    listener.follow(AttachmentNumber{body.number()}, body.primary(), position_of(body.at()), scopes,
                    body.zone());
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
    const wire::Delta& body = in.delta();
    listener.delta(to, AttachmentNumber{body.number()}, version_of(body.from()), version_of(body.upto()),
                   version_of(body.last()), body.age(), entries_of(body));
    return true;
  }
  case wire::Control::kRenewal: {
    const wire::Renewal& body = in.renewal();
    std::vector<std::uint16_t> scopes;
    for (const std::uint32_t scope : body.scope()) {
      if (scope >= max_scopes) return false;
      scopes.push_back(static_cast<std::uint16_t>(scope));
    }
    listener.renewal(to, AttachmentNumber{body.number()}, version_of(body.at()), scopes,
                     version_of(body.from()), version_of(body.upto()), version_of(body.last()),
                     entries_of(body));
    return true;
  }
  case wire::Control::kBeat:
    listener.beat(to, AttachmentNumber{in.beat().number()}, version_of(in.beat().committed()),
                  in.beat().age());
    return true;
  case wire::Control::kRest:
    listener.rest(to, AttachmentNumber{in.rest().number()}, nanos_from_wire(in.rest().rest()));
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
