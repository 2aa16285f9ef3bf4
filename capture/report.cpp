#include "report.hpp"

#include "capture.pb.h"
#include "digest.hpp"
#include "hex.hpp"
#include "replay.hpp"
#include "rules.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>
#include <set>

namespace cometshift {

namespace {

constexpr double ns_a_ms = 1e6;
constexpr Nanos ms = 1'000'000;
constexpr Nanos op_margin = 500 * ms; // usually includes what led to the end of the op
constexpr std::size_t cut_block = 32 * 1024;
constexpr std::size_t max_table_rows = 40;

double in_ms(Nanos span) { return static_cast<double>(span) / ns_a_ms; }
unsigned long long big(std::uint64_t value) { return value; }

OpId op_in(const std::string& text) {
  std::uint64_t raw = 0;
  if (!read_hex(text, raw) || raw == 0) throw std::invalid_argument("op " + text + ": not 16 hex digits");
  return OpId{raw};
}
// The op that an entry concerns, or no_op_id.
OpId op_of(const wire::Entry& entry) {
  switch (entry.what_case()) {
  case wire::Entry::kCame:
    return OpId{entry.came().op()};
  case wire::Entry::kRunOver:
    return OpId{entry.run_over().op()};
  case wire::Entry::kCallWanted:
    return OpId{entry.call_wanted().op()};
  case wire::Entry::kStartRefused:
    return OpId{entry.start_refused()};
  case wire::Entry::kCallOver:
    return OpId{entry.call_over().op()};
  default:
    return no_op_id;
  }
}

// Explains a decision in one sentence with the values that caused it, for operators who do not know the
// source.
std::string sentence(const Decision& one, const DecisionInputs* f) {
  char text[400] = "";
  const auto say = [&](const char* format, auto... figures) {
    std::snprintf(text, sizeof text, format, figures...);
    return std::string(text);
  };
  if (!f) {
    switch (one.reason) {
    case Reason::too_many_ops:
      return "the table of ops was full";
    case Reason::too_many_keys:
      return "the table of keys was full";
    case Reason::known:
      return "its number was that of an op still open here";
    case Reason::other_mark:
      return "its mark is that of another op, with another body, whose run was heard of";
    default:
      return one.kind == Kind::served ? "" : "the core ended it: " + std::string(to_text(one.reason));
    }
  }
  switch (one.reason) {
  case Reason::leaving:
    return say("the server was leaving and its delay was over");
  case Reason::memory:
    return say("memory: %.0f of %.0f KB were held", f->memory_kb, f->memory_limit_kb);
  case Reason::key_memory:
    return say("no room to remember its key: %.0f of %.0f KB were held", f->memory_kb, f->memory_limit_kb);
  case Reason::too_big:
    return say("a run of %.0f ms would likely end after the %.0f ms it had; a faster server may do it",
               in_ms(f->run_time), in_ms(f->target_deadline));
  case Reason::hopeless:
    return say("no run is short enough: %.0f ms believed, %.0f ms left to be of worth", in_ms(f->run_time),
               in_ms(f->target_deadline));
  case Reason::line:
    return say(
        "the line was too long: %zu held, %.0f ms of work over a cap of %.1f, %d on %.0f cores; it was worth "
        "least for its work (%.3g), a run is believed to take %.0f ms, and %.0f ms were left",
        f->queued, in_ms(f->backlog), f->cap, f->on_core, f->cores, f->value_density * 1e9,
        in_ms(f->run_time), in_ms(f->target_deadline));
  case Reason::stalled:
  case Reason::hung:
    return say("the cores stood still: %d on %.0f cores, nothing ended", f->on_core, f->cores);
  case Reason::due:
    return say("its due time came (%.0f ms from now); %zu held, %d on %.0f cores, %zu at calls, breaker %s",
               in_ms(f->due), f->queued, f->on_core, f->cores, f->at_call, f->breaker_open ? "open" : "shut");
  case Reason::replaced:
    return say("a repeat of it came while it was held, and takes its place");
  case Reason::late_at_call:
    return say("at its call with %.0f ms left, and half a run of %.0f ms to come; %.0f calls in hand of "
               "%.1f, %zu wait, "
               "breaker %s",
               in_ms(f->target_deadline), in_ms(f->core_time), f->calls, f->call_limit, f->at_call,
               f->breaker_open ? "open" : "shut");
  case Reason::call_lost:
    return say("its call gave no reply and may have had its effect; breaker %s",
               f->breaker_open ? "open" : "shut");
  case Reason::fell_back:
    return say("it was stopped on the cores and may not run twice");
  case Reason::run_failed:
    return say("the interpreter ended its run without a result");
  case Reason::never_begun:
    return say("the interpreter did not begin its run, or does not know the op");
  case Reason::first_failed:
    return say("what it repeats ended without a result that could be kept");
  default:
    return {};
  }
}

void say_result(const Replayer::Result& result, double seconds, std::FILE* out) {
  std::fprintf(out, "%llu entries, %llu orders, %llu ops, %llu segments, %.3f s of service",
               big(result.entries), big(result.orders), big(result.ops), big(result.segments),
               static_cast<double>(result.span) / 1e9);
  if (seconds >= 0)
    std::fprintf(out, " in %.3f s, %.0f times as fast", seconds,
                 static_cast<double>(result.span) / 1e9 / std::max(seconds, 1e-9));
  std::fputs("\n", out);
  if (result.snapshots_checked > 0)
    std::fprintf(out, "%llu seams between segments: what is remembered is the same, byte for byte\n",
                 big(result.snapshots_checked));
  if (result.gaps > 0)
    std::fprintf(out, "%llu gaps with %llu entries or more; each segment holds by itself\n", big(result.gaps),
                 big(result.lost));
  if (!result.clean_end)
    std::fprintf(out, "holds to its last whole block%s%s\n", result.valid_up_to.empty() ? "" : "; ",
                 result.valid_up_to.c_str());
}

} // namespace

int replay_report(const std::vector<std::string>& paths, int times, std::FILE* out) {
  std::uint64_t digest = 0;
  for (int i = 0; i < times; ++i) {
    const auto from = std::chrono::steady_clock::now();
    Replayer player(paths);
    const Replayer::Result result = player.play(true);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
    if (!result.difference.empty()) {
      std::fprintf(out, "the replay differs%s: %s", i > 0 ? " at a repetition" : "",
                   result.difference.c_str());
      return 1;
    }
    if (i > 0 && result.digest != digest) {
      std::fputs("two replays differ\n", out);
      return 1;
    }
    digest = result.digest;
    if (i == 0) say_result(result, took.count(), out);
  }
  std::fprintf(out, "identical%s, digest %016llx\n",
               times > 1 ? (" " + std::to_string(times) + " times").c_str() : "", big(digest));
  return 0;
}

int explain_report(const std::vector<std::string>& paths, const std::string& text, std::FILE* out) {
  const OpId op = op_in(text);
  Replayer player(paths);
  Nanos first = -1;
  std::uint64_t seen = 0;
  std::vector<std::string> reason;
  player.on_final_decision = [&](Nanos, const Decision& one, const DecisionInputs* figures) {
    if (one.op == op) reason.push_back(sentence(one, figures));
  };
  StreamRef line{};
  std::string mark;
  const Replayer::Result result = player.play(false, [&](const Replayer::Step& step) {
    if (first < 0) first = step.now;
    const wire::Entry& entry = *step.entry;
    const bool about = op_of(entry) == op;
    if (about && entry.what_case() == wire::Entry::kCame) {
      line = {ConnectionId{entry.came().line().connection()}, StreamId{entry.came().line().stream()}};
      mark = entry.came().mark();
    }
    const bool sibling =
        !about && entry.what_case() == wire::Entry::kCame && !mark.empty() && entry.came().mark() == mark;
    const bool its_line = entry.what_case() == wire::Entry::kLineLost &&
                          line.connection.raw == entry.line_lost().connection() &&
                          line.stream.raw == entry.line_lost().stream();
    const bool ordered = std::any_of(step.replayed->begin(), step.replayed->end(),
                                     [&](const Decision& one) { return one.op == op; });
    if (!about && !ordered && !sibling && !its_line) return;
    ++seen;
    std::fprintf(out, "%12.3f ms  %s%s\n", in_ms(step.now - first),
                 describe(entry, player.op_types(), player.tenants()).c_str(),
                 sibling ? "   (another try under its mark)" : "");
    std::size_t next = 0;
    for (const Decision& one : *step.replayed) {
      if (one.op != op) continue;
      std::fprintf(out, "                 -> %s\n", describe(one, player.op_types()).c_str());
      if (is_final(one.kind) && next < reason.size()) {
        if (!reason[next].empty()) std::fprintf(out, "                    %s\n", reason[next].c_str());
        ++next;
      }
    }
    reason.clear();
  });
  if (seen == 0) {
    std::fprintf(out, "op %s is not in this recording\n", text.c_str());
    return 1;
  }
  if (!result.difference.empty())
    std::fprintf(out, "note: this build decides otherwise than the one that recorded; first at %s",
                 result.difference.c_str());
  return 0;
}

int info_report(const std::vector<std::string>& paths, std::FILE* out) {
  Nanos began = -1;
  for (const std::string& path : sort_segments(paths)) {
    SegmentReader reader(path);
    const wire::Head& head = reader.head();
    wire::Entry entry;
    Nanos now = head.at();
    if (began < 0) began = now;
    std::map<std::string, std::uint64_t> events, finals;
    std::uint64_t entries = 0, snapshot = 0;
    bool ended = false;
    const std::vector<std::string> op_types = configured_names(decode_settings(head), "op_type.");
    while (reader.next(entry)) {
      ++entries;
      now += entry.after();
      ended = entry.what_case() == wire::Entry::kEnd;
      if (entry.what_case() == wire::Entry::kSnapshot) snapshot = entry.snapshot().size();
      if (entry.what_case() == wire::Entry::kGap)
        std::fprintf(out, "  gap before it: %llu entries or more, %s\n", big(entry.gap().entries()),
                     entry.gap().why().c_str());
      if (entry.what_case() == wire::Entry::kCame)
        ++events["ops of " + (entry.came().type() < op_types.size() ? op_types[entry.came().type()] : "?")];
      for (const Decision& one : recorded_decisions(entry))
        if (is_final(one.kind))
          ++finals[std::string(to_text(one.kind)) +
                   (one.reason == Reason::none ? "" : ", " + std::string(to_text(one.reason)))];
    }
    std::fprintf(out,
                 "%s: server %s, recording %016llx, segment %u, format %u, layout %u, build %s, settings "
                 "%016llx%s%s\n",
                 path.c_str(), head.server().c_str(), big(head.recording()), head.segment(), head.format(),
                 head.layout(), head.build().c_str(), big(head.settings_digest()),
                 head.concealed() ? ", marks concealed" : "", head.bodies() ? ", with bodies" : "");
    std::fprintf(out, "  %.3f to %.3f s, %llu entries, snapshot of %llu bytes, %s\n",
                 static_cast<double>(head.at() - began) / 1e9, static_cast<double>(now - began) / 1e9,
                 big(entries), big(snapshot),
                 ended           ? "closed"
                 : reader.torn() ? "ends in an incomplete block"
                                 : "not closed");
    for (const auto& [what, count] : events) std::fprintf(out, "  %10llu  %s\n", big(count), what.c_str());
    for (const auto& [what, count] : finals) std::fprintf(out, "  %10llu  %s\n", big(count), what.c_str());
  }
  return 0;
}

int list_report(const std::vector<std::string>& paths, std::uint64_t from_ms, std::uint64_t to_ms,
                std::FILE* out) {
  Replayer player(paths);
  Nanos first = -1;
  player.play(false, [&](const Replayer::Step& step) {
    if (first < 0) first = step.now;
    const double at = in_ms(step.now - first);
    if (at < static_cast<double>(from_ms) || at > static_cast<double>(to_ms)) return;
    std::fprintf(out, "%12.3f ms  %s\n", at,
                 describe(*step.entry, player.op_types(), player.tenants()).c_str());
    for (const Decision& one : *step.recorded)
      std::fprintf(out, "                 -> %s\n", describe(one, player.op_types()).c_str());
  });
  return 0;
}

// ---- comparison with this build

namespace {

// Outcomes of all ops on one side of a comparison.
struct Side {
  explicit Side(const Settings& settings) : rules(rule_figures(settings)) {}
  Rules rules;
  std::map<OpId, std::string> ends;
  std::map<std::string, std::uint64_t> counts;

