#include "replay.hpp"

#include "capture.pb.h"
#include "serializer.hpp"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <xxhash.h>

namespace cometshift {

namespace {

constexpr std::size_t context_entries = 8; // shown before a difference; usually include its cause
constexpr double ns_a_ms = 1e6;

std::string ms_of(Nanos span) {
  char text[40];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / ns_a_ms);
  return text;
}
StreamRef line_in(const wire::Place& place) {
  return {ConnectionId{place.connection()}, StreamId{place.stream()}};
}
Content content_in(const wire::Content& content) {
  if (content.size() == 0) return {};
  return Content(digest_token({content.high(), content.low()}), content.size());
}
std::string named(const std::vector<std::string>& names, std::uint32_t at, const char* kind) {
  return at < names.size() ? names[at] : std::string(kind) + " " + std::to_string(at);
}

} // namespace

std::vector<std::string> sort_segments(const std::vector<std::string>& paths) {
  std::vector<std::tuple<std::uint64_t, std::uint32_t, std::string>> found;
  for (const std::string& path : paths) {
    try {
      const SegmentReader reader(path);
      found.emplace_back(reader.head().recording(), reader.head().segment(), path);
    } catch (const IncompleteSegment&) {
      if (paths.size() == 1) throw;
    }
  }
  std::sort(found.begin(), found.end());
  std::vector<std::string> sorted;
  for (const auto& one : found) sorted.push_back(std::get<2>(one));
  return sorted;
}

std::vector<std::string> configured_names(const Settings& settings, const char* list) {
  std::vector<std::string> names;
  for (int i = 0;; ++i) {
    const std::string at = list + std::to_string(i) + ".name";
    if (!settings.contains(at)) return names;
    names.push_back(text(settings, at, ""));
  }
}

std::vector<Decision> recorded_decisions(const wire::Entry& entry) {
  std::vector<Decision> orders;
  orders.reserve(static_cast<std::size_t>(entry.order_size()));
  for (const wire::Order& one : entry.order())
    orders.push_back({.kind = static_cast<Kind>(one.kind()),
                      .op = OpId{one.op()},
                      .line = line_in(one.line()),
                      .reason = static_cast<Reason>(one.why()),
                      .span = one.span(),
                      .value = one.value(),
                      .flag = one.flag(),
                      .content = {one.high(), one.low()},
                      .size = one.size(),
                      .number = one.number(),
                      .start = one.start()});
  return orders;
}

std::string describe(const wire::Entry& entry, const std::vector<std::string>& op_types,
                     const std::vector<std::string>& tenants) {
  const auto op = [](std::uint64_t raw) { return op_id_text(OpId{raw}); };
  const auto over = [&](const char* what, const wire::Over& one) {
    return std::string(what) + " " + op(one.op()) + " over: " + describe(static_cast<Outcome>(one.outcome()));
  };
  switch (entry.what_case()) {
  case wire::Entry::kSnapshot:
    return "snapshot of " + std::to_string(entry.snapshot().size()) + " bytes";
  case wire::Entry::kGap:
    return "gap: " + std::to_string(entry.gap().entries()) + " entries or more are missing, " +
           entry.gap().why();
  case wire::Entry::kEnd:
    return "end of the segment";
  case wire::Entry::kCame: {
    const wire::Came& came = entry.came();
    std::string said = "op " + op(came.op()) + " came: " + named(op_types, came.type(), "op type") + ", " +
                       named(tenants, came.tenant(), "tenant") + ", caller " + std::to_string(came.caller()) +
                       ", waited " + ms_of(came.waited()) + " ms, limit " + ms_of(came.limit()) + " ms";
    if (!came.mark().empty()) said += ", mark " + came.mark();
    if (!came.subject().empty()) said += ", subject " + came.subject();
    return said + ", " + std::to_string(came.body().size()) + " bytes, connection " +
           std::to_string(came.line().connection()) + " stream " + std::to_string(came.line().stream());
  }
  case wire::Entry::kLineLost:
    return "line lost: connection " + std::to_string(entry.line_lost().connection()) + " stream " +
           std::to_string(entry.line_lost().stream());
  case wire::Entry::kMachineUp:
    return "machine up for " + ms_of(entry.machine_up()) + " ms";
  case wire::Entry::kLinkUp:
    return "link up, starts to " + std::to_string(entry.link_up()) + " are known to be read";
  case wire::Entry::kLinkDown:
    return "link down";
  case wire::Entry::kRunOver:
    return over("run", entry.run_over()) + " after " + ms_of(entry.run_over().lag()) + " ms, " +
           std::to_string(entry.run_over().content().size()) + " bytes";
  case wire::Entry::kCallWanted:
    return "call wanted by " + op(entry.call_wanted().op()) + ", " +
           std::to_string(entry.call_wanted().body().size()) + " bytes";
  case wire::Entry::kStartRefused:
    return "start of " + op(entry.start_refused()) + " refused";
  case wire::Entry::kGauges: {
    std::string said = "gauges";
    char text[32];
    for (const double value : entry.gauges().value()) {
      std::snprintf(text, sizeof text, " %.3f", value);
      said += text;
    }
    return said;
  }
  case wire::Entry::kCallOver:
    return over("call of", entry.call_over()) + ", " + std::to_string(entry.call_over().content().size()) +
           " bytes";
  case wire::Entry::kDue:
    return "time";
  case wire::Entry::kSettle:
    return "end of a turn, with repeats";
  case wire::Entry::kLeave:
    return entry.leave_within() > 0 ? "told to leave within the last " + ms_of(entry.leave_within()) + " ms"
                                    : "told to leave";
  case wire::Entry::kPools:
    return "pools are set, " + std::to_string(entry.pools().setting_size()) + " settings";
  case wire::Entry::kReload:
    return "reload: " + entry.reload();
  case wire::Entry::WHAT_NOT_SET:
    break;
  }
  return "unknown event type";
}

