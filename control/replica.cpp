#include "replica.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr std::size_t most_members = 64;   // control members: each writer speaks to all
constexpr std::size_t most_voters = 7;     // as of leases: three may be lost of seven
constexpr std::size_t most_sessions = 256; // lives of members that pass puts on, in one term
// Terms in a row of which none commits anything: each leaves a roster, and to bound these by less would leave
// no way on. Terms of a second: 18 hours.
constexpr std::size_t most_terms = 65'536;
constexpr Nanos session_kept = 600'000'000'000; // ns: no word is under way for so long
constexpr std::size_t most_results = 4096;      // of a session: over what a member has under way
constexpr std::size_t most_staged = 2;          // times the bound of bytes: of a state that is being fetched

std::size_t size_of(const Entry& entry) { return entry.key.size() + entry.value.size(); }
std::size_t size_of(const Record& record) { return size_of(record.entry); }

std::size_t majority_of(std::size_t voters) { return voters / 2 + 1; }

using Rosters = std::vector<std::pair<Version, Roster>>;

// Where all was begun anew: what was in force before is not any more.
bool anew(Version version, const Roster& roster) {
  return version.number == 1 && version.token == roster.since;
}
// Those that may be in force where all up to `committed` is.
Rosters in_force(const Rosters& all, Version committed) {
  Rosters left;
  for (const auto& [version, roster] : all) {
    if (version <= committed || anew(version, roster)) left.clear();
    left.emplace_back(version, roster);
  }
  return left;
}
// A life counts where each of them names it: against one that a roster which is not committed takes out or
// in.
bool counts(const Rosters& in_force, MemberId voter, Incarnation life) {
  if (in_force.empty()) return false;
  return std::all_of(in_force.begin(), in_force.end(), [&](const auto& one) {
    const auto at = one.second.lives.find(voter);
    return at != one.second.lives.end() && at->second == life;
  });
}

} // namespace

std::string_view to_text(PutOutcome end) {
  switch (end) {
  case PutOutcome::done:
    return "done";
  case PutOutcome::refused:
    return "refused";
  case PutOutcome::unknown:
    return "unknown";
  }
  return "?";
}

std::string format_roster(const Roster& roster) {
  std::string text = "since=" + std::to_string(roster.since.raw);
  for (const auto& [member, life] : roster.lives)
    text += " " + std::to_string(member.raw) + "=" + std::to_string(life.raw);
  return text;
}

std::optional<Roster> parse_roster(std::string_view text) {
  constexpr std::string_view start = "since=";
  if (!text.starts_with(start)) return std::nullopt;
  text.remove_prefix(start.size());
  const auto take = [&](auto& into) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
    if (error != std::errc()) return false;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
  };
  const auto skip = [&](char one) {
    if (text.empty() || text.front() != one) return false;
    text.remove_prefix(1);
    return true;
  };
  Roster roster;
  if (!take(roster.since.raw)) return std::nullopt;
  while (!text.empty()) {
    MemberId member;
    Incarnation life;
    if (!skip(' ') || !take(member.raw) || !skip('=') || !take(life.raw)) return std::nullopt;
    if (roster.lives.size() >= most_voters) return std::nullopt;
    roster.lives[member] = life;
  }
  return roster;
}

Replica::Replica(Nanos now, MemberId self, Incarnation incarnation, std::set<MemberId> members,
                 std::set<MemberId> voters, const Settings& figures, ReplicaActions& orders)
    : actions_(orders), self_(self), incarnation_(incarnation), members_(std::move(members)),
      voters_(std::move(voters)), entries_(figures) {
  beat_ = static_cast<Nanos>(required_number(figures, "control.beat", 1));
  again_ = static_cast<Nanos>(required_number(figures, "control.again", 1));
  batch_ = span(figures, "control.batch", 0);
  grace_ = span(figures, "control.grace", 0);
  patience_ = static_cast<Nanos>(required_number(figures, "control.patience", 1));
  put_timeout_ = static_cast<Nanos>(required_number(figures, "control.put_timeout", 1));
  most_puts_ = static_cast<std::size_t>(required_number(figures, "control.most_puts", 1));
  most_log_ = static_cast<std::size_t>(required_number(figures, "control.most_log", 1));
  most_pending_ = static_cast<std::size_t>(required_number(figures, "control.most_pending", 1));
  most_batch_ = static_cast<std::size_t>(required_number(figures, "control.most_batch", 1));
  overhead_ = static_cast<std::size_t>(number(figures, "control.record_overhead", 0));
  most_batches_ = static_cast<std::size_t>(required_number(figures, "control.most_batches", 1));
  most_entries_ = static_cast<std::size_t>(required_number(figures, "control.most_entries", 1));
  most_bytes_ = static_cast<std::size_t>(required_number(figures, "control.most_bytes", 1));
  if (!members_.contains(self_) || members_.size() > most_members)
    throw std::invalid_argument("the control members are senseless");
  if (voters_.size() % 2 == 0 || voters_.size() > most_voters ||
      !std::includes(members_.begin(), members_.end(), voters_.begin(), voters_.end()))
    throw std::invalid_argument("the control members that vote are senseless");
  (void)now;
}