  void take(Nanos now, const std::vector<Decision>& orders) {
    for (const Decision& one : orders) {
      if (one.kind == Kind::start) rules.started(now, one.op);
      if (!is_final(one.kind)) continue;
      rules.answered(now, one.op,
                     one.kind == Kind::served    ? Rules::Final::served
                     : one.kind == Kind::refused ? Rules::Final::nacked
                                                 : Rules::Final::failed);
      std::string end(to_text(one.kind));
      if (one.reason != Reason::none) end += ", " + std::string(to_text(one.reason));
      ends[one.op] = end;
    }
  }
};

} // namespace

int compare_report(const std::vector<std::string>& paths, std::FILE* out) {
  Replayer player(paths);
  std::map<OpId, std::uint32_t> types;
  std::unique_ptr<Side> was, is;
  const Replayer::Result result = player.replay_with_simulated_runs([&](const Replayer::Step& step) {
    const wire::Entry& entry = *step.entry;
    if (!was) {
      const Settings settings = decode_settings(player.head());
      was = std::make_unique<Side>(settings);
      is = std::make_unique<Side>(settings);
    }
    for (Side* side : {was.get(), is.get()}) {
      Rules& rules = side->rules;
      rules.check_deadlines(step.now);
      switch (entry.what_case()) {
      case wire::Entry::kCame: {
        const wire::Came& came = entry.came();
        const Nanos received_at = step.now - came.waited();
        const Nanos time = came.limit() > 0
                               ? came.limit()
                               : rule_figures(decode_settings(player.head())).op_timeouts.at(came.type());
        const std::string mark = came.mark().empty()
                                     ? std::string()
                                     : came.mark() + digest_token({came.digest_high(), came.digest_low()});
        rules.came(step.now, OpId{came.op()}, OpTypeId{came.type()}, received_at, received_at + time, mark);
        rules.assign_stream(OpId{came.op()},
                            {ConnectionId{came.line().connection()}, StreamId{came.line().stream()}});
        types[OpId{came.op()}] = came.type();
        break;
      }
      case wire::Entry::kLineLost:
        rules.stream_lost(
            {ConnectionId{entry.line_lost().connection()}, StreamId{entry.line_lost().stream()}});
        break;
      case wire::Entry::kLeave:
        rules.drain_started(step.now);
        break;
      default:
        break;
      }
      side->take(step.now, side == was.get() ? *step.recorded : *step.replayed);
      if (entry.what_case() == wire::Entry::kRunOver)
        rules.run_over(OpId{entry.run_over().op()}, static_cast<Outcome>(entry.run_over().outcome()));
      if (entry.what_case() == wire::Entry::kStartRefused)
        rules.run_over(OpId{entry.start_refused()}, Outcome::moot);
    }
  });
  say_result(result, -1, out);
  std::map<std::string, std::uint64_t> changed;
  std::uint64_t same = 0, moved = 0;
  for (const auto& [op, type] : types) {
    const auto name = [&](const Side& side) {
      const auto at = side.ends.find(op);
      return at == side.ends.end() ? std::string("not answered") : at->second;
    };
    const std::string before = name(*was), after = name(*is);
    if (before == after) {
      ++same;
      continue;
    }
    ++moved;
    ++changed[(type < player.op_types().size() ? player.op_types()[type] : "?") + ": " + before + " -> " +
              after];
  }
  std::fprintf(out, "%llu ops end as they did, %llu otherwise; first difference: %s\n", big(same), big(moved),
               result.difference.empty() ? "none" : "");
  if (!result.difference.empty()) std::fputs(result.difference.c_str(), out);
  std::vector<std::pair<std::uint64_t, std::string>> rows;
  for (const auto& [what, count] : changed) rows.emplace_back(count, what);
  std::sort(rows.rbegin(), rows.rend());
  for (std::size_t i = 0; i < std::min(rows.size(), max_table_rows); ++i)
    std::fprintf(out, "  %8llu  %s\n", big(rows[i].first), rows[i].second.c_str());
  if (result.ignored_events + result.simulated_ends > 0)
    std::fprintf(
        out,
        "%llu events passed over, of runs that this build did not start; %llu runs that only it started "
        "ended after the median of their type (simulated)\n",
        big(result.ignored_events), big(result.simulated_ends));
  std::fprintf(out, "rules, recorded: %s\nrules, replayed: %s\n", describe(was->rules.broken()).c_str(),
               describe(is->rules.broken()).c_str());
  for (const std::string& one : is->rules.examples()) std::fprintf(out, "  %s\n", one.c_str());
  return result.difference.empty() ? 0 : 1;
}

// ---- sections

int cut_report(const std::vector<std::string>& paths, const Part& part, const std::string& into,
               std::FILE* out) {
  Nanos from = static_cast<Nanos>(part.from_ms * ns_a_ms), to = static_cast<Nanos>(part.to_ms * ns_a_ms);
  if (!part.op.empty()) {
    const OpId op = op_in(part.op);
    Replayer look(paths);
    Nanos first = -1;
    from = to = -1;
    look.play(false, [&](const Replayer::Step& step) {
      if (first < 0) first = step.now;
      const bool ordered = std::any_of(step.recorded->begin(), step.recorded->end(),
                                       [&](const Decision& one) { return one.op == op; });
      if (op_of(*step.entry) != op && !ordered) return;
      if (from < 0) from = std::max<Nanos>(0, step.now - first - op_margin);
      to = step.now - first + op_margin;
    });
    if (from < 0) {
      std::fprintf(out, "op %s is not in this recording\n", part.op.c_str());
      return 1;
    }
  }
  Replayer player(paths);
  std::unique_ptr<Pseudonymizer> concealer;
  if (part.scrub) concealer = std::make_unique<Pseudonymizer>();
  const auto conceal = [&](std::string_view word) {
    return concealer && !word.empty() ? (*concealer)(word) : std::string(word);
  };
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(into.c_str(), "wbx"), &std::fclose);
  if (!file) throw Unreadable(into + ": can't be made, or is there already");
  bool written_well = true;
  const auto write = [&](const std::string& bytes) {
    written_well = written_well && std::fwrite(bytes.data(), 1, bytes.size(), file.get()) == bytes.size();
  };
  std::string payload;
  const auto flush = [&] {
    if (!payload.empty()) write(encode_block(payload));
    payload.clear();
  };
  Nanos first = -1, last = 0;
  std::uint64_t entries = 0;
  bool open = false, over = false;
  std::string state; // before the current entry
  const auto begin = [&](Nanos now) {
    wire::Head head = player.head();
    head.set_at(now);
    head.set_segment(1);
    head.set_concealed(head.concealed() || part.scrub);
    head.set_bodies(head.bodies() && !part.scrub);
    std::string bytes(segment_magic), raw;
    head.SerializeToString(&raw);
    write(bytes + encode_block(raw));
    wire::Entry snapshot;
    snapshot.set_snapshot(state);
    append_entry(payload, snapshot);
    flush();
    open = true;
    last = now;
  };
  player.before_entry = [&](Nanos now, const wire::Entry& entry) {
    if (first < 0) first = now;
    if (entry.what_case() == wire::Entry::kSnapshot || entry.what_case() == wire::Entry::kEnd) return;
    if (!open && !over && now - first >= from) {
      state = player.snapshot(conceal);
      begin(now);
    }
  };
  player.play(false, [&](const Replayer::Step& step) {
    if (!open) return;
    if (step.entry->what_case() == wire::Entry::kGap) over = true; // the state after a gap is unrelated
    if (to >= 0 && step.now - first > to) over = true;
    if (over) {
      wire::Entry end;
      end.mutable_end()->set_entries(entries);
      append_entry(payload, end);
      flush();
      open = false;
      return;
    }
    if (step.entry->what_case() == wire::Entry::kSnapshot || step.entry->what_case() == wire::Entry::kEnd)
      return;
    wire::Entry copy = *step.entry;
    copy.set_after(step.now - last);
    last = step.now;
    if (part.scrub) {
      if (copy.what_case() == wire::Entry::kCame) {
        copy.mutable_came()->set_mark(conceal(copy.came().mark()));
        copy.mutable_came()->set_subject(conceal(copy.came().subject()));
        copy.mutable_came()->mutable_body()->clear_bytes();
      }
      if (copy.what_case() == wire::Entry::kRunOver)
        copy.mutable_run_over()->mutable_content()->clear_bytes();
      if (copy.what_case() == wire::Entry::kCallOver)
        copy.mutable_call_over()->mutable_content()->clear_bytes();
      if (copy.what_case() == wire::Entry::kCallWanted)
        copy.mutable_call_wanted()->mutable_body()->clear_bytes();
    }
    append_entry(payload, copy);
    ++entries;
    if (payload.size() >= cut_block) flush();
  });
  if (open) {
    wire::Entry end;
    end.mutable_end()->set_entries(entries);
    append_entry(payload, end);
    flush();
  }
  if (std::fflush(file.get()) != 0 || !written_well)
    throw Unreadable(into + ": could not be written completely");
  std::fprintf(out, "%llu entries written to %s\n", big(entries), into.c_str());
  return entries > 0 ? 0 : 1;
}

} // namespace cometshift
