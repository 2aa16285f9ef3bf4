// Tests of leases: one member step by step, then simulated fleets from seeds with a referee
// (fleet_of_leases.hpp). With arguments, as the judge of mutants: the number of seeds to run with faults;
// "changing" limits them to fleets whose voters change; "stop" ends at the first violation, which is printed.
#include "fleet_of_leases.hpp"

#include <cstdlib>

namespace {

struct Sum {
  std::uint64_t seeds = 0, holdings = 0, renewals = 0, acts = 0, stale = 0, changes = 0;
  int overlaps = 0, non_rising_tokens = 0, concurrent_acts = 0;
  Nanos longest_gap = 0;
  std::vector<Nanos> gaps;
  std::string first;
};

Sum run_seeds(Plan plan, std::uint64_t from, std::uint64_t seeds, bool stop = false) {
  Sum sum;
  for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
    plan.seed = seed;
    const Verdict v = FleetOfLeases(plan).play();
    ++sum.seeds;
    sum.holdings += static_cast<std::uint64_t>(v.holdings);
    sum.renewals += static_cast<std::uint64_t>(v.renewals);
    sum.acts += static_cast<std::uint64_t>(v.acts);
    sum.stale += static_cast<std::uint64_t>(v.stale_refused);
    sum.changes += v.changes;
    sum.concurrent_acts += v.concurrent_acts_unfenced;
    sum.overlaps += v.overlaps;
    sum.gaps.insert(sum.gaps.end(), v.gaps.begin(), v.gaps.end());
    sum.non_rising_tokens += v.non_rising_tokens;
    sum.longest_gap = std::max(sum.longest_gap, v.longest_gap);
    if (sum.first.empty() && !v.first.empty()) sum.first = "seed " + std::to_string(seed) + ", " + v.first;
    if (stop && !sum.first.empty()) break;
  }
  return sum;
}

void print(const char* title, const Sum& s) {
  std::printf("%s: %llu seeds, %llu holdings, %llu renewals, %llu acts, overlaps %d\n", title,
              static_cast<unsigned long long>(s.seeds), static_cast<unsigned long long>(s.holdings),
              static_cast<unsigned long long>(s.renewals), static_cast<unsigned long long>(s.acts),
              s.overlaps);
  if (!s.first.empty()) std::printf("  first: %s\n", s.first.c_str());
}

// The fleet of a kind; the kinds combine its properties in turn.
Plan plan_of_kind(std::uint64_t seed) {
  Plan plan;
  plan.voters = seed % 5 == 0 ? 1 : seed % 5 < 3 ? 3 : 5;
  plan.members = plan.voters + static_cast<unsigned>(seed / 5 % 3);
  plan.drift = seed % 2 == 0 ? 0.05 : 0.001;
  plan.most_terms = seed % 4 == 0 ? 2 : 0;
  plan.crashes = seed % 3 == 0 ? 1.5 : 0.2;
  plan.pauses = seed % 3 == 1 ? 1.5 : 0.3;
  plan.lost = seed % 7 == 0 ? 0.4 : 0.05;
  plan.length = 20 * second;
  return plan;
}
// Seven members with one to three changing voters; operator files arrive late or not at all, and members
// restart with old ones.
Plan voter_change_plan(std::uint64_t seed) {
  Plan plan = plan_of_kind(seed);
  plan.members = 7;
  plan.voters = 3;
  plan.changes = 1.5;
  plan.raises_counter = true;
  plan.crashes = seed % 2 == 0 ? 1.5 : 0.4;
  plan.lost = 0.05;
  plan.length = 30 * second;
  // The operator does not wait for a list to be settled: members that keep running have to ensure that no
  // list is skipped.
  plan.unsettled_changes = seed % 4 == 3;
  if (plan.unsettled_changes) {
    plan.crashes = 0;
    plan.changes = 0.7;
    plan.list_updates = 0.02;
  }
  return plan;
}

// For a target that cannot fence: acts of at most 300 ms including pauses, which the next holder waits out;
// or acts without a pause, which nobody waits out.
Plan unfenced_plan(bool waited_out) {
  Plan plan = plan_of_kind(2);
  plan.check_unfenced = true;
  plan.pauses = 0;
  plan.cuts = 1;
  plan.drops = 2;
  plan.most_terms = 1;
  plan.act = waited_out ? 20 * ms : 400 * ms;
  plan.in_act = waited_out ? 0.3 : 0;
  plan.longest_in_act = 280 * ms;
  plan.lock_delay = waited_out ? 300 * ms : 0;
  return plan;
}
// Most voters lose their state again and again.
Plan forgetful_plan() {
  Plan plan = plan_of_kind(2);
  plan.crashes = 4;
  plan.pauses = 0;
  plan.cuts = 0.1;
  return plan;
}