// ---- the log

std::size_t Replica::behind(Version version) const {
  const auto at = std::upper_bound(log_.begin(), log_.end(), version,
                                   [](Version v, const Record& r) { return v < r.entry.version; });
  return static_cast<std::size_t>(at - log_.begin());
}

bool Replica::in_log(Version version) const {
  if (version == log_from_) return true;
  const std::size_t next = behind(version);
  return next > 0 && log_[next - 1].entry.version == version;
}

void Replica::push(Record record) {
  pending_bytes_ += size_of(record);
  log_.push_back(std::move(record));
}

void Replica::trim() {
  while (log_.size() > most_log_ && log_.front().entry.version <= committed_) {
    log_from_ = log_.front().entry.version;
    log_.pop_front();
  }
}

Replica::Rosters Replica::rosters() const {
  Rosters all;
  const Entry* held = entries_.find(roster_key);
  if (held && !roster_.lives.empty()) all.emplace_back(held->version, roster_);
  for (std::size_t i = behind(committed_); i < log_.size(); ++i)
    if (log_[i].entry.key == roster_key)
      if (const auto roster = parse_roster(log_[i].entry.value))
        all.emplace_back(log_[i].entry.version, *roster);
  return all;
}

// Of equal rosters in a row the first says it all: terms that came to nothing each leave one.
LogStatus Replica::log_standing() const {
  LogStatus standing{last(), committed_, {}};
  for (auto& one : rosters())
    if (standing.rosters.empty() || standing.rosters.back().second != one.second)
      standing.rosters.push_back(std::move(one));
  return standing;
}

void Replica::learn_roster() {
  const Entry* held = entries_.find(roster_key);
  const auto roster = held ? parse_roster(held->value) : std::nullopt;
  roster_ = roster ? *roster : Roster{};
}

const Entry* Replica::newest(std::string_view key) const {
  for (std::size_t i = log_.size(); i > 0 && log_[i - 1].entry.version > committed_; --i)
    if (log_[i - 1].entry.key == key) return &log_[i - 1].entry;
  return entries_.find(key);
}

void Replica::commit(Nanos now, Version to) {
  for (std::size_t i = behind(committed_); i < log_.size() && log_[i].entry.version <= to; ++i) {
    const Record& record = log_[i];
    const Version version = record.entry.version;
    pending_bytes_ -= size_of(record);
    committed_ = version;
    if (!entries_.take(record.entry)) ++no_room_;
    entries_.reached(version);
    if (record.entry.key == roster_key) learn_roster();
    actions_.committed(record);
    if (record.put.raw != 0 && record.entry.writer == self_ && record.writer_incarnation == incarnation_)
      end_put(record.put, PutOutcome::done, version, {});
    // What a writer before had written and this log has not by now will never be in it.
    for (auto& [number, put] : puts_)
      if (put.token.raw != 0 && put.token < version.token && !put.doubtful)
        put.token = Token{}, put.again = now;
    if (phase_ != Phase::office || record.put.raw == 0 || version.token != token_) continue;
    const auto session = sessions_.find({record.entry.writer, record.writer_incarnation});
    if (session == sessions_.end()) continue;
    const auto result = session->second.results.find(record.put);
    if (result == session->second.results.end()) continue;
    result->second.ended = true;
    result->second.end = PutOutcome::done;
    result->second.version = version;
    if (record.entry.writer != self_)
      actions_.answer(record.entry.writer, record.writer_incarnation, token_, record.put, PutOutcome::done,
                      version, {});
  }
  trim();
}

// ---- promises

// Word of a member that has, or wants, this token: is it the greatest yet, or still that one's?
bool Replica::heed(Nanos now, MemberId from, Incarnation of, Token token) {
  if (token < promised_ || (token == promised_ && (writer_.member != from || writer_.of != of))) {
    actions_.refuse(from, of, token, promised_);
    return false;
  }
  if (token == promised_) return true;
  if (phase_ != Phase::none) supersede(token);
  promised_ = token;
  writer_ = {from, of, -1};
  fetch_ = {};
  for (auto& [number, put] : puts_) put.again = now;
  return true;
}