Replayer::Replayer(const std::vector<std::string>& paths) : paths_(sort_segments(paths)) {}
Replayer::~Replayer() = default;

const wire::Head& Replayer::head() const { return reader_->head(); }

// ---- decisions of the core

void Replayer::take(const Decision& decision) {
  if (initializing_) return;
  if (on_final_decision && is_final(decision.kind)) {
    DecisionInputs figures;
    const bool known = core_->explain(now_, decision.op, figures);
    on_final_decision(now_, decision, known ? &figures : nullptr);
  }
  replayed_.push_back(decision);
  if (simulated_ && decision.kind == Kind::start && !simulated_->recorded_lags.contains(decision.op) &&
      decision.number < simulated_->median_lags.size())
    simulated_->due.emplace(now_ + simulated_->median_lags[decision.number],
                            std::pair(decision.op, simulated_->median_lags[decision.number]));
}
void Replayer::note(const char* kind, std::string_view) {
  if (!initializing_ && std::string_view(kind) == "notice") ++ignored_events_;
}
Digest Replayer::digest(const Content& content) { return token_digest(content.bytes); }

// ---- events passed to the core

std::string Replayer::where() const { return reader_->path() + ": byte " + std::to_string(reader_->at()); }

void Replayer::restore(const wire::Entry& entry) {
  const std::uint32_t layout = reader_->head().layout();
  if (layout < oldest_snapshot_layout || layout > snapshot_layout)
    throw Unreadable(where() + ": a snapshot of layout " + std::to_string(layout) + ", this build reads " +
                     std::to_string(oldest_snapshot_layout) + " to " + std::to_string(snapshot_layout));
  settings_ = decode_settings(reader_->head());
  op_types_ = configured_names(settings_, "op_type.");
  tenants_ = configured_names(settings_, "tenant.");
  try {
    initializing_ = true;
    core_.reset(new Core(now_, settings_, *this));
    initializing_ = false;
    Reader reader(entry.snapshot());
    core_->serialize(reader);
    if (!reader.at_end()) throw std::invalid_argument("snapshot: trailing data unknown to this build");
  } catch (const std::invalid_argument& e) {
    initializing_ = false;
    throw Unreadable(where() + ": " + e.what());
  }
}

std::string Replayer::snapshot(const std::function<std::string(std::string_view)>& conceal) {
  std::string bytes;
  Writer writer(bytes, conceal);
  core_->serialize(writer);
  return bytes;
}