int run_faulty(std::uint64_t seeds, bool stop, bool changing = false) {
  Sum all;
  for (std::uint64_t kind = changing ? 33 : 0; kind < 37 && !(stop && !all.first.empty()); ++kind) {
    const Plan plan = kind < 30    ? plan_of_kind(kind)
                      : kind == 32 ? forgetful_plan()
                      : kind > 32  ? voter_change_plan(kind)
                                   : unfenced_plan(kind == 30);
    const Sum s = run_seeds(plan, 1 + kind * seeds, std::max<std::uint64_t>(1, seeds / 30), stop);
    if (plan.check_unfenced) all.concurrent_acts += s.concurrent_acts;
    if (s.holdings == 0) all.first = "nobody ever holds", ++all.overlaps;
    all.seeds += s.seeds, all.holdings += s.holdings, all.renewals += s.renewals, all.acts += s.acts;
    all.stale += s.stale, all.overlaps += s.overlaps, all.non_rising_tokens += s.non_rising_tokens;
    if (all.first.empty() && !s.first.empty()) all.first = "kind " + std::to_string(kind) + ", " + s.first;
  }
  print("with faults", all);
  std::printf("  acts refused by the target that fences: %llu; holdings whose token was not greater: %d\n",
              static_cast<unsigned long long>(all.stale), all.non_rising_tokens);
  return all.overlaps + all.non_rising_tokens + all.concurrent_acts;
}

// Prints one member's actions.
struct Printed final : LeaseActions {
  void ask(MemberId v, Epoch, std::string_view l, AskNo n, Token t, Nanos term) override {
    std::printf("  ask %u for %.*s, ask %llu, token %llx, %lld ms\n", v.raw, static_cast<int>(l.size()),
                l.data(), static_cast<unsigned long long>(n.raw), static_cast<unsigned long long>(t.raw),
                static_cast<long long>(term / ms));
  }
  void release(MemberId v, std::string_view, AskNo n) override {
    std::printf("  release at %u up to ask %llu\n", v.raw, static_cast<unsigned long long>(n.raw));
  }
  void grant(MemberId to, Incarnation, std::string_view, AskNo n, bool wanted) override {
    std::printf("  grant to %u, ask %llu%s\n", to.raw, static_cast<unsigned long long>(n.raw),
                wanted ? ", wanted" : "");
  }
  void refuse(MemberId to, Incarnation, std::string_view, AskNo n, Token seen, Nanos left) override {
    std::printf("  refuse %u, ask %llu, seen %llx, %lld ms left\n", to.raw,
                static_cast<unsigned long long>(n.raw), static_cast<unsigned long long>(seen.raw),
                static_cast<long long>(left / ms));
  }
  void held(std::string_view, Token t, Nanos from, Nanos until) override {
    std::printf("  held under %llx from %lld to %lld ms\n", static_cast<unsigned long long>(t.raw),
                static_cast<long long>(from / ms), static_cast<long long>(until / ms));
  }
  void lost(std::string_view, Token t, LossReason reason) override {
    std::printf("  lost %llx: %s\n", static_cast<unsigned long long>(t.raw),
                std::string(to_text(reason)).c_str());
  }
};

Settings settings(Nanos longest_act = 0) {
  return {{"leases.term", 1e9},
          {"leases.longest_term", 1e9},
          {"leases.drift", 0.01},
          {"leases.longest_act", static_cast<double>(longest_act)},
          {"leases.most", 2.0}};
}

const VoterList three{Epoch{1}, {MemberId{1}, MemberId{2}, MemberId{3}}, {}};