void Replica::prepared(Nanos now, MemberId from, Incarnation of, Token token, std::uint32_t round) {
  if (!members_.contains(from) || from == self_ || token.raw == 0) return void(++senseless_);
  if (heed(now, from, of, token)) actions_.promise(from, of, token, round, log_standing());
}

// ---- the writer

void Replica::lease_held(Nanos now, Token token, Nanos until) {
  if (token == token_) {
    if (phase_ != Phase::none) until_ = std::max(until_, until);
    return;
  }
  step_down();
  token_ = token;
  until_ = until;
  if (token <= promised_) return supersede(promised_);
  promised_ = token;
  writer_ = {self_, incarnation_, -1};
  fetch_ = {};
  phase_ = Phase::asking;
  round_ = 0;
  asked_at_ = now;
  lives_before_.clear();
  ask(now);
  evaluate(now);
}

void Replica::lease_lost(Nanos, Token token) {
  if (token == token_) step_down();
}

void Replica::step_down() {
  const bool office = phase_ == Phase::office;
  if (phase_ == Phase::fetching) fetch_ = {};
  phase_ = Phase::none;
  fellows_.clear();
  sessions_.clear();
  answers_.clear();
  send_at_ = -1;
  if (office) actions_.stepped_down(token_);
}

void Replica::supersede(Token seen) {
  step_down();
  // Against a token that two lives have had: the next has to be over it.
  actions_.superseded(token_, std::max(seen, Token{token_.raw + 1}));
}

void Replica::refused(Nanos, MemberId from, Incarnation, Incarnation to, Token token, Token seen) {
  if (!members_.contains(from)) return void(++senseless_);
  if (to != incarnation_ || token != token_ || phase_ == Phase::none || seen < token) return;
  supersede(seen);
}

// A round: all members are asked, and only answers of this round count.
void Replica::ask(Nanos now) {
  ++round_;
  answers_.clear();
  answers_[self_] = {incarnation_, {}};
  ask_again_ = now + again_;
  for (const MemberId member : members_)
    if (member != self_) actions_.prepare(member, token_, round_);
}

void Replica::promised(Nanos now, MemberId from, Incarnation of, Incarnation to, Token token,
                       std::uint32_t round, const LogStatus& standing) {
  if (!members_.contains(from) || from == self_) return void(++senseless_);
  if (to != incarnation_ || token != token_ || phase_ != Phase::asking || round != round_ || now >= until_)
    return;
  answers_[from] = {of, standing};
  evaluate(now);
}

void Replica::evaluate(Nanos now) {
  answers_[self_].standing = log_standing();
  MemberId best = self_;
  Version committed{};
  for (const auto& [member, answer] : answers_) {
    if (answer.standing.last > answers_[best].standing.last) best = member;
    committed = std::max(committed, answer.standing.committed);
  }
  const LogStatus& log = answers_[best].standing;
  const Rosters force = in_force(log.rosters, committed);
  std::size_t counted = 0, heard = 0;
  std::map<MemberId, Incarnation> lives;
  for (const MemberId voter : voters_) {
    const auto at = answers_.find(voter);
    if (at == answers_.end()) continue;
    ++heard;
    lives[voter] = at->second.of;
    if (counts(force, voter, at->second.of)) ++counted;
  }
  const bool enough = counted >= majority_of(voters_.size());
  if (!enough) {
    if (heard < voters_.size()) return;
    // Against voters that answered, started anew and were brought up by a writer before: all have to have
    // lived, with their promises, at one moment, between the two rounds.
    if (lives != lives_before_) {
      lives_before_ = lives;
      return ask(now);
    }
    if (answers_.size() < members_.size() && now < asked_at_ + grace_) return;
  }
  by_all_ = !enough;
  chosen_ = log;
  known_committed_ = committed;
  if (chosen_.last == last()) return begin(now);
  phase_ = Phase::fetching;
  begin_fetch(now, best, committed_);
}

// With the log that was chosen: it is this member's own by now.
void Replica::begin(Nanos now) {
  const auto answers = answers_;
  const Version before = last();
  commit(now, known_committed_);
  Roster roster;
  if (by_all_) {
    roster.since = token_;
    roster.lives = lives_before_;
  } else if (const Rosters all = rosters(); !all.empty()) {
    roster = all.back().second;
  }
  phase_ = Phase::office;
  writer_.last_received_at = now;
  level_ = true;
  fellows_.clear();
  sessions_.clear();
  for (const MemberId member : members_) {
    if (member == self_) continue;
    Fellow& fellow = fellows_[member];
    fellow.sent = before;
    fellow.window = most_batches_;
    fellow.next_beat = now;
    if (const auto at = answers.find(member); at != answers.end()) {
      fellow.of = at->second.of;
      fellow.known = true;
      fellow.known_from = 1;
    }
  }
  actions_.began(token_, by_all_);
  write_roster(now, std::move(roster));
  settle(now);
  for (auto& [number, put] : puts_) put.again = now;
}