void Replayer::give(const wire::Entry& entry) {
  const auto outcome_of = [&](std::uint32_t raw) {
    if (raw > static_cast<std::uint32_t>(Outcome::moot)) throw Unreadable(where() + ": unknown outcome");
    return static_cast<Outcome>(raw);
  };
  switch (entry.what_case()) {
  case wire::Entry::kCame: {
    const wire::Came& came = entry.came();
    if (came.type() >= op_types_.size()) throw Unreadable(where() + ": op type not in the settings");
    core_->op_received(now_, line_in(came.line()), OpId{came.op()}, OpTypeId{came.type()},
                       TenantId{came.tenant()}, CallerId{came.caller()}, now_ - came.waited(), came.limit(),
                       came.held_kb(), came.rank(), came.mark(), came.subject(), content_in(came.body()),
                       {came.digest_high(), came.digest_low()});
    return;
  }
  case wire::Entry::kLineLost:
    return core_->stream_lost(now_, line_in(entry.line_lost()));
  case wire::Entry::kMachineUp:
    return core_->machine_up(now_, entry.machine_up());
  case wire::Entry::kLinkUp:
    return core_->link_up(now_, StartNo{entry.link_up()});
  case wire::Entry::kLinkDown:
    return core_->link_down(now_);
  case wire::Entry::kRunOver:
    return core_->run_finished(now_, OpId{entry.run_over().op()}, outcome_of(entry.run_over().outcome()),
                               entry.run_over().lag(), content_in(entry.run_over().content()));
  case wire::Entry::kCallWanted:
    return core_->call_wanted(now_, OpId{entry.call_wanted().op()}, content_in(entry.call_wanted().body()));
  case wire::Entry::kStartRefused:
    return core_->start_refused(now_, OpId{entry.start_refused()});
  case wire::Entry::kGauges: {
    const std::vector<double> values(entry.gauges().value().begin(), entry.gauges().value().end());
    return core_->gauges(now_, values);
  }
  case wire::Entry::kCallOver:
    return core_->call_finished(now_, OpId{entry.call_over().op()}, outcome_of(entry.call_over().outcome()),
                                content_in(entry.call_over().content()));
  case wire::Entry::kDue:
    return core_->due(now_);
  case wire::Entry::kSettle:
    return core_->answer_repeats(now_);
  case wire::Entry::kLeave:
    return core_->drain(now_, now_ - entry.leave_within());
  case wire::Entry::kPools: {
    Settings pools;
    for (const wire::Setting& one : entry.pools().setting()) decode_setting(pools, one);
    return core_->set_pools(now_, pools);
  }
  case wire::Entry::kReload:
  case wire::Entry::kSnapshot:
  case wire::Entry::kGap:
  case wire::Entry::kEnd:
    return;
  case wire::Entry::WHAT_NOT_SET:
    throw Unreadable(where() + ": unknown event type");
  }
}

// Moves the entry into the history and leaves an old one in its place, to reuse its memory.
void Replayer::remember(wire::Entry& entry) {
  auto kept = history_.size() < context_entries ? std::make_unique<wire::Entry>()
                                                : std::move(history_.front().second);
  if (history_.size() == context_entries) history_.pop_front();
  kept->Swap(&entry);
  history_.emplace_back(now_, std::move(kept));
}

std::string Replayer::differs(const wire::Entry& entry) const {
  std::string said = "entry " + std::to_string(entry_index_) + " of " + reader_->path() + "\n";
  for (const auto& [at, one] : history_)
    said += "  +" + ms_of(at - start_time_) + " ms  " + describe(*one, op_types_, tenants_) + "\n";
  said += "  +" + ms_of(now_ - start_time_) + " ms  " + describe(entry, op_types_, tenants_) + "   <- here\n";
  for (std::size_t i = 0; i < std::max(recorded_.size(), replayed_.size()); ++i) {
    const std::string was = i < recorded_.size() ? describe(recorded_[i], op_types_) : "nothing";
    const std::string is = i < replayed_.size() ? describe(replayed_[i], op_types_) : "nothing";
    if (i < recorded_.size() && i < replayed_.size() && recorded_[i] == replayed_[i])
      said += "    both:     " + was + "\n";
    else
      said += "    recorded: " + was + "\n    replayed: " + is + "\n";
  }
  return said;
}

// Delivers the simulated ends of runs that are due before the next recorded entry.
void Replayer::simulate_runs(const std::function<void(const Step&)>& each, Result& result, Nanos until) {
  const Nanos now = now_;
  while (!simulated_->due.empty() && simulated_->due.begin()->first <= until) {
    const Nanos at = simulated_->due.begin()->first;
    const auto [op, lag] = simulated_->due.begin()->second;
    simulated_->due.erase(simulated_->due.begin());
    now_ = std::max(now, at);
    replayed_.clear();
    recorded_.clear();
    wire::Entry entry;
    entry.mutable_run_over()->set_op(op.raw);
    entry.mutable_run_over()->set_lag(lag);
    core_->run_finished(now_, op, Outcome::done, lag, {});
    ++result.simulated_ends;
    if (each) each({now_, &entry, &recorded_, &replayed_, false});
  }
  now_ = now;
}