void voter() {
  Printed out;
  const Voters voters(0, MemberId{1}, three, second);
  const Epoch epoch{1};
  Leases v(0, MemberId{1}, Incarnation{7}, voters, settings(), 1, out);
  const Incarnation a{5}, b{6};
  const auto say = [](const char* text) { std::printf("# %s\n", text); };
  say("a voter is silent for the longest term after its start, to the last instant");
  v.asked(999'999'999, MemberId{4}, a, epoch, "t", AskNo{1}, Token{0x10004}, second);
  v.asked(second, MemberId{4}, a, epoch, "t", AskNo{2}, Token{0x10004}, second);
  say("granted: another member's ask is refused until the grant ends, and then needs a greater token");
  v.asked(2 * second - 1, MemberId{5}, b, epoch, "t", AskNo{1}, Token{0x20005}, second);
  v.asked(2 * second, MemberId{5}, b, epoch, "t", AskNo{2}, Token{0x10004}, second);
  v.asked(2 * second, MemberId{5}, b, epoch, "t", AskNo{3}, Token{0x20005}, second);
  say("a duplicate or old ask is ignored; a release that arrives before its ask stays in effect");
  v.asked(2 * second + ms, MemberId{5}, b, epoch, "t", AskNo{3}, Token{0x20005}, second);
  v.released(2 * second + 2 * ms, MemberId{5}, b, "t", AskNo{5});
  v.asked(2 * second + 3 * ms, MemberId{5}, b, epoch, "t", AskNo{4}, Token{0x20005}, second);
  say("a restarted member counts as another one and waits too");
  v.asked(3 * second, MemberId{4}, a, epoch, "t", AskNo{9}, Token{0x30004}, second);
  v.asked(3 * second + ms, MemberId{4}, Incarnation{99}, epoch, "t", AskNo{1}, Token{0x40004}, second);
  say("a term longer than the silence of starting voters, no name, no token: invalid");
  v.asked(5 * second, MemberId{4}, a, epoch, "t", AskNo{20}, Token{0x50004}, second + 1);
  v.asked(5 * second, MemberId{4}, a, epoch, "", AskNo{20}, Token{0x50004}, second);
  v.asked(5 * second, MemberId{4}, a, epoch, "t", AskNo{20}, Token{0}, second);
  std::printf("  senseless %llu\n", static_cast<unsigned long long>(v.invalid_messages()));
  say("no room for a third name until one has had no grant for a long time");
  v.asked(6 * second, MemberId{4}, a, epoch, "u", AskNo{21}, Token{0x50004}, second);
  v.asked(6 * second, MemberId{4}, a, epoch, "w", AskNo{22}, Token{0x50004}, second);
  v.asked(12 * second, MemberId{4}, a, epoch, "w", AskNo{23}, Token{0x50004}, second);
}

void holder() {
  Printed out;
  const Voters voters(0, MemberId{9}, three, second);
  const auto say = [](const char* text) { std::printf("# %s\n", text); };
  const Incarnation me{5};
  Leases m(0, MemberId{9}, me, voters, settings(100 * ms), 1, out);
  say("requesting side: a majority for one ask makes a holder, counted from when the ask was sent, less the "
      "drift");
  m.acquire(0, "t");
  m.due(0);
  m.granted(10 * ms, MemberId{1}, me, "t", AskNo{1}, false);
  m.granted(10 * ms, MemberId{1}, me, "t", AskNo{1}, false); // a duplicate counts once
  m.granted(10 * ms, MemberId{8}, me, "t", AskNo{1}, false); // not a voter
  m.granted(20 * ms, MemberId{2}, me, "t", AskNo{1}, false);
  say("it acts once the previous holder's acts must have ended, and if its own act ends in time");
  std::printf("  at 50 ms %llx, at 130 ms %llx, at 130 ms for 860 ms %llx\n",
              static_cast<unsigned long long>(m.may_act(50 * ms, "t", ms).raw),
              static_cast<unsigned long long>(m.may_act(130 * ms, "t", ms).raw),
              static_cast<unsigned long long>(m.may_act(130 * ms, "t", 860 * ms).raw));
  say("it renews early; grants for the previous ask renew nothing, a majority for the new one does");
  const Nanos renew = m.next_wake();
  m.due(renew);
  m.granted(renew + ms, MemberId{3}, me, "t", AskNo{1}, false);
  m.granted(renew + ms, MemberId{3}, me, "t", AskNo{2}, false);
  m.granted(renew + 2 * ms, MemberId{1}, me, "t", AskNo{2}, false);
  say("dropped during an act: released once the act has ended, and no act begins meanwhile");
  const Token token = m.begin_act(renew + 3 * ms, "t", 10 * ms);
  m.leave(renew + 4 * ms);
  std::printf("  another act: %llx\n",
              static_cast<unsigned long long>(m.begin_act(renew + 5 * ms, "t", ms).raw));
  m.end_act(renew + 6 * ms, "t", token);
  say("a grant that arrives after its own end is ignored");
  Leases late(0, MemberId{9}, me, voters, settings(), 1, out);
  late.acquire(0, "t");
  late.due(0);
  late.granted(970 * ms, MemberId{1}, me, "t", AskNo{1}, false);
  late.granted(981 * ms, MemberId{2}, me, "t", AskNo{1}, false);
  say("voters farther away than an eighth of a term: asked again too soon; with a longer answer time-out, "
      "waited for");
  for (const bool told : {false, true}) {
    Settings far = settings();
    if (told) far["leases.answer"] = 200e6;
    Leases away(0, MemberId{9}, me, voters, far, 1, out);
    away.acquire(0, "t");
    away.due(0);
    away.due(126 * ms);
    away.granted(150 * ms, MemberId{1}, me, "t", AskNo{1}, false);
    away.granted(150 * ms, MemberId{2}, me, "t", AskNo{1}, false);
  }
  say("a token that is too small: a greater one is used at once");
  Leases small(0, MemberId{9}, me, voters, settings(), 1, out);
  small.acquire(0, "t");
  small.due(0);
  small.refused(5 * ms, MemberId{1}, me, "t", AskNo{1}, Token{0x70003}, 0);
  small.refused(5 * ms, MemberId{2}, me, "t", AskNo{1}, Token{0x70003}, 0);
  small.due(5 * ms);
  say("the target knows a greater token: the lease is released and requested again above it");
  small.granted(6 * ms, MemberId{1}, me, "t", AskNo{3}, false);
  small.granted(6 * ms, MemberId{2}, me, "t", AskNo{3}, false);
  small.refused_by_target(7 * ms, "t", Token{0x90001});
  small.due(7 * ms);
}

} // namespace