Version Replica::write(Nanos now, Record record) {
  const Version before = last();
  record.entry.version = {token_, before.token == token_ ? before.number + 1 : 1};
  push(std::move(record));
  if (send_at_ < 0) send_at_ = now + batch_;
  return last();
}

void Replica::write_roster(Nanos now, Roster roster) {
  Record record;
  record.entry.key = roster_key;
  record.entry.value = format_roster(roster);
  record.entry.writer = self_;
  record.writer_incarnation = incarnation_;
  write(now, std::move(record));
}

// Lives of voters that are up to this term and don't count yet; one roster after the other.
void Replica::join(Nanos now) {
  const Rosters force = rosters();
  if (force.size() != 1 || force.front().first > committed_) return;
  Roster next = force.front().second;
  for (const MemberId voter : voters_) {
    Incarnation life = incarnation_;
    if (voter != self_) {
      const auto at = fellows_.find(voter);
      if (!at->second.alive || at->second.matched.token != token_) continue;
      life = at->second.of;
    }
    next.lives[voter] = life;
  }
  if (next != force.front().second) write_roster(now, std::move(next));
}

// What a majority of the lives that count hold is committed, from this term's first record on: an older one
// alone could still be outdone by another log.
void Replica::settle(Nanos now) {
  for (;;) {
    const Rosters force = in_force(rosters(), committed_);
    std::vector<Version> matched;
    for (const MemberId voter : voters_) {
      const auto at = fellows_.find(voter);
      if (voter == self_) {
        if (counts(force, self_, incarnation_)) matched.push_back(last());
      } else if (at->second.known && counts(force, voter, at->second.of)) {
        matched.push_back(at->second.matched);
      }
    }
    const std::size_t majority = majority_of(voters_.size());
    if (matched.size() < majority) break;
    std::sort(matched.begin(), matched.end(), std::greater<>());
    const Version held = matched[majority - 1];
    if (held.token != token_ || held <= committed_) break;
    commit(now, held);
    if (send_at_ < 0) send_at_ = now + batch_;
  }
  join(now);
}

void Replica::appended(Nanos now, MemberId from, Incarnation of, Incarnation to, Token token,
                       std::uint64_t mark, Version matched, bool gap) {
  if (!members_.contains(from) || from == self_) return void(++senseless_);
  if (to != incarnation_ || token != token_ || phase_ != Phase::office || now >= until_) return;
  Fellow& fellow = fellows_[from];
  if (mark > fellow.mark || (!gap && matched > last())) return void(++senseless_);
  if (!fellow.known || fellow.of != of) { // what the life before held is gone
    fellow.of = of;
    fellow.known = true;
    fellow.alive = false;
    fellow.known_from = fellow.mark + 1;
    fellow.matched = fellow.base = {};
    fellow.sent = last();
    fellow.back_at = 0;
    fellow.gaps = 0;
    fellow.lagging = false;
  }
  fellow.echoed = std::max(fellow.echoed, mark);
  if (mark >= fellow.known_from) fellow.alive = true;
  fellow.window = most_batches_;
  if (gap) {
    if (mark <= fellow.back_at) return; // said before it was sent again
    fellow.back_at = fellow.echoed = fellow.mark;
    fellow.lagging = matched < log_from_;
    ++fellow.gaps;
    if (!fellow.lagging) {
      // To there, or to what comes before: it will see that what it has is not in this log.
      const std::size_t next = behind(matched);
      const Version there = next == 0 ? log_from_ : log_[next - 1].entry.version;
      if (there > fellow.base) fellow.gaps = 1;
      fellow.sent = fellow.base = there;
    }
    if (fellow.gaps == 1) return send(now, from, fellow, false);
    fellow.again = now + again_; // against two that say the same to each other as fast as they can
    return;
  }
  fellow.gaps = 0;
  fellow.lagging = false;
  fellow.matched = std::max(fellow.matched, matched);
  fellow.sent = std::max(fellow.sent, fellow.matched);
  fellow.again = fellow.sent > fellow.matched ? now + again_ : -1;
  settle(now);
  send(now, from, fellow, false);
}

