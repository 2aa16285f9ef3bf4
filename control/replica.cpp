#include "replica.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cometshift {

namespace {

constexpr std::size_t max_members = 64;   // control members; the writer sends to all of them
constexpr std::size_t max_voters = 7;     // as for leases: three of seven may fail
constexpr std::size_t max_sessions = 256; // incarnations of members that forward puts, in one term
// Consecutive terms that commit nothing. Each leaves a roster in the log, so a smaller limit on the log would
// block all progress. With terms of one second this is 18 hours.
constexpr std::size_t max_uncommitted_terms = 65'536;
constexpr Nanos session_retention = 600'000'000'000;  // ns; no message is in flight for so long
constexpr std::size_t max_results_per_session = 4096; // more than a member has in progress
// Limit on a state that is being fetched, as a multiple of the limit on bytes.
constexpr std::size_t max_fetch_factor = 2;

std::size_t size_of(const Entry& entry) { return entry.key.size() + entry.value.size(); }
std::size_t size_of(const Record& record) { return size_of(record.entry); }

std::size_t majority_of(std::size_t voters) { return voters / 2 + 1; }

using Rosters = std::vector<std::pair<Version, Roster>>;

// Whether this roster begins a new history, after which earlier rosters are no longer in force.
bool starts_new_history(Version version, const Roster& roster) {
  return version.number == 1 && version.token == roster.since;
}
// The rosters that may be in force when everything up to `committed` is committed.
Rosters effective_rosters(const Rosters& all, Version committed) {
  Rosters left;
  for (const auto& [version, roster] : all) {
    if (version <= committed || starts_new_history(version, roster)) left.clear();
    left.emplace_back(version, roster);
  }
  return left;
}
// An incarnation counts only if all rosters that may be in force name it, because an uncommitted roster may
// remove or add it.
bool counts_as_voter(const Rosters& effective_rosters, MemberId voter, Incarnation incarnation) {
  if (effective_rosters.empty()) return false;
  return std::all_of(effective_rosters.begin(), effective_rosters.end(), [&](const auto& one) {
    const auto at = one.second.incarnations.find(voter);
    return at != one.second.incarnations.end() && at->second == incarnation;
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
  for (const auto& [member, incarnation] : roster.incarnations)
    text += " " + std::to_string(member.raw) + "=" + std::to_string(incarnation.raw);
  return text;
}

std::optional<Roster> parse_roster(std::string_view text) {
  constexpr std::string_view start = "since=";
  if (!text.starts_with(start)) return std::nullopt;
  text.remove_prefix(start.size());
  const auto parse_number = [&](auto& into) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into);
    if (error != std::errc()) return false;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
  };
  const auto parse_char = [&](char one) {
    if (text.empty() || text.front() != one) return false;
    text.remove_prefix(1);
    return true;
  };
  Roster roster;
  if (!parse_number(roster.since.raw)) return std::nullopt;
  while (!text.empty()) {
    MemberId member;
    Incarnation incarnation;
    if (!parse_char(' ') || !parse_number(member.raw) || !parse_char('=') || !parse_number(incarnation.raw))
      return std::nullopt;
    if (roster.incarnations.size() >= max_voters) return std::nullopt;
    roster.incarnations[member] = incarnation;
  }
  return roster;
}

Replica::Replica(Nanos now, MemberId self, Incarnation incarnation, std::set<MemberId> members,
                 std::set<MemberId> voters, const Settings& settings, ReplicaActions& actions)
    : actions_(actions), self_(self), incarnation_(incarnation), members_(std::move(members)),
      voters_(std::move(voters)), entries_(settings) {
  beat_interval_ = static_cast<Nanos>(required_number(settings, "control.beat", 1));
  retry_interval_ = static_cast<Nanos>(required_number(settings, "control.again", 1));
  batch_delay_ = span(settings, "control.batch", 0);
  nonvoter_grace_ = span(settings, "control.grace", 0);
  fetch_timeout_ = static_cast<Nanos>(required_number(settings, "control.patience", 1));
  put_timeout_ = static_cast<Nanos>(required_number(settings, "control.put_timeout", 1));
  max_puts_ = static_cast<std::size_t>(required_number(settings, "control.most_puts", 1));
  max_log_records_ = static_cast<std::size_t>(required_number(settings, "control.most_log", 1));
  max_pending_records_ = static_cast<std::size_t>(required_number(settings, "control.most_pending", 1));
  max_batch_bytes_ = static_cast<std::size_t>(required_number(settings, "control.most_batch", 1));
  record_overhead_ = static_cast<std::size_t>(number(settings, "control.record_overhead", 0));
  max_batches_ = static_cast<std::size_t>(required_number(settings, "control.most_batches", 1));
  max_entries_ = static_cast<std::size_t>(required_number(settings, "control.most_entries", 1));
  max_bytes_ = static_cast<std::size_t>(required_number(settings, "control.most_bytes", 1));
  if (!members_.contains(self_) || members_.size() > max_members)
    throw std::invalid_argument(
        "invalid list of control members: this member is missing, or there are more than 64");
  if (voters_.size() % 2 == 0 || voters_.size() > max_voters ||
      !std::includes(members_.begin(), members_.end(), voters_.begin(), voters_.end()))
    throw std::invalid_argument(
        "invalid list of voters: must be an odd number, at most 7, and all of them control members");
  (void)now;
}

// ---- the log

std::size_t Replica::index_after(Version version) const {
  const auto at = std::upper_bound(log_.begin(), log_.end(), version,
                                   [](Version v, const Record& r) { return v < r.entry.version; });
  return static_cast<std::size_t>(at - log_.begin());
}

bool Replica::in_log(Version version) const {
  if (version == log_from_) return true;
  const std::size_t next = index_after(version);
  return next > 0 && log_[next - 1].entry.version == version;
}

void Replica::append_record(Record record) {
  pending_bytes_ += size_of(record);
  log_.push_back(std::move(record));
}

void Replica::trim() {
  while (log_.size() > max_log_records_ && log_.front().entry.version <= committed_) {
    log_from_ = log_.front().entry.version;
    log_.pop_front();
  }
}

Replica::Rosters Replica::rosters() const {
  Rosters all;
  const Entry* held = entries_.find(roster_key);
  if (held && !roster_.incarnations.empty()) all.emplace_back(held->version, roster_);
  for (std::size_t i = index_after(committed_); i < log_.size(); ++i)
    if (log_[i].entry.key == roster_key)
      if (const auto roster = parse_roster(log_[i].entry.value))
        all.emplace_back(log_[i].entry.version, *roster);
  return all;
}

// Of consecutive equal rosters only the first is reported; each term that commits nothing leaves one.
LogStatus Replica::log_status() const {
  LogStatus status{last(), committed_, {}};
  for (auto& one : rosters())
    if (status.rosters.empty() || status.rosters.back().second != one.second)
      status.rosters.push_back(std::move(one));
  return status;
}

void Replica::update_roster() {
  const Entry* held = entries_.find(roster_key);
  const auto roster = held ? parse_roster(held->value) : std::nullopt;
  roster_ = roster ? *roster : Roster{};
}

const Entry* Replica::newest_entry(std::string_view key) const {
  for (std::size_t i = log_.size(); i > 0 && log_[i - 1].entry.version > committed_; --i)
    if (log_[i - 1].entry.key == key) return &log_[i - 1].entry;
  return entries_.find(key);
}

void Replica::commit(Nanos now, Version to) {
  for (std::size_t i = index_after(committed_); i < log_.size() && log_[i].entry.version <= to; ++i) {
    const Record& record = log_[i];
    const Version version = record.entry.version;
    pending_bytes_ -= size_of(record);
    committed_ = version;
    if (!entries_.apply(record.entry)) ++entries_without_room_;
    entries_.advance_to(version);
    if (record.entry.key == roster_key) update_roster();
    actions_.committed(record);
    if (record.put.raw != 0 && record.entry.writer == self_ && record.writer_incarnation == incarnation_)
      finish_put(record.put, PutOutcome::done, version, {});
    // A put that an earlier writer may have written and that this log does not contain by now can never
    // appear in it, so it is safe to forward it again.
    for (auto& [number, put] : puts_)
      if (put.token.raw != 0 && put.token < version.token && !put.outcome_hidden)
        put.token = Token{}, put.retry_at = now;
    if (phase_ != Phase::writing || record.put.raw == 0 || version.token != token_) continue;
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

// Handles the token of a member that has it or asks for a promise: accepts it if it is greater than all
// before, or if it is the promised one from the same incarnation.
bool Replica::accept_token(Nanos now, MemberId from, Incarnation incarnation, Token token) {
  if (token < promised_ ||
      (token == promised_ && (writer_.member != from || writer_.incarnation != incarnation))) {
    actions_.refuse(from, incarnation, token, promised_);
    return false;
  }
  if (token == promised_) return true;
  if (phase_ != Phase::none) supersede(token);
  promised_ = token;
  writer_ = {from, incarnation, -1};
  fetch_ = {};
  for (auto& [number, put] : puts_) put.retry_at = now;
  return true;
}

void Replica::prepared(Nanos now, MemberId from, Incarnation incarnation, Token token, std::uint32_t round) {
  if (!members_.contains(from) || from == self_ || token.raw == 0) return void(++invalid_);
  if (accept_token(now, from, incarnation, token))
    actions_.promise(from, incarnation, token, round, log_status());
}

// ---- the writer

void Replica::lease_held(Nanos now, Token token, Nanos until) {
  if (token == token_) {
    if (phase_ != Phase::none) lease_until_ = std::max(lease_until_, until);
    return;
  }
  step_down();
  token_ = token;
  lease_until_ = until;
  if (token <= promised_) return supersede(promised_);
  promised_ = token;
  writer_ = {self_, incarnation_, -1};
  fetch_ = {};
  phase_ = Phase::preparing;
  round_ = 0;
  preparing_since_ = now;
  previous_round_incarnations_.clear();
  start_round(now);
  evaluate_promises(now);
}

void Replica::lease_lost(Nanos, Token token) {
  if (token == token_) step_down();
}

void Replica::step_down() {
  const bool writing = phase_ == Phase::writing;
  if (phase_ == Phase::fetching) fetch_ = {};
  phase_ = Phase::none;
  peers_.clear();
  sessions_.clear();
  answers_.clear();
  send_at_ = -1;
  if (writing) actions_.stepped_down(token_);
}

void Replica::supersede(Token seen) {
  step_down();
  // The next token has to be greater than this one, in case two incarnations have held the same token.
  actions_.superseded(token_, std::max(seen, Token{token_.raw + 1}));
}

void Replica::refused(Nanos, MemberId from, Incarnation, Incarnation to_incarnation, Token token,
                      Token seen) {
  if (!members_.contains(from)) return void(++invalid_);
  if (to_incarnation != incarnation_ || token != token_ || phase_ == Phase::none || seen < token) return;
  supersede(seen);
}

// Asks all members for a promise. Only answers to this round count.
void Replica::start_round(Nanos now) {
  ++round_;
  answers_.clear();
  answers_[self_] = {incarnation_, {}};
  prepare_again_at_ = now + retry_interval_;
  for (const MemberId member : members_)
    if (member != self_) actions_.prepare(member, token_, round_);
}

void Replica::promised(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation,
                       Token token, std::uint32_t round, const LogStatus& status) {
  if (!members_.contains(from) || from == self_) return void(++invalid_);
  if (to_incarnation != incarnation_ || token != token_ || phase_ != Phase::preparing || round != round_ ||
      now >= lease_until_)
    return;
  answers_[from] = {incarnation, status};
  evaluate_promises(now);
}

void Replica::evaluate_promises(Nanos now) {
  answers_[self_].status = log_status();
  MemberId best = self_;
  Version committed{};
  for (const auto& [member, answer] : answers_) {
    if (answer.status.last > answers_[best].status.last) best = member;
    committed = std::max(committed, answer.status.committed);
  }
  const LogStatus& log = answers_[best].status;
  const Rosters effective = effective_rosters(log.rosters, committed);
  std::size_t effective_voters = 0, voters_heard = 0;
  std::map<MemberId, Incarnation> incarnations;
  for (const MemberId voter : voters_) {
    const auto at = answers_.find(voter);
    if (at == answers_.end()) continue;
    ++voters_heard;
    incarnations[voter] = at->second.incarnation;
    if (counts_as_voter(effective, voter, at->second.incarnation)) ++effective_voters;
  }
  const bool has_majority = effective_voters >= majority_of(voters_.size());
  if (!has_majority) {
    if (voters_heard < voters_.size()) return;
    // Two rounds with the same incarnations: all voters were running, with their promises, at one moment
    // between the rounds. After one round only, a voter could have answered, restarted, and been brought up
    // to date by an earlier writer.
    if (incarnations != previous_round_incarnations_) {
      previous_round_incarnations_ = incarnations;
      return start_round(now);
    }
    if (answers_.size() < members_.size() && now < preparing_since_ + nonvoter_grace_) return;
  }
  by_all_voters_ = !has_majority;
  chosen_log_ = log;
  known_committed_ = committed;
  if (chosen_log_.last == last()) return begin_term(now);
  phase_ = Phase::fetching;
  begin_fetch(now, best, committed_);
}

// Becomes the writer, from the chosen log, which is this member's own log by now.
void Replica::begin_term(Nanos now) {
  const auto answers = answers_;
  const Version before = last();
  commit(now, known_committed_);
  Roster roster;
  if (by_all_voters_) {
    roster.since = token_;
    roster.incarnations = previous_round_incarnations_;
  } else if (const Rosters all = rosters(); !all.empty()) {
    roster = all.back().second;
  }
  phase_ = Phase::writing;
  writer_.last_received_at = now;
  caught_up_ = true;
  peers_.clear();
  sessions_.clear();
  for (const MemberId member : members_) {
    if (member == self_) continue;
    Peer& peer = peers_[member];
    peer.sent = before;
    peer.window = max_batches_;
    peer.next_beat = now;
    if (const auto at = answers.find(member); at != answers.end()) {
      peer.incarnation = at->second.incarnation;
      peer.incarnation_known = true;
      peer.first_known_sequence = 1;
    }
  }
  actions_.began(token_, by_all_voters_);
  write_roster(now, std::move(roster));
  advance_commit(now);
  for (auto& [number, put] : puts_) put.retry_at = now;
}

Version Replica::write(Nanos now, Record record) {
  const Version before = last();
  record.entry.version = {token_, before.token == token_ ? before.number + 1 : 1};
  append_record(std::move(record));
  if (send_at_ < 0) send_at_ = now + batch_delay_;
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

// Adds incarnations of voters that have reached this term and do not count yet. Only one roster is
// uncommitted at a time.
void Replica::admit_voters(Nanos now) {
  const Rosters effective = rosters();
  if (effective.size() != 1 || effective.front().first > committed_) return;
  Roster next = effective.front().second;
  for (const MemberId voter : voters_) {
    Incarnation incarnation = incarnation_;
    if (voter != self_) {
      const auto at = peers_.find(voter);
      if (!at->second.confirmed || at->second.matched.token != token_) continue;
      incarnation = at->second.incarnation;
    }
    next.incarnations[voter] = incarnation;
  }
  if (next != effective.front().second) write_roster(now, std::move(next));
}

// Commits what a majority of the counting incarnations hold, but only from this term's first record on:
// records of older terms alone could still be replaced by another log.
void Replica::advance_commit(Nanos now) {
  for (;;) {
    const Rosters effective = effective_rosters(rosters(), committed_);
    std::vector<Version> matched;
    for (const MemberId voter : voters_) {
      const auto at = peers_.find(voter);
      if (voter == self_) {
        if (counts_as_voter(effective, self_, incarnation_)) matched.push_back(last());
      } else if (at->second.incarnation_known && counts_as_voter(effective, voter, at->second.incarnation)) {
        matched.push_back(at->second.matched);
      }
    }
    const std::size_t majority = majority_of(voters_.size());
    if (matched.size() < majority) break;
    std::sort(matched.begin(), matched.end(), std::greater<>());
    const Version held = matched[majority - 1];
    if (held.token != token_ || held <= committed_) break;
    commit(now, held);
    if (send_at_ < 0) send_at_ = now + batch_delay_;
  }
  admit_voters(now);
}

void Replica::appended(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation,
                       Token token, std::uint64_t sequence, Version matched, bool gap) {
  if (!members_.contains(from) || from == self_) return void(++invalid_);
  if (to_incarnation != incarnation_ || token != token_ || phase_ != Phase::writing || now >= lease_until_)
    return;
  Peer& peer = peers_[from];
  if (sequence > peer.last_sequence || (!gap && matched > last())) return void(++invalid_);
  if (!peer.incarnation_known ||
      peer.incarnation != incarnation) { // what the earlier incarnation held is lost
    peer.incarnation = incarnation;
    peer.incarnation_known = true;
    peer.confirmed = false;
    peer.first_known_sequence = peer.last_sequence + 1;
    peer.matched = peer.base = {};
    peer.sent = last();
    peer.rewind_sequence = 0;
    peer.consecutive_gaps = 0;
    peer.lagging = false;
  }
  peer.acked_sequence = std::max(peer.acked_sequence, sequence);
  if (sequence >= peer.first_known_sequence) peer.confirmed = true;
  peer.window = max_batches_;
  if (gap) {
    if (sequence <= peer.rewind_sequence) return; // answers an append from before the rewind
    peer.rewind_sequence = peer.acked_sequence = peer.last_sequence;
    peer.lagging = matched < log_from_;
    ++peer.consecutive_gaps;
    if (!peer.lagging) {
      // Rewinds to that version, or to the one before it in this log; the member then finds that its record
      // is not in this log.
      const std::size_t next = index_after(matched);
      const Version rewind_to = next == 0 ? log_from_ : log_[next - 1].entry.version;
      if (rewind_to > peer.base) peer.consecutive_gaps = 1;
      peer.sent = peer.base = rewind_to;
    }
    if (peer.consecutive_gaps == 1) return send(now, from, peer, false);
    peer.resend_at = now + retry_interval_; // so that the two do not repeat the same exchange without a pause
    return;
  }
  peer.consecutive_gaps = 0;
  peer.lagging = false;
  peer.matched = std::max(peer.matched, matched);
  peer.sent = std::max(peer.sent, peer.matched);
  peer.resend_at = peer.sent > peer.matched ? now + retry_interval_ : -1;
  advance_commit(now);
  send(now, from, peer, false);
}

void Replica::send(Nanos now, MemberId to, Peer& peer, bool beat) {
  if (peer.sent < log_from_) peer.lagging = true; // the records that it needs have been trimmed
  if (peer.lagging) peer.sent = last(), peer.resend_at = -1;
  Append append;
  append.token = token_;
  append.log_from = log_from_;
  append.committed = committed_;
  const auto send_append = [&] {
    append.sequence = ++peer.last_sequence;
    append.previous = peer.sent;
    actions_.append(to, append);
    peer.sent_committed = committed_;
    peer.next_beat = now + beat_interval_;
  };
  bool sent = false;
  std::size_t next = index_after(peer.sent);
  while (next < log_.size() && peer.last_sequence - peer.acked_sequence < peer.window) {
    append.records.clear();
    for (std::size_t bytes = 0; next < log_.size(); ++next) {
      bytes += size_of(log_[next]) + record_overhead_;
      if (bytes > max_batch_bytes_ && !append.records.empty()) break;
      append.records.push_back(log_[next]);
    }
    send_append();
    peer.sent = append.records.back().entry.version;
    if (peer.resend_at < 0) peer.resend_at = now + retry_interval_;
    sent = true;
  }
  append.records.clear();
  if (!sent && (beat || peer.sent_committed < committed_)) send_append();
}

// ---- puts at the writer

std::string Replica::put_rejection_reason(const Entry& entry, const std::optional<Version>& expected) {
  if (entry.key == control_scope || scope_of(entry.key).substr(0, control_scope.size()) == control_scope)
    return "the scope is reserved for the control members";
  if (const auto reason = entries_.rejection_reason(entry); !reason.empty()) return std::string(reason);
  const std::size_t pending = log_.size() - index_after(committed_);
  if (pending >= max_pending_records_) return "too many writes are in progress";
  if (!entry.deleted &&
      (entries_.count() + pending >= max_entries_ ||
       entries_.bytes() + pending_bytes_ + entry.key.size() + entry.value.size() > max_bytes_))
    return "the writes in progress leave no room within the limits";
  const Entry* held = newest_entry(entry.key);
  const bool none = !held || held->deleted;
  if (expected &&
      (none ? *expected != Version{} && !(held && *expected == held->version) : *expected != held->version))
    return "the entry has changed since the expected version";
  if (entry.deleted && none) return "there is no such entry";
  return actions_.rejection_reason(entry);
}

void Replica::passed(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation,
                     Token token, const ForwardedPut& put) {
  if (!members_.contains(from) || from == self_ || put.number.raw == 0) return void(++invalid_);
  if (to_incarnation != incarnation_ || token != token_ || phase_ != Phase::writing || now >= lease_until_)
    return;
  accept_put(now, from, incarnation, put);
}

void Replica::accept_put(Nanos now, MemberId from, Incarnation incarnation, const ForwardedPut& put) {
  auto at = sessions_.find({from, incarnation});
  if (at == sessions_.end()) {
    if (sessions_.size() >= max_sessions)
      std::erase_if(sessions_,
                    [&](const auto& one) { return one.second.last_received_at + session_retention < now; });
    if (sessions_.size() >= max_sessions) return void(++invalid_);
    at = sessions_.try_emplace({from, incarnation}).first;
  }
  Session& session = at->second;
  session.last_received_at = now;
  session.oldest = std::max(session.oldest, put.oldest);
  session.results.erase(session.results.begin(), session.results.lower_bound(session.oldest));
  if (put.number < session.oldest) return; // already has an outcome: a late copy must not be written again
  if (const auto known = session.results.find(put.number); known != session.results.end()) {
    const Session::Result& result = known->second;
    if (result.ended && from != self_)
      actions_.answer(from, incarnation, token_, put.number, result.end, result.version, result.reason);
    return;
  }
  if (session.results.size() >= max_results_per_session) return;
  Record record;
  record.entry = {put.key, put.value, {}, from, put.deleted};
  record.writer_incarnation = incarnation;
  record.put = put.number;
  // A refusal is kept as well, so that a copy of the same put is not written later.
  Session::Result& result = session.results[put.number];
  result.reason = put_rejection_reason(record.entry, put.expected);
  if (result.reason.empty()) {
    write(now, std::move(record));
    return advance_commit(now); // commits at once if this is the only voter
  }
  result.ended = true;
  result.end = PutOutcome::refused;
  if (from == self_)
    finish_put(put.number, PutOutcome::refused, {}, std::string(result.reason));
  else
    actions_.answer(from, incarnation, token_, put.number, PutOutcome::refused, {}, result.reason);
}

// ---- puts of this member

PutNumber Replica::put(Nanos now, std::string key, std::string value, bool deleted,
                       std::optional<Version> expected) {
  if (puts_.size() >= max_puts_) return PutNumber{0};
  const PutNumber number{++put_count_};
  Put& put = puts_[number];
  put.put = {number, {}, std::move(key), std::move(value), deleted, expected};
  put.deadline = now + put_timeout_;
  forward_put(now, number);
  return number;
}

PutNumber Replica::oldest_put() const {
  return puts_.empty() ? PutNumber{put_count_ + 1} : puts_.begin()->first;
}

void Replica::forward_put(Nanos now, PutNumber number) {
  Put& put = puts_.at(number);
  put.retry_at = now + retry_interval_;
  if (writer_.last_received_at < 0) return; // no writer is known
  if (put.token.raw != 0 && put.token != promised_) {
    if (put.outcome_hidden)
      finish_put(number, PutOutcome::unknown, {}, "the writer is gone and its answer is lost");
    return; // the outcome will be seen in the log
  }
  put.put.oldest = oldest_put();
  if (writer_.member != self_) {
    put.token = promised_;
    actions_.pass(writer_.member, writer_.incarnation, promised_, put.put);
  } else if (is_writer(now)) {
    put.token = token_;
    const ForwardedPut copy = put.put; // it may end within the call
    accept_put(now, self_, incarnation_, copy);
  }
}

void Replica::answered(Nanos, MemberId from, Incarnation, Incarnation to_incarnation, Token token,
                       PutNumber number, PutOutcome end, Version version, std::string_view reason) {
  if (!members_.contains(from)) return void(++invalid_);
  const auto at = puts_.find(number);
  if (to_incarnation != incarnation_ || at == puts_.end() || at->second.token != token) return;
  finish_put(number, end, version, reason);
}

void Replica::finish_put(PutNumber number, PutOutcome end, Version version, std::string_view reason) {
  if (puts_.erase(number) > 0) actions_.ended(number, end, version, reason);
}

// ---- the others

void Replica::appending(Nanos now, MemberId from, Incarnation incarnation, const Append& append) {
  if (!members_.contains(from) || from == self_ || append.token.raw == 0) return void(++invalid_);
  if (!accept_token(now, from, incarnation, append.token)) return;
  if (writer_.last_received_at < 0)
    for (auto& [number, put] : puts_) put.retry_at = now;
  writer_.last_received_at = now;
  const auto& records = append.records;
  for (std::size_t i = 0; i < records.size(); ++i)
    if (records[i].entry.version <= (i == 0 ? append.previous : records[i - 1].entry.version))
      return void(++invalid_);
  const auto answer = [&](Version matched, bool gap) {
    actions_.appended(from, incarnation, append.token, append.sequence, matched, gap);
  };
  std::size_t next = 0; // the first record that is not committed here
  if (append.previous < committed_) {
    while (next < records.size() && records[next].entry.version <= committed_) ++next;
    const bool overlaps = next > 0 && records[next - 1].entry.version == committed_;
    if (!overlaps && next == records.size()) return answer(committed_, true);
    if (!overlaps) {
      // What this member has committed is not in the writer's log: it was lost together with a majority of
      // the voters. It is given up only when the writer has committed more; until then the append is not
      // answered.
      if (append.committed > committed_ && !fetch_.in_progress) begin_fetch(now, from, {});
      return;
    }
  } else if (!in_log(append.previous)) {
    if (append.log_from > committed_ && !fetch_.in_progress) begin_fetch(now, from, committed_);
    return answer(committed_, true);
  }
  fetch_ = {};
  Version matched = next > 0 ? records[next - 1].entry.version : append.previous;
  for (std::size_t at = index_after(matched); next < records.size(); ++next, ++at) {
    if (at < log_.size() && log_[at].entry.version != records[next].entry.version)
      while (log_.size() > at) { // records of earlier writers, never committed
        pending_bytes_ -= size_of(log_.back());
        log_.pop_back();
      }
    if (at == log_.size()) {
      if (log_.size() - index_after(committed_) > max_pending_records_ + max_uncommitted_terms) break;
      append_record(records[next]);
    }
    matched = records[next].entry.version;
  }
  commit(now, std::min(append.committed, matched));
  if (committed_ >= append.committed) caught_up_ = true;
  answer(matched, false);
}

bool Replica::ready() const {
  if (!voters_.contains(self_)) return caught_up_;
  const auto at = roster_.incarnations.find(self_);
  return at != roster_.incarnations.end() && at->second == incarnation_;
}

// ---- state transfer

void Replica::begin_fetch(Nanos now, MemberId from, Version base) {
  fetch_ = {};
  fetch_.in_progress = true;
  fetch_.from = from;
  fetch_.base = fetch_.cursor = base;
  fetch_.deadline = now + fetch_timeout_;
  request_chunks(now);
}

void Replica::request_chunks(Nanos now) {
  fetch_.retry_at = now + retry_interval_;
  fetch_.chunks_received = 0;
  actions_.fetch(fetch_.from, promised_, fetch_.base, fetch_.cursor, roster_.since);
}

void Replica::fetched(Nanos now, MemberId from, Incarnation incarnation, Token token, Version base,
                      Version cursor, Token since) {
  if (!members_.contains(from) || from == self_) return void(++invalid_);
  if (token < promised_) return actions_.refuse(from, incarnation, token, promised_);
  const bool is_writer_here = writer_.member == self_ && is_writer(now);
  const bool asked_by_writer =
      writer_.member == from &&
      writer_.incarnation == incarnation; // it is about to begin its term with this log
  if (token != promised_ || (!is_writer_here && !asked_by_writer)) return;
  Chunk chunk;
  chunk.token = token;
  chunk.base = base;
  chunk.floor = entries_.floor();
  chunk.committed = committed_;
  if (base != Version{} &&
      (since != roster_.since || base < chunk.floor || (base > committed_ && !in_log(base)))) {
    chunk.unavailable = true;
    return actions_.chunk(from, incarnation, chunk);
  }
  for (std::size_t count = 0; count < max_batches_ && !chunk.last; ++count) {
    chunk.from = chunk.to = cursor;
    chunk.records.clear();
    std::size_t bytes = 0;
    const auto fits = [&](std::size_t more) {
      bytes += more + record_overhead_;
      return chunk.records.empty() || bytes <= max_batch_bytes_;
    };
    bool complete = true;
    entries_.for_each_since(cursor, committed_, {}, [&](const Entry& entry) {
      complete = fits(size_of(entry));
      if (complete) chunk.records.push_back({entry, {}, {}}), chunk.to = entry.version;
      return complete;
    });
    if (complete) {
      chunk.to = std::max(chunk.to, committed_);
      for (std::size_t next = index_after(chunk.to); complete && next < log_.size(); ++next) {
        complete = fits(size_of(log_[next]));
        if (complete) chunk.records.push_back(log_[next]), chunk.to = log_[next].entry.version;
      }
    }
    chunk.last = complete;
    cursor = chunk.to;
    actions_.chunk(from, incarnation, chunk);
  }
}

void Replica::chunked(Nanos now, MemberId from, Incarnation incarnation, Incarnation to_incarnation,
                      const Chunk& chunk) {
  if (to_incarnation != incarnation_ || !fetch_.in_progress || from != fetch_.from ||
      chunk.token != promised_ || chunk.base != fetch_.base)
    return;
  if (chunk.unavailable) {
    if (fetch_.base != Version{}) begin_fetch(now, from, {});
    return;
  }
  if (fetch_.incarnation_known && fetch_.incarnation != incarnation)
    return begin_fetch(now, from, fetch_.base);
  fetch_.incarnation = incarnation;
  fetch_.incarnation_known = true;
  if (chunk.from < fetch_.cursor || (chunk.from == fetch_.cursor && chunk.to == chunk.from && !chunk.last))
    return;
  if (chunk.from > fetch_.cursor) {
    if (fetch_.out_of_order.size() < max_batches_) fetch_.out_of_order.emplace(chunk.from, chunk);
    return;
  }
  fetch_.deadline = now + fetch_timeout_;
  Chunk next = chunk;
  for (;;) {
    // Skips a chunk from an older state than one already taken: the newer chunk has left out entries that
    // were overwritten in between, so the two do not fit together.
    if (next.committed >= fetch_.committed) {
      if (!stage_chunk(next)) return begin_fetch(now, from, fetch_.base);
      if (next.last) return apply_fetch(now, next.committed);
    }
    const auto at = fetch_.out_of_order.find(fetch_.cursor);
    if (at == fetch_.out_of_order.end()) break;
    next = std::move(at->second);
    fetch_.out_of_order.erase(at);
  }
  if (fetch_.chunks_received >= max_batches_) request_chunks(now);
}

bool Replica::stage_chunk(const Chunk& chunk) {
  fetch_.committed = chunk.committed;
  // The transfer cannot continue if tombstones beyond the cursor have been dropped since: a key that was
  // transferred may have been deleted, and its tombstone would be missing.
  if (!fetch_.first && chunk.floor > fetch_.floor && chunk.floor > fetch_.cursor) return false;
  fetch_.first = false;
  fetch_.floor = std::max(fetch_.floor, chunk.floor);
  ++fetch_.chunks_received;
  for (const Record& record : chunk.records) {
    const Version version = record.entry.version;
    if (version <= fetch_.cursor || version > chunk.to) return ++invalid_, false;
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
  return fetch_.bytes <= max_fetch_factor * max_bytes_ + 2 * max_pending_records_ * max_batch_bytes_;
}

// Applies a complete transfer in one step. A committed state is replaced by a later one only.
void Replica::apply_fetch(Nanos now, Version committed) {
  const bool writer = phase_ == Phase::fetching;
  if (writer) committed = std::max(committed, known_committed_);
  Fetch fetched_state = std::move(fetch_);
  fetch_ = {};
  if (committed < committed_ || (!writer && committed == committed_)) return;
  // Records that arrived through the log in the meantime and were acknowledged must not be discarded.
  if (!writer && in_log(committed)) return commit(now, committed);
  std::map<std::string_view, const Record*> newest;
  for (const auto& [version, record] : fetched_state.records)
    if (version <= committed) newest[record.entry.key] = &record;
  if (fetched_state.base == Version{}) entries_.clear();
  // In order of growth, so that the limits hold at every step if they hold at the end.
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
    if (!entries_.apply(*entry) && entry->version > committed_) ++entries_without_room_;
  entries_.raise_floor(fetched_state.floor);
  entries_.advance_to(committed);
  committed_ = log_from_ = committed;
  log_.clear();
  pending_bytes_ = 0;
  for (auto& [version, record] : fetched_state.records)
    if (version > committed) append_record(std::move(record));
  update_roster();
  for (auto& [number, put] : puts_) put.outcome_hidden = put.outcome_hidden || put.token.raw != 0;
  actions_.replaced();
  if (!writer) return;
  if (last() == chosen_log_.last) return begin_term(now);
  phase_ = Phase::preparing;
  start_round(now);
}

// ---- time

Nanos Replica::next_wake() const {
  Nanos next = -1;
  const auto at = [&](Nanos time) {
    if (time >= 0 && (next < 0 || time < next)) next = time;
  };
  if (phase_ != Phase::none) at(lease_until_);
  if (phase_ == Phase::preparing) at(prepare_again_at_);
  if (phase_ == Phase::writing) at(send_at_);
  for (const auto& [member, peer] : peers_) at(peer.next_beat), at(peer.resend_at);
  if (fetch_.in_progress) at(std::min(fetch_.retry_at, fetch_.deadline));
  for (const auto& [number, put] : puts_) at(std::min(put.retry_at, put.deadline));
  return next;
}

void Replica::due(Nanos now) {
  if (phase_ != Phase::none && now >= lease_until_) step_down();
  if (phase_ == Phase::preparing && now >= prepare_again_at_) {
    prepare_again_at_ = now + retry_interval_;
    for (const MemberId member : members_)
      if (!answers_.contains(member)) actions_.prepare(member, token_, round_);
    evaluate_promises(now);
  }
  if (fetch_.in_progress && now >= fetch_.deadline) {
    fetch_ = {};
    if (phase_ == Phase::fetching) { // the source is gone; another member may have the best log
      phase_ = Phase::preparing;
      previous_round_incarnations_.clear();
      start_round(now);
    }
  } else if (fetch_.in_progress && now >= fetch_.retry_at) {
    request_chunks(now);
  }
  if (phase_ == Phase::writing) {
    const bool all = send_at_ >= 0 && now >= send_at_;
    if (all) send_at_ = -1;
    for (auto& [member, peer] : peers_) {
      if (peer.resend_at >= 0 && now >= peer.resend_at) { // no answer: one batch at a time until there is one
        peer.sent = std::max(peer.matched, peer.base);
        peer.window = 1;
        peer.acked_sequence = peer.rewind_sequence = peer.last_sequence;
        peer.resend_at = -1;
        send(now, member, peer, false);
      } else if (all || now >= peer.next_beat) {
        send(now, member, peer, now >= peer.next_beat);
      }
    }
  }
  std::vector<PutNumber> due_puts;
  for (const auto& [number, put] : puts_)
    if (now >= std::min(put.retry_at, put.deadline)) due_puts.push_back(number);
  for (const PutNumber number : due_puts) {
    const auto at = puts_.find(number);
    if (at == puts_.end()) continue;
    if (now < at->second.deadline)
      forward_put(now, number);
    else if (at->second.token.raw == 0)
      finish_put(number, PutOutcome::refused, {}, "no writer was available before the time-out");
    else
      finish_put(number, PutOutcome::unknown, {}, "no answer from the writer before the time-out");
  }
}

Replica::Status Replica::status() const {
  Status now;
  now.ready = ready();
  now.writing = phase_ == Phase::writing;
  now.establishing = phase_ == Phase::preparing || phase_ == Phase::fetching;
  now.fetching = fetch_.in_progress;
  if (writer_.last_received_at >= 0) now.writer = writer_.member, now.token = promised_;
  now.last_received_at = writer_.last_received_at;
  now.last = last();
  now.committed = committed_;
  now.roster = roster_;
  now.puts = puts_.size();
  now.total_puts = put_count_;
  now.pending = log_.size() - index_after(committed_);
  for (const auto& [member, peer] : peers_) now.matched[member] = peer.matched;
  return now;
}

} // namespace cometshift