int main(int count, char** arguments) {
  if (count > 1) {
    const auto has_argument = [&](const char* word) {
      return std::any_of(arguments + 2, arguments + count,
                         [&](const char* argument) { return std::string_view(argument) == word; });
    };
    return run_faulty(std::strtoull(arguments[1], nullptr, 10), has_argument("stop"),
                      has_argument("changing")) == 0
               ? 0
               : 1;
  }
  voter();
  holder();
  std::printf("# fleets\n");
  int violations = run_faulty(600, false);
  Plan calm;
  calm.crashes = calm.pauses = calm.cuts = calm.drops = calm.late = calm.duplicated = 0;
  calm.longest_in_act = 0;
  calm.lost = 0.05;
  calm.length = 600 * second;
  const Sum steady = run_seeds(calm, 1, 10);
  print("calm, one message in twenty lost", steady);
  Plan killed = calm;
  killed.members = 7;
  killed.voters = 5;
  killed.kill_every = 6 * second; // by then the previous one is back and no longer silent
  Sum kills = run_seeds(killed, 1, 10);
  print("the holder killed every six to nine seconds", kills);
  std::sort(kills.gaps.begin(), kills.gaps.end());
  const Nanos usual = kills.gaps[kills.gaps.size() / 2], rare = kills.gaps[kills.gaps.size() * 99 / 100];
  std::printf(
      "  %zu kills, until the next acts: half within %.2f terms, 99 in 100 within %.2f, all within %.2f\n",
      kills.gaps.size(), static_cast<double>(usual) / static_cast<double>(killed.term),
      static_cast<double>(rare) / static_cast<double>(killed.term),
      static_cast<double>(kills.gaps.back()) / static_cast<double>(killed.term));
  violations += kills.overlaps + (rare > killed.term * 3 / 2);
  Plan forgetful = plan_of_kind(3);
  forgetful.first_token_hint = false;
  const Sum forgot = run_seeds(forgetful, 1, 60);
  print("no count that rises over starts", forgot);
  std::printf("  holdings whose token was not greater: %d; acts refused by the target that fences: %llu\n",
              forgot.non_rising_tokens, static_cast<unsigned long long>(forgot.stale));
  Plan back;
  back.faults_until = 15 * second;
  back.length = 30 * second;
  const Sum again = run_seeds(back, 1, 100);
  print("faults that end", again);
  std::printf("  longest without a holder, once all faults are over for six terms: %lld ms\n",
              static_cast<long long>(again.longest_gap / ms));
  Plan changed = voter_change_plan(33);
  changed.faults_until = 15 * second;
  const Sum changes = run_seeds(changed, 1, 100);
  print("voters that change, and faults that end", changes);
  std::printf("  lists that came into use alone: %llu\n", static_cast<unsigned long long>(changes.changes));
  std::printf("  longest without a holder, once all faults are over for six terms: %lld ms\n",
              static_cast<long long>(changes.longest_gap / ms));
  Plan unfenced = unfenced_plan(true);
  const Sum waited = run_seeds(unfenced, 1, 60);
  print("a target that can't fence, acts of 300 ms with their pauses, waited out", waited);
  unfenced.lock_delay = 0;
  unfenced.longest_in_act = 2 * second;
  const Sum unwaited = run_seeds(unfenced, 1, 60);
  print("the same not waited out, and longer pauses", unwaited);
  std::printf("  acts at once: %d waited out, %s not\n", waited.concurrent_acts,
              unwaited.concurrent_acts > 0 ? "some" : "NONE");
  violations += waited.concurrent_acts + (unwaited.concurrent_acts == 0);
  Plan fair = calm;
  fair.most_terms = 3;
  fair.length = 60 * second;
  print("turns of three terms", run_seeds(fair, 1, 10));
  Plan broken = plan_of_kind(2);
  broken.clocks_off = 8; // eight times the bound: leases are not safe there, and the referee has to detect it
  const Sum seen = run_seeds(broken, 1, 60);
  print("clocks eight times beyond the bound", seen);
  violations += steady.overlaps + again.overlaps + changes.overlaps + (seen.overlaps == 0);
  std::puts(violations == 0 ? "no two at once within the bound, and seen beyond it" : "WRONG");
  return violations == 0 ? 0 : 1;
}