void Replica::send(Nanos now, MemberId to, Fellow& fellow, bool beat) {
  if (fellow.sent < log_from_) fellow.lagging = true; // the log has gone on without it
  if (fellow.lagging) fellow.sent = last(), fellow.again = -1;
  Append append;
  append.token = token_;
  append.log_from = log_from_;
  append.committed = committed_;
  const auto out = [&] {
    append.sequence = ++fellow.mark;
    append.previous = fellow.sent;
    actions_.append(to, append);
    fellow.told = committed_;
    fellow.next_beat = now + beat_;
  };
  bool sent = false;
  std::size_t next = behind(fellow.sent);
  while (next < log_.size() && fellow.mark - fellow.echoed < fellow.window) {
    append.records.clear();
    for (std::size_t bytes = 0; next < log_.size(); ++next) {
      bytes += size_of(log_[next]) + overhead_;
      if (bytes > most_batch_ && !append.records.empty()) break;
      append.records.push_back(log_[next]);
    }
    out();
    fellow.sent = append.records.back().entry.version;
    if (fellow.again < 0) fellow.again = now + again_;
    sent = true;
  }
  append.records.clear();
  if (!sent && (beat || fellow.told < committed_)) out();
}

// ---- puts at the writer

std::string Replica::why_refused(const Entry& entry, const std::optional<Version>& expected) {
  if (entry.key == control_scope || scope_of(entry.key).substr(0, control_scope.size()) == control_scope)
    return "the scope is the control members' own";
  if (const auto why = entries_.rejection_reason(entry); !why.empty()) return std::string(why);
  const std::size_t pending = log_.size() - behind(committed_);
  if (pending >= most_pending_) return "too many writes are under way";
  if (!entry.deleted &&
      (entries_.count() + pending >= most_entries_ ||
       entries_.bytes() + pending_bytes_ + entry.key.size() + entry.value.size() > most_bytes_))
    return "no room beside the writes that are under way";
  const Entry* held = newest(entry.key);
  const bool none = !held || held->deleted;
  if (expected &&
      (none ? *expected != Version{} && !(held && *expected == held->version) : *expected != held->version))
    return "it was changed meanwhile";
  if (entry.deleted && none) return "there is no such entry";
  return actions_.rejection_reason(entry);
}

void Replica::passed(Nanos now, MemberId from, Incarnation of, Incarnation to, Token token,
                     const ForwardedPut& put) {
  if (!members_.contains(from) || from == self_ || put.number.raw == 0) return void(++senseless_);
  if (to != incarnation_ || token != token_ || phase_ != Phase::office || now >= until_) return;
  take_put(now, from, of, put);
}

void Replica::take_put(Nanos now, MemberId from, Incarnation of, const ForwardedPut& put) {
  auto at = sessions_.find({from, of});
  if (at == sessions_.end()) {
    if (sessions_.size() >= most_sessions)
      std::erase_if(sessions_,
                    [&](const auto& one) { return one.second.last_received_at + session_kept < now; });
    if (sessions_.size() >= most_sessions) return void(++senseless_);
    at = sessions_.try_emplace({from, of}).first;
  }
  Session& session = at->second;
  session.last_received_at = now;
  session.oldest = std::max(session.oldest, put.oldest);
  session.results.erase(session.results.begin(), session.results.lower_bound(session.oldest));
  if (put.number < session.oldest) return; // ended there: against one that comes late and is written again
  if (const auto known = session.results.find(put.number); known != session.results.end()) {
    const Session::Result& result = known->second;
    if (result.ended && from != self_)
      actions_.answer(from, of, token_, put.number, result.end, result.version, result.why);
    return;
  }
  if (session.results.size() >= most_results) return;
  Record record;
  record.entry = {put.key, put.value, {}, from, put.deleted};
  record.writer_incarnation = of;
  record.put = put.number;
  // A refusal is kept as well: the same put may not be written later.
  Session::Result& result = session.results[put.number];
  result.why = why_refused(record.entry, put.expected);
  if (result.why.empty()) {
    write(now, std::move(record));
    return settle(now); // it may be alone
  }
  result.ended = true;
  result.end = PutOutcome::refused;
  if (from == self_)
    end_put(put.number, PutOutcome::refused, {}, std::string(result.why));
  else
    actions_.answer(from, of, token_, put.number, PutOutcome::refused, {}, result.why);
}

// ---- puts of this member

PutNumber Replica::put(Nanos now, std::string key, std::string value, bool deleted,
                       std::optional<Version> expected) {
  if (puts_.size() >= most_puts_) return PutNumber{0};
  const PutNumber number{++put_count_};
  Put& put = puts_[number];
  put.put = {number, {}, std::move(key), std::move(value), deleted, expected};
  put.deadline = now + put_timeout_;
  pass_on(now, number);
  return number;
}

PutNumber Replica::oldest_put() const {
  return puts_.empty() ? PutNumber{put_count_ + 1} : puts_.begin()->first;
}