Replayer::Result Replayer::replay_with_simulated_runs(const std::function<void(const Step&)>& each) {
  auto simulated = std::make_unique<SimulatedRuns>();
  std::vector<std::vector<Nanos>> lags;
  std::map<OpId, std::uint32_t> types;
  for (const std::string& path : paths_) {
    SegmentReader reader(path);
    wire::Entry entry;
    while (reader.next(entry)) {
      if (entry.what_case() == wire::Entry::kCame) types[OpId{entry.came().op()}] = entry.came().type();
      if (entry.what_case() != wire::Entry::kRunOver) continue;
      const wire::Over& over = entry.run_over();
      simulated->recorded_lags[OpId{over.op()}] = over.lag();
      const auto type = types.find(OpId{over.op()});
      if (type == types.end() || over.outcome() != static_cast<std::uint32_t>(Outcome::done)) continue;
      if (lags.size() <= type->second) lags.resize(type->second + 1);
      lags[type->second].push_back(over.lag());
    }
  }
  for (std::vector<Nanos>& all : lags) {
    std::sort(all.begin(), all.end());
    simulated->median_lags.push_back(all.empty() ? 0 : all[all.size() / 2]);
  }
  simulated_ = std::move(simulated);
  Result result = play(false, each);
  simulated_.reset();
  return result;
}

Replayer::Result Replayer::play(bool strict, const std::function<void(const Step&)>& each) {
  Result result;
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t*)> all(XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(all.get());
  const auto note = [&](const Decision& one) {
    const std::uint64_t figures[] = {static_cast<std::uint64_t>(one.kind) |
                                         static_cast<std::uint64_t>(one.reason) << 8 |
                                         static_cast<std::uint64_t>(one.flag) << 16,
                                     one.op.raw,
                                     one.line.connection.raw,
                                     one.line.stream.raw,
                                     static_cast<std::uint64_t>(one.span),
                                     std::bit_cast<std::uint64_t>(one.value),
                                     one.size,
                                     one.number,
                                     one.start};
    XXH3_64bits_update(all.get(), figures, sizeof figures);
  };
  wire::Entry entry;
  std::uint64_t recording = 0;
  std::uint32_t segment = 0;
  bool ended = false; // the previous segment was closed
  start_time_ = -1;
  for (const std::string& path : paths_) {
    const bool whole_before = ended && result.difference.empty();
    reader_ = std::make_unique<SegmentReader>(path);
    const bool follows =
        whole_before && reader_->head().recording() == recording && reader_->head().segment() == segment + 1;
    recording = reader_->head().recording();
    segment = reader_->head().segment();
    ended = false;
    now_ = reader_->head().at();
    if (start_time_ < 0) start_time_ = now_;
    ++result.segments;
    entry_index_ = 0;
    bool first = true;
    while (reader_->next(entry)) {
      if (first && entry.what_case() != wire::Entry::kSnapshot)
        throw Unreadable(where() + ": segment does not start with a snapshot");
      ++entry_index_;
      if (simulated_) simulate_runs(each, result, now_ + entry.after());
      now_ += entry.after();
      replayed_.clear();
      recorded_ = recorded_decisions(entry);
      if (before_entry) before_entry(now_, entry);
      if (first) {
        first = false;
        // The state at the end of a closed segment must equal the snapshot of the next one; otherwise
        // something that influenced a decision was not recorded.
        const bool same = !follows || snapshot() == entry.snapshot();
        result.snapshots_checked += follows;
        if (!same && result.difference.empty()) {
          result.difference =
              path + ": the snapshot at its beginning differs from the state after the replay of the "
                     "segment before it\n";
          if (strict) return result;
        }
        restore(entry);
      } else {
        give(entry);
      }
      ended = entry.what_case() == wire::Entry::kEnd;
      if (entry.what_case() == wire::Entry::kGap) {
        ++result.gaps;
        result.lost += entry.gap().entries();
      }
      ++result.entries;
      result.orders += replayed_.size();
      result.ops += entry.what_case() == wire::Entry::kCame;
      for (const Decision& one : replayed_) note(one);
      const bool same = replayed_ == recorded_;
      if (each) each({now_, &entry, &recorded_, &replayed_, same});
      if (!same && result.difference.empty()) {
        result.difference = differs(entry);
        if (strict) return result;
      }
      remember(entry);
    }
    result.torn = reader_->torn();
    if (result.torn && result.valid_up_to.empty()) result.valid_up_to = where() + ": incomplete block";
  }
  result.clean_end = ended;
  result.ignored_events = ignored_events_;
  result.span = now_ - start_time_;
  result.digest = XXH3_64bits_digest(all.get());
  return result;
}

} // namespace cometshift