void Replica::pass_on(Nanos now, PutNumber number) {
  Put& put = puts_.at(number);
  put.again = now + again_;
  if (writer_.last_received_at < 0) return; // none in office is known
  if (put.token.raw != 0 && put.token != promised_) {
    if (put.doubtful) end_put(number, PutOutcome::unknown, {}, "its writer is gone, and with it the answer");
    return; // the log will tell
  }
  put.put.oldest = oldest_put();
  if (writer_.member != self_) {
    put.token = promised_;
    actions_.pass(writer_.member, writer_.of, promised_, put.put);
  } else if (is_writer(now)) {
    put.token = token_;
    const ForwardedPut copy = put.put; // it may end within
    take_put(now, self_, incarnation_, copy);
  }
}

void Replica::answered(Nanos, MemberId from, Incarnation, Incarnation to, Token token, PutNumber number,
                       PutOutcome end, Version version, std::string_view why) {
  if (!members_.contains(from)) return void(++senseless_);
  const auto at = puts_.find(number);
  if (to != incarnation_ || at == puts_.end() || at->second.token != token) return;
  end_put(number, end, version, why);
}

void Replica::end_put(PutNumber number, PutOutcome end, Version version, std::string_view why) {
  if (puts_.erase(number) > 0) actions_.ended(number, end, version, why);
}

// ---- the others

void Replica::appending(Nanos now, MemberId from, Incarnation of, const Append& append) {
  if (!members_.contains(from) || from == self_ || append.token.raw == 0) return void(++senseless_);
  if (!heed(now, from, of, append.token)) return;
  if (writer_.last_received_at < 0)
    for (auto& [number, put] : puts_) put.again = now;
  writer_.last_received_at = now;
  const auto& records = append.records;
  for (std::size_t i = 0; i < records.size(); ++i)
    if (records[i].entry.version <= (i == 0 ? append.previous : records[i - 1].entry.version))
      return void(++senseless_);
  const auto answer = [&](Version matched, bool gap) {
    actions_.appended(from, of, append.token, append.sequence, matched, gap);
  };
  std::size_t next = 0; // the first that is not committed here
  if (append.previous < committed_) {
    while (next < records.size() && records[next].entry.version <= committed_) ++next;
    const bool meets = next > 0 && records[next - 1].entry.version == committed_;
    if (!meets && next == records.size()) return answer(committed_, true);
    if (!meets) {
      // What this member has as committed is not in that log: it was lost where a majority was. Nothing is
      // given up for that before the writer has committed more; until then there is no answer.
      if (append.committed > committed_ && !fetch_.under_way) begin_fetch(now, from, {});
      return;
    }
  } else if (!in_log(append.previous)) {
    if (append.log_from > committed_ && !fetch_.under_way) begin_fetch(now, from, committed_);
    return answer(committed_, true);
  }
  fetch_ = {};
  Version matched = next > 0 ? records[next - 1].entry.version : append.previous;
  for (std::size_t at = behind(matched); next < records.size(); ++next, ++at) {
    if (at < log_.size() && log_[at].entry.version != records[next].entry.version)
      while (log_.size() > at) { // of writers before, and never committed
        pending_bytes_ -= size_of(log_.back());
        log_.pop_back();
      }
    if (at == log_.size()) {
      if (log_.size() - behind(committed_) > most_pending_ + most_terms) break;
      push(records[next]);
    }
    matched = records[next].entry.version;
  }
  commit(now, std::min(append.committed, matched));
  if (committed_ >= append.committed) level_ = true;
  answer(matched, false);
}

bool Replica::ready() const {
  if (!voters_.contains(self_)) return level_;
  const auto at = roster_.lives.find(self_);
  return at != roster_.lives.end() && at->second == incarnation_;
}

// ---- transfers of a state

void Replica::begin_fetch(Nanos now, MemberId from, Version base) {
  fetch_ = {};
  fetch_.under_way = true;
  fetch_.from = from;
  fetch_.base = fetch_.cursor = base;
  fetch_.deadline = now + patience_;
  ask_chunks(now);
}

void Replica::ask_chunks(Nanos now) {
  fetch_.again = now + again_;
  fetch_.taken = 0;
  actions_.fetch(fetch_.from, promised_, fetch_.base, fetch_.cursor, roster_.since);
}

void Replica::fetched(Nanos now, MemberId from, Incarnation of, Token token, Version base, Version cursor,
                      Token since) {
  if (!members_.contains(from) || from == self_) return void(++senseless_);
  if (token < promised_) return actions_.refuse(from, of, token, promised_);
  const bool mine = writer_.member == self_ && is_writer(now);
  const bool theirs = writer_.member == from && writer_.of == of; // it begins with this log
  if (token != promised_ || (!mine && !theirs)) return;
  Chunk chunk;
  chunk.token = token;
  chunk.base = base;
  chunk.floor = entries_.floor();
  chunk.committed = committed_;
  if (base != Version{} &&
      (since != roster_.since || base < chunk.floor || (base > committed_ && !in_log(base)))) {
    chunk.unavailable = true;
    return actions_.chunk(from, of, chunk);
  }
  for (std::size_t count = 0; count < most_batches_ && !chunk.last; ++count) {
    chunk.from = chunk.to = cursor;
    chunk.records.clear();
    std::size_t bytes = 0;
    const auto fits = [&](std::size_t more) {
      bytes += more + overhead_;
      return chunk.records.empty() || bytes <= most_batch_;
    };
    bool whole = true;
    entries_.since(cursor, committed_, {}, [&](const Entry& entry) {
      whole = fits(size_of(entry));
      if (whole) chunk.records.push_back({entry, {}, {}}), chunk.to = entry.version;
      return whole;
    });
    if (whole) {
      chunk.to = std::max(chunk.to, committed_);
      for (std::size_t next = behind(chunk.to); whole && next < log_.size(); ++next) {
        whole = fits(size_of(log_[next]));
        if (whole) chunk.records.push_back(log_[next]), chunk.to = log_[next].entry.version;
      }
    }
    chunk.last = whole;
    cursor = chunk.to;
    actions_.chunk(from, of, chunk);
  }
}

void Replica::chunked(Nanos now, MemberId from, Incarnation of, Incarnation to, const Chunk& chunk) {
  if (to != incarnation_ || !fetch_.under_way || from != fetch_.from || chunk.token != promised_ ||
      chunk.base != fetch_.base)
    return;
  if (chunk.unavailable) {
    if (fetch_.base != Version{}) begin_fetch(now, from, {});
    return;
  }
  if (fetch_.known && fetch_.of != of) return begin_fetch(now, from, fetch_.base);
  fetch_.of = of;
  fetch_.known = true;
  if (chunk.from < fetch_.cursor || (chunk.from == fetch_.cursor && chunk.to == chunk.from && !chunk.last))
    return;
  if (chunk.from > fetch_.cursor) {
    if (fetch_.early.size() < most_batches_) fetch_.early.emplace(chunk.from, chunk);
    return;
  }
  fetch_.deadline = now + patience_;
  Chunk next = chunk;
  for (;;) {
    // Against an older piece behind a newer one, which has left out what was overwritten between.
    if (next.committed >= fetch_.committed) {
      if (!take_chunk(next)) return begin_fetch(now, from, fetch_.base);
      if (next.last) return adopt(now, next.committed);
    }
    const auto at = fetch_.early.find(fetch_.cursor);
    if (at == fetch_.early.end()) break;
    next = std::move(at->second);
    fetch_.early.erase(at);
  }
  if (fetch_.taken >= most_batches_) ask_chunks(now);
}

bool Replica::take_chunk(const Chunk& chunk) {
  fetch_.committed = chunk.committed;
  // Against a deletion that came after what was told of its key, and is forgotten by now.
  if (!fetch_.first && chunk.floor > fetch_.floor && chunk.floor > fetch_.cursor) return false;
  fetch_.first = false;
  fetch_.floor = std::max(fetch_.floor, chunk.floor);
  ++fetch_.taken;
  for (const Record& record : chunk.records) {
    const Version version = record.entry.version;
    if (version <= fetch_.cursor || version > chunk.to) return ++senseless_, false;
    Version& newest = fetch_.newest[record.entry.key];
    if (const auto before = fetch_.records.find(newest);
        before != fetch_.records.end() && version <= chunk.committed) {
      fetch_.bytes -= size_of(before->second);
      fetch_.records.erase(before);
    }
    newest = version;
    fetch_.bytes += size_of(record);
    fetch_.records.emplace(version, record);
  }
  fetch_.cursor = chunk.to;
  return fetch_.bytes <= most_staged * most_bytes_ + 2 * most_pending_ * most_batch_;
}

// All of it is there: taken in one go. A committed state is only ever replaced by a later one.
void Replica::adopt(Nanos now, Version committed) {
  const bool writer = phase_ == Phase::fetching;
  if (writer) committed = std::max(committed, known_committed_);
  Fetch got = std::move(fetch_);
  fetch_ = {};
  if (committed < committed_ || (!writer && committed == committed_)) return;
  // Against giving up what came by the log meanwhile, and was acked.
  if (!writer && in_log(committed)) return commit(now, committed);
  std::map<std::string_view, const Record*> newest;
  for (const auto& [version, record] : got.records)
    if (version <= committed) newest[record.entry.key] = &record;
  if (got.base == Version{}) entries_.clear();
  // Least room first, so that what fits in the end fits on the way.
  std::vector<const Entry*> order;
  for (const auto& [key, record] : newest) order.push_back(&record->entry);
  const auto growth = [&](const Entry* entry) {
    const Entry* held = entries_.find(entry->key);
    const auto size = [](const Entry& one) {
      return one.deleted ? 0 : static_cast<std::int64_t>(one.key.size() + one.value.size());
    };
    return size(*entry) - (held ? size(*held) : 0);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](const Entry* a, const Entry* b) { return growth(a) < growth(b); });
  for (const Entry* entry : order)
    if (!entries_.take(*entry) && entry->version > committed_) ++no_room_;
  entries_.raise_floor(got.floor);
  entries_.reached(committed);
  committed_ = log_from_ = committed;
  log_.clear();
  pending_bytes_ = 0;
  for (auto& [version, record] : got.records)
    if (version > committed) push(std::move(record));
  learn_roster();
  for (auto& [number, put] : puts_) put.doubtful = put.doubtful || put.token.raw != 0;
  actions_.replaced();
  if (!writer) return;
  if (last() == chosen_.last) return begin(now);
  phase_ = Phase::asking;
  ask(now);
}

// ---- time

Nanos Replica::next_wake() const {
  Nanos next = -1;
  const auto at = [&](Nanos time) {
    if (time >= 0 && (next < 0 || time < next)) next = time;
  };
  if (phase_ != Phase::none) at(until_);
  if (phase_ == Phase::asking) at(ask_again_);
  if (phase_ == Phase::office) at(send_at_);
  for (const auto& [member, fellow] : fellows_) at(fellow.next_beat), at(fellow.again);
  if (fetch_.under_way) at(std::min(fetch_.again, fetch_.deadline));
  for (const auto& [number, put] : puts_) at(std::min(put.again, put.deadline));
  return next;
}

void Replica::due(Nanos now) {
  if (phase_ != Phase::none && now >= until_) step_down();
  if (phase_ == Phase::asking && now >= ask_again_) {
    ask_again_ = now + again_;
    for (const MemberId member : members_)
      if (!answers_.contains(member)) actions_.prepare(member, token_, round_);
    evaluate(now);
  }
  if (fetch_.under_way && now >= fetch_.deadline) {
    fetch_ = {};
    if (phase_ == Phase::fetching) { // it has gone: another has the most, perhaps
      phase_ = Phase::asking;
      lives_before_.clear();
      ask(now);
    }
  } else if (fetch_.under_way && now >= fetch_.again) {
    ask_chunks(now);
  }
  if (phase_ == Phase::office) {
    const bool all = send_at_ >= 0 && now >= send_at_;
    if (all) send_at_ = -1;
    for (auto& [member, fellow] : fellows_) {
      if (fellow.again >= 0 && now >= fellow.again) { // no answer: one batch at a time, until there is one
        fellow.sent = std::max(fellow.matched, fellow.base);
        fellow.window = 1;
        fellow.echoed = fellow.back_at = fellow.mark;
        fellow.again = -1;
        send(now, member, fellow, false);
      } else if (all || now >= fellow.next_beat) {
        send(now, member, fellow, now >= fellow.next_beat);
      }
    }
  }
  std::vector<PutNumber> due_puts;
  for (const auto& [number, put] : puts_)
    if (now >= std::min(put.again, put.deadline)) due_puts.push_back(number);
  for (const PutNumber number : due_puts) {
    const auto at = puts_.find(number);
    if (at == puts_.end()) continue;
    if (now < at->second.deadline)
      pass_on(now, number);
    else if (at->second.token.raw == 0)
      end_put(number, PutOutcome::refused, {}, "no writer was in office");
    else
      end_put(number, PutOutcome::unknown, {}, "no answer in time");
  }
}

Replica::Status Replica::status() const {
  Status now;
  now.ready = ready();
  now.office = phase_ == Phase::office;
  now.establishing = phase_ == Phase::asking || phase_ == Phase::fetching;
  now.fetching = fetch_.under_way;
  if (writer_.last_received_at >= 0) now.writer = writer_.member, now.token = promised_;
  now.last_received_at = writer_.last_received_at;
  now.last = last();
  now.committed = committed_;
  now.roster = roster_;
  now.puts = puts_.size();
  now.puts_so_far = put_count_;
  now.pending = log_.size() - behind(committed_);
  for (const auto& [member, fellow] : fellows_) now.matched[member] = fellow.matched;
  return now;
}

} // namespace cometshift
