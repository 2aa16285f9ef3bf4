// cometshift-scale link: what the link between servers and the leases cost each role, by the number of
// members, in steady times and round the failures that a fleet meets. Members are hollow (hollow.hpp) on a
// simulated network (network.hpp).
//
// Who is what. Voters are the first member of each region. Some ordinary members are measured; these and the
// voters have all members in their files. The files of all others list the voters and a few drawn by chance,
// and they take as learnt whoever speaks to them: so who hears no voter is asked by as many as in a fleet
// whose files list all (`--list-all` shows what difference it makes; the memory for it grows with the
// square). A few leases are each asked for by two members that are not measured.
//
// Phases, each after a cold start of its own: cold, steady; tenth (a tenth of the members, no voter and none
// that is measured, restarted in 10 s), zone (one is gone, its voters too, mute; then back cold), region (one
// is cut from all others both ways for three minutes), voters (all restarted, one after the other), alone
// (all voters are gone). What follows a failure's end until all is settled has `-back` behind its name.
#include "commands.hpp"
#include "hollow.hpp"
#include "real.hpp"
#include "rows.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace cometshift::scale {

namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr unsigned voter_zones[] = {0, 3, 5, 7, 9}; // the first of each region
constexpr unsigned voters = std::size(voter_zones);
constexpr unsigned lost_zone = 9, cut_region = regions - 1; // both have a voter
constexpr unsigned sample_stride = 3;   // zones between two that are measured: all regions are among them
constexpr Nanos begins_within = second; // of a cold start, of a zone that comes back
constexpr Nanos quiet = 2 * second;     // between what has settled and the next failure
constexpr Nanos tenth_time = 10 * second, zone_time = 30 * second, region_time = 180 * second;
constexpr Nanos down_least = 500 * ms,
                down_most = 1 * second; // of a restart: what an exec and its files take
constexpr Nanos voters_apart =
    8 * second; // a restart each: over the term for which one that starts is silent
// Until a member counts as without voters: over four silences, or over the four beats that a voter may leave
// out, of which it has 40 a second for all.
constexpr Nanos until_alone = 12 * second, until_alone_each = 100 * ms;
constexpr Nanos least_window = 5 * second, longest_settling = 300 * second;
constexpr Nanos poll = 100 * ms; // how finely it is seen when all is settled
// As the operator file has them where it is silent.
constexpr double beat_s = 0.5, silent_s = 2, rest_least_s = 0.05, rest_most_s = 2, term_s = 5, drift = 0.01;
constexpr double most_leases = 256;
constexpr std::size_t drawn_others = 64; // in the files of most: many rounds of asking the few at a time
const std::vector<std::string> all_phases{"cold", "tenth", "zone", "region", "voters", "alone"};

struct Wanted {
  std::vector<unsigned> members{100, 300, 1000, 3000, 6600};
  std::vector<std::string> phases = all_phases;
  double seconds = 10, budget_s = 120;
  std::uint64_t seed = 1;
  unsigned repeat = 1, jobs = 2, sample = 8, leases = 16;
  bool list_all = false, counts = false;
  std::string out;
};

Nanos wall_now() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
using Figures = std::map<std::string, double>; // by name
struct Result {
  unsigned members = 0, repeat = 0;
  std::string phase, role;
  double window_s = 0;
  unsigned measured = 0;
  Figures got;
};

// One fleet, one phase.
class World {
 public:
  World(const Wanted& wanted, unsigned members, unsigned repeat, std::string phase)
      : wanted_(wanted), repeat_(repeat), phase_(std::move(phase)), chance_(wanted.seed + 1000 * repeat),
        network_(
            zones_of(members),
            [this](Nanos now, MemberId member, std::uint64_t life) { return made(now, member, life); },
            wanted.seed * 31 + repeat),
        wall_until_(wanted.counts ? std::numeric_limits<Nanos>::max()
                                  : wall_now() + static_cast<Nanos>(wanted.budget_s * 1e9)),
        begun_(wall_now()) {
    for (const unsigned zone : voter_zones) voters_.voters.insert(MemberId{zone + 1});
    const unsigned first = zones + 1;
    const unsigned room = members > first + 1 ? (members - first) / std::max(1u, wanted.sample) : 0;
    const unsigned stride =
        room < sample_stride ? sample_stride : room - (room + zones - sample_stride) % zones;
    for (unsigned s = 0; s < wanted.sample && first + s * stride <= members; ++s)
      sample_.push_back(MemberId{first + s * stride});
    for (unsigned m = 1; m <= members; ++m) everybody_.push_back(MemberId{m});
    few_.assign(voters_.voters.begin(), voters_.voters.end());
    few_.insert(few_.end(), sample_.begin(), sample_.end());
    const std::set<MemberId> measured(few_.begin(), few_.end());
    for (const MemberId member : measured) network_.measure(member);
    for (unsigned m = members, lease = 0; m > 0 && lease < 2 * wanted.leases; --m) {
      if (measured.contains(MemberId{m})) continue;
      wishes_[MemberId{m}].push_back("lease-" + std::to_string(lease / 2));
      leases_ = ++lease / 2;
    }
  }

  std::vector<Result> play() {
    for (const MemberId member : everybody_)
      network_.at(part(begins_within), [this, member] { begin(member); });
    open();
    const bool went = settle(0);
    if (phase_ == "cold") {
      close("cold", [this](MemberId m) { return usual(m); });
      if (!went) return results_;
      open();
      go(seconds(wanted_.seconds));
      close("steady", [this](MemberId m) { return usual(m); });
    } else if (!went || !go(quiet)) {
      close(phase_, [](MemberId) { return std::string(); });
    } else if (phase_ == "tenth") {
      tenth();
    } else if (phase_ == "zone") {
      zone();
    } else if (phase_ == "region") {
      region();
    } else if (phase_ == "voters") {
      voters_in_turn();
    } else {
      alone();
    }
    return results_;
  }

 private:
  static std::vector<unsigned> zones_of(unsigned members) {
    std::vector<unsigned> all;
    for (unsigned m = 0; m < members; ++m) all.push_back(m % zones);
    return all;
  }
  static Nanos seconds(double some) { return static_cast<Nanos>(some * 1e9); }
  Nanos part(Nanos of) { return static_cast<Nanos>(chance_.unit() * static_cast<double>(of)); }
  bool votes(MemberId member) const { return voters_.voters.contains(member); }
  bool is_measured(MemberId member) const {
    return std::find(few_.begin(), few_.end(), member) != few_.end();
  }
  std::string usual(MemberId member) const { return votes(member) ? "voter" : "ordinary"; }
  Hollow* at(MemberId member) const { return static_cast<Hollow*>(network_.node(member)); }

  std::unique_ptr<Node> made(Nanos now, MemberId member, std::uint64_t life) {
    const auto wishes = wishes_.find(member);
    const double term = term_s * 1e9;
    return std::make_unique<Hollow>(
        now, member, life,
        Hollow::Part{network_, "hollow", listed(member), true, voters_,
                     wishes == wishes_.end() ? std::vector<std::string>{} : wishes->second,
                     Settings{{"leases.term", term},
                              {"leases.longest_term", term},
                              {"leases.drift", drift},
                              {"leases.most_terms", 0.0},
                              {"leases.most", most_leases},
                              {"leases.first_token", static_cast<double>(now / ms)},
                              {"leases.longest_act", 0.0},
                              {"peers.beat", beat_s * 1e9},
                              {"peers.silent", silent_s * 1e9},
                              {"peers.rest_least", rest_least_s * 1e9},
                              {"peers.rest_most", rest_most_s * 1e9},
                              {"peers.most_words", 4 * most_leases},
                              {"peers.most_members", static_cast<double>(everybody_.size())}},
                     wanted_.seed + 100 * repeat_});
  }
  void begin(MemberId member) { network_.start(member); }
  // The same in each life.
  std::vector<MemberId> listed(MemberId member) const {
    if (wanted_.list_all || is_measured(member) || everybody_.size() <= voters + drawn_others)
      return everybody_;
    std::set<MemberId> some = voters_.voters;
    Pcg draw(wanted_.seed * 7919 + member.raw);
    while (some.size() < voters + drawn_others) some.insert(everybody_[draw.next() % everybody_.size()]);
    some.erase(member);
    return {some.begin(), some.end()};
  }

  // ---- time

  // Polls on the way: the greatest second of those that are measured, and whether all is settled.
  bool go(Nanos length) {
    const Nanos until = network_.now() + length;
    while (network_.now() < until) {
      const Nanos next = std::min(until, second_at_);
      if (!network_.run(next, wall_until_)) return !(cut_short_ = true);
      if (next == second_at_) look_at_second();
    }
    return true;
  }
  // Until members and voters hear each other by lines on which nothing waits to be sent again, and every
  // lease is held. From `since` on is told how long it
  // took; the window lasts for a while also where that was quick.
  bool settle(Nanos since) {
    link_at_ = leases_at_ = -1;
    while (link_at_ < 0 || leases_at_ < 0 || network_.now() < opened_ + least_window) {
      if (network_.now() - since >= longest_settling) return true;
      if (!go(poll)) return false;
      if (link_at_ < 0 && heard()) link_at_ = network_.now() - since;
      if (leases_at_ < 0 && held()) leases_at_ = network_.now() - since;
    }
    return true;
  }
  bool heard() {
    if (network_.stalled() > 0) return false;
    const std::size_t n = everybody_.size();
    for (std::size_t i = 0; i < n; ++i) { // the one that wasn't before first
      const MemberId member = everybody_[(unheard_ + i) % n];
      Hollow* const one = at(member);
      bool well = one != nullptr;
      for (const MemberId voter : voters_.voters)
        if (voter != member && well)
          well = at(voter) && at(voter)->peers().peer_state(member) == PeerState::reachable &&
                 one->peers().peer_state(voter) == PeerState::reachable;
      if (!well) return unheard_ = (unheard_ + i) % n, false;
    }
    return true;
  }
  bool held() const {
    std::size_t holds = 0;
    for (const auto& [member, leases] : wishes_)
      if (const Hollow* one = at(member)) holds += one->holds();
    return holds >= leases_;
  }

  // ---- windows

  struct Kept {
    Spent from, at_second;
    double looked = 0;
    Nanos cpu_peak = 0;
    std::uint64_t out_peak = 0, in_peak = 0;
  };
  double looked(MemberId member) const { // -1: it doesn't live
    return at(member) ? static_cast<double>(at(member)->peers().costs().peers_examined) : -1;
  }
  void open() {
    opened_ = network_.now();
    events_ = network_.events();
    second_at_ = opened_ + second;
    for (const MemberId member : few_) {
      Kept& one = kept_[member] = {};
      one.from = one.at_second = network_.spent(member);
      one.looked = std::max(0.0, looked(member));
    }
  }
  void look_at_second() {
    second_at_ += second;
    for (const MemberId member : few_) {
      Kept& one = kept_[member];
      const Spent& now = network_.spent(member);
      one.cpu_peak = std::max(one.cpu_peak, now.cpu - one.at_second.cpu);
      one.out_peak = std::max(one.out_peak, now.bytes_out - one.at_second.bytes_out);
      one.in_peak = std::max(one.in_peak, now.bytes_in - one.at_second.bytes_in);
      one.at_second = now;
    }
  }
  // A result a role: means over its members, and the most of any in a second. `role`: "" counts nowhere.
  void close(const std::string& phase, const std::function<std::string(MemberId)>& role,
             bool settling = true) {
    const double window = static_cast<double>(network_.now() - opened_) / 1e9;
    std::map<std::string, std::vector<MemberId>> roles;
    for (const MemberId member : few_)
      if (const std::string is = role(member); !is.empty()) roles[is].push_back(member);
    if (roles.empty()) roles["none"];
    for (const auto& [name, members] : roles) {
      Result result{static_cast<unsigned>(everybody_.size()), repeat_, phase, name, window, 0, {}};
      result.measured = static_cast<unsigned>(members.size());
      Figures& got = result.got;
      if (!members.empty() && window > 0) weigh(members, window, got);
      if (settling) {
        got["settled_s"] = time_or_none(link_at_);
        got["leases_s"] = time_or_none(leases_at_);
      }
      got["cut_short"] = cut_short_ ? 1 : 0;
      got["wall_s"] = static_cast<double>(wall_now() - begun_) / 1e9;
      got["events"] = static_cast<double>(network_.events() - events_);
      results_.push_back(std::move(result));
    }
  }
  static double time_or_none(Nanos time) {
    return time < 0 ? std::numeric_limits<double>::quiet_NaN() : static_cast<double>(time) / 1e9;
  }
  void weigh(const std::vector<MemberId>& members, double window, Figures& got) const {
    const auto n = static_cast<double>(members.size());
    for (const MemberId member : members) {
      const Kept& was = kept_.at(member);
      const Spent &from = was.from, &to = network_.spent(member);
      const auto most = [&got](const char* name, double value) { got[name] = std::max(got[name], value); };
      const auto mean = [&](const char* name, double value) { got[name] += value / n; };
      const auto rate = [&](std::uint64_t a, std::uint64_t b) { return static_cast<double>(b - a) / window; };
      const double cpu = static_cast<double>(to.cpu - from.cpu) / 1e9 / window;
      mean("cpu_part", cpu);
      most("cpu_most_part", cpu);
      most("cpu_peak_part", static_cast<double>(was.cpu_peak) / 1e9);
      mean("bytes_out_bytes_s", rate(from.bytes_out, to.bytes_out));
      mean("bytes_in_bytes_s", rate(from.bytes_in, to.bytes_in));
      most("out_peak_bytes_s", static_cast<double>(was.out_peak));
      most("in_peak_bytes_s", static_cast<double>(was.in_peak));
      mean("letters_out_s", rate(from.letters_out, to.letters_out));
      mean("letters_in_s", rate(from.letters_in, to.letters_in));
      mean("turns_s", rate(from.turns, to.turns));
      mean("dials", static_cast<double>(to.dials - from.dials));
      mean("lines_out", static_cast<double>(to.lines_out));
      mean("lines_in", static_cast<double>(to.lines_in));
      mean("memory_bytes", static_cast<double>(to.memory));
      if (const double all = looked(member); all >= 0) // a life that began in between tells its own
        mean("looked_s", (all >= was.looked ? all - was.looked : all) / window);
    }
  }

  // ---- phases

  void restart(MemberId member, Nanos when) {
    network_.at(when, [this, member] { network_.stop(member, Network::Stop::reset); });
    network_.at(when + down_least + part(down_most - down_least), [this, member] { begin(member); });
  }
  void tenth() {
    open();
    for (const MemberId member : everybody_)
      if (!is_measured(member) && chance_.unit() < 0.1) restart(member, network_.now() + part(tenth_time));
    if (go(tenth_time + down_most)) settle(opened_ + tenth_time);
    close("tenth", [this](MemberId m) { return usual(m); });
  }
  void zone() {
    const auto role = [this](MemberId m) { return network_.zone(m) == lost_zone ? "" : usual(m); };
    const auto each = [this](const auto& what) {
      for (const MemberId member : everybody_)
        if (network_.zone(member) == lost_zone) what(member);
    };
    open();
    each([this](MemberId m) { network_.stop(m, Network::Stop::mute); });
    const bool went = go(zone_time);
    close("zone", role, false);
    if (!went) return;
    open();
    each([this](MemberId m) { network_.at(network_.now() + part(begins_within), [this, m] { begin(m); }); });
    settle(opened_);
    close("zone-back", role);
  }
  void region() {
    const auto role = [this](MemberId m) {
      return (region_of(network_.zone(m)) == cut_region ? "cut-" : "") + usual(m);
    };
    open();
    network_.cut_region(cut_region, true);
    const bool went = go(region_time);
    close("region", role, false);
    if (!went) return;
    open();
    network_.cut_region(cut_region, false);
    settle(opened_);
    close("region-back", role);
  }
  void voters_in_turn() {
    open();
    Nanos when = network_.now();
    for (const MemberId voter : voters_.voters) {
      restart(voter, when);
      when += voters_apart;
    }
    if (go(when - voters_apart + down_most - network_.now())) settle(when - voters_apart);
    close("voters", [this](MemberId m) { return usual(m); });
  }
  void alone() {
    const auto unheard = [this](MemberId m) { return votes(m) ? std::string() : "unheard"; };
    open();
    for (const MemberId voter : voters_.voters) network_.stop(voter, Network::Stop::reset);
    bool went = go(until_alone + static_cast<Nanos>(everybody_.size()) * until_alone_each);
    if (went) {
      open();
      went = go(seconds(wanted_.seconds));
    }
    close("alone", unheard, false);
    if (!went) return;
    open();
    for (const MemberId voter : voters_.voters) begin(voter);
    settle(opened_);
    close("alone-back", [this](MemberId m) { return usual(m); });
  }

  const Wanted& wanted_;
  unsigned repeat_;
  std::string phase_;
  Pcg chance_;
  VoterList voters_;
  std::vector<MemberId> everybody_, sample_, few_; // few: the voters and the sample
  std::map<MemberId, std::vector<std::string>> wishes_;
  std::size_t leases_ = 0;
  std::map<MemberId, Kept> kept_;
  std::vector<Result> results_;
  Nanos opened_ = 0, second_at_ = 0, link_at_ = -1, leases_at_ = -1;
  std::uint64_t events_ = 0;
  std::size_t unheard_ = 0;
  bool cut_short_ = false;
  Network network_;
  Nanos wall_until_, begun_;
};

// ---- all of them

struct Task {
  unsigned members, repeat;
  std::string phase;
};

std::vector<Result> run_all(const Wanted& wanted) {
  std::vector<Task> tasks;
  for (const unsigned members : wanted.members)
    for (unsigned r = 0; r < wanted.repeat; ++r)
      for (const std::string& phase : wanted.phases) tasks.push_back({members, r, phase});
  // The long ones first.
  std::vector<std::size_t> turns(tasks.size());
  for (std::size_t t = 0; t < turns.size(); ++t) turns[t] = t;
  std::stable_sort(turns.begin(), turns.end(),
                   [&](std::size_t a, std::size_t b) { return tasks[a].members > tasks[b].members; });
  std::vector<std::vector<Result>> results(tasks.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned j = 0; j < std::max(1u, wanted.jobs); ++j)
    threads.emplace_back([&] {
      for (std::size_t t; (t = next++) < turns.size();) {
        const Task& task = tasks[turns[t]];
        const Nanos from = wall_now();
        results[turns[t]] = World(wanted, task.members, task.repeat, task.phase).play();
        if (!wanted.counts)
          std::fprintf(stderr, "%u members, %s: %.1f s\n", task.members, task.phase.c_str(),
                       static_cast<double>(wall_now() - from) / 1e9);
      }
    });
  for (std::thread& thread : threads) thread.join();
  std::vector<Result> all;
  for (auto& some : results) all.insert(all.end(), some.begin(), some.end());
  return all;
}

Row& with_settings(Row& row, const Wanted& wanted) {
  return row.set("voters", voters)
      .set("sample", wanted.sample)
      .set("leases", wanted.leases)
      .set("files",
           wanted.list_all ? "list all" : "of the voters and the sample list all, others the voters and 64")
      .set("regions", regions)
      .set("zones", zones)
      .set("beat_s", beat_s)
      .set("silent_s", silent_s)
      .set("rest_least_s", rest_least_s)
      .set("rest_most_s", rest_most_s)
      .set("term_s", term_s)
      .set("budget_s", wanted.budget_s);
}

// Of one figure of a phase and a role, over the sizes; a window that was cut short counts if it is long
// enough to tell.
bool slope_over(const std::vector<Result>& all, const std::string& phase, const std::string& role,
                const std::string& figure, Slope& slope) {
  constexpr double least_telling_s = 1, least = 1e-3;
  std::vector<Measured> points;
  std::set<unsigned> sizes;
  for (const Result& one : all) {
    const auto found = one.got.find(figure);
    if (one.phase != phase || one.role != role || found == one.got.end()) continue;
    if (!std::isfinite(found->second) || one.window_s < least_telling_s) continue;
    if (one.got.at("cut_short") != 0 && (figure == "dials" || figure.ends_with("peak_bytes_s"))) continue;
    points.push_back({static_cast<double>(one.members), found->second});
    sizes.insert(one.members);
  }
  if (sizes.size() < 3) return false;
  slope = slope_of(points, figure == "cpu_part" ? 1e-6 : least);
  return true;
}

std::vector<std::pair<std::string, std::string>> kinds_of(const std::vector<Result>& all) {
  std::vector<std::pair<std::string, std::string>> kinds;
  for (const Result& one : all) {
    const std::pair kind{one.phase, one.role};
    if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) kinds.push_back(kind);
  }
  return kinds;
}

void write_rows(const Wanted& wanted, const std::vector<Result>& all, std::FILE* out) {
  for (const Result& one : all) {
    Row row("link", wanted.seed + one.repeat);
    row.set("members", one.members).set("phase", one.phase).set("role", one.role);
    row.set("measured", one.measured).set("window_s", one.window_s);
    with_settings(row, wanted);
    for (const auto& [name, value] : one.got) row.got(name, value);
    row.write(out);
  }
  for (const auto& [phase, role] : kinds_of(all)) {
    Row row("slope", wanted.seed);
    row.set("of", "link").set("phase", phase).set("role", role).set("repeat", wanted.repeat);
    with_settings(row, wanted);
    bool any = false;
    for (const char* figure :
         {"cpu_part", "bytes_out_bytes_s", "bytes_in_bytes_s", "letters_out_s", "letters_in_s", "dials",
          "lines_out", "lines_in", "memory_bytes", "looked_s", "settled_s", "leases_s"})
      if (Slope slope; slope_over(all, phase, role, figure, slope)) row.got(figure, slope), any = true;
    if (any) row.write(out);
  }
}

// ---- counts alone: the same on every machine

struct Bound {
  const char *phase, *role, *figure;
  double most;
};
constexpr double flat = 0.1, linear = 1.1;
constexpr Bound bounds[] = {
    {"steady", "ordinary", "letters_out_s", flat},
    {"steady", "ordinary", "bytes_out_bytes_s", flat},
    {"steady", "ordinary", "bytes_in_bytes_s", flat},
    {"steady", "ordinary", "looked_s", flat},
    {"steady", "ordinary", "lines_out", flat},
    {"steady", "voter", "letters_out_s", flat},
    {"steady", "voter", "bytes_out_bytes_s", flat},
    {"steady", "voter", "bytes_in_bytes_s", flat},
    {"steady", "voter", "looked_s", flat},
    {"steady", "voter", "lines_out", linear},
    {"cold", "ordinary", "dials", flat},
    {"cold", "ordinary", "looked_s", linear}, // once each that its file lists
    {"cold", "voter", "dials", linear},
    {"cold", "voter", "looked_s", linear},
    {"tenth", "ordinary", "letters_out_s", flat},
    {"tenth", "ordinary", "looked_s", flat},
    {"tenth", "voter", "dials", linear},
    {"tenth", "voter", "looked_s", linear},
    {"alone", "unheard", "letters_out_s", flat},
    {"alone", "unheard", "bytes_out_bytes_s", flat},
    {"alone", "unheard", "bytes_in_bytes_s", flat},
    {"alone", "unheard", "looked_s", flat},
    {"alone", "unheard", "lines_out", flat},
};

int counts(const Wanted& wanted) {
  const std::vector<Result> all = run_all(wanted);
  for (const Result& one : all)
    std::printf("%u members, %s, %s: letters out %.1f in %.1f, bytes out %.0f in %.0f a second; dials %.1f; "
                "looked at %.1f a second; connections out %.0f in %.0f; settled %.1f\n",
                one.members, one.phase.c_str(), one.role.c_str(), one.got.at("letters_out_s"),
                one.got.at("letters_in_s"), one.got.at("bytes_out_bytes_s"), one.got.at("bytes_in_bytes_s"),
                one.got.at("dials"), one.got.at("looked_s"), one.got.at("lines_out"), one.got.at("lines_in"),
                one.got.contains("settled_s") ? one.got.at("settled_s") : 0);
  int code = 0;
  for (const Bound& bound : bounds) {
    Slope slope;
    if (!slope_over(all, bound.phase, bound.role, bound.figure, slope)) continue;
    const bool holds = slope.exponent <= bound.most;
    if (!holds) code = 1;
    std::printf("%s, %s, %s: exponent %.1f, at most %.1f: %s\n", bound.phase, bound.role, bound.figure,
                slope.exponent, bound.most, holds ? "holds" : "TOO STEEP");
  }
  return code;
}

// ---- hollow beside real

Row real_row(const Wanted& wanted, const Real& real, const char* role) {
  Row row("link", wanted.seed);
  row.set("members", real.members).set("phase", "real").set("role", role).set("window_s", real.seconds);
  row.set("voters", real.voters).set("link", real.link ? "on" : "off").set("beat_s", beat_s);
  return row;
}
double of(const std::vector<Result>& all, const std::string& role, const char* figure) {
  for (const Result& one : all)
    if (one.phase == "steady" && one.role == role && one.got.contains(figure)) return one.got.at(figure);
  return std::numeric_limits<double>::quiet_NaN();
}
// Rows of real processes with the link and without, and one that sets the difference beside hollow members of
// the same number, who hold no leases here, since the real ones have no tasks.
void calibrate(const Wanted& wanted, const std::vector<unsigned>& sizes, const std::string& server,
               const std::string& folder, std::FILE* out) {
  constexpr double ethernet = 14, stamps = 12; // bytes of a packet on loopback that a row's 40 leave out
  for (const unsigned members : sizes) {
    RealCost costs[2]; // without the link, with it
    for (const bool link : {false, true}) {
      const Real real{.server = server,
                      .folder = folder,
                      .members = members,
                      .voters = voters,
                      .link = link,
                      .settle_s = 8,
                      .seconds = wanted.seconds,
                      .seed = wanted.seed};
      const RealCost& cost = costs[link] = run_real(real);
      for (const bool votes : {true, false}) {
        const RealRole& role = votes ? cost.voter : cost.ordinary;
        real_row(wanted, real, votes ? "voter" : "ordinary")
            .got("cpu_part", role.cpu_part)
            .got("system_part", role.system_part)
            .got("memory_bytes", role.memory_bytes)
            .write(out);
      }
      real_row(wanted, real, "fleet")
          .got("loopback_bytes_s", cost.bytes_s)
          .got("loopback_packets_s", cost.packets_s)
          .got("ended", cost.ended)
          .write(out);
      std::fflush(out);
    }
    Wanted beside = wanted;
    beside.members = {members};
    beside.phases = {"cold"};
    beside.leases = 0;
    beside.list_all = true;
    const std::vector<Result> hollow = run_all(beside);
    Row row("calibration", wanted.seed);
    row.set("members", members).set("voters", voters).set("window_s", wanted.seconds);
    for (const bool votes : {true, false}) {
      const std::string role = votes ? "voter" : "ordinary";
      const RealRole &with = votes ? costs[1].voter : costs[1].ordinary,
                     &without = votes ? costs[0].voter : costs[0].ordinary;
      const double real = with.cpu_part - without.cpu_part, thin = of(hollow, role, "cpu_part");
      const double letters = of(hollow, role, "letters_out_s") + of(hollow, role, "letters_in_s");
      row.got(role + ".real_cpu_part", real)
          .got(role + ".real_system_part", with.system_part - without.system_part)
          .got(role + ".hollow_cpu_part", thin)
          .got(role + ".hollow_of_real_part", thin / real)
          .got(role + ".letters_s", letters)
          .got(role + ".left_out_us_a_letter", (real - thin) / letters * 1e6)
          .got(role + ".real_memory_bytes", with.memory_bytes - without.memory_bytes)
          .got(role + ".hollow_memory_bytes", of(hollow, role, "memory_bytes"));
    }
    const double packets = costs[1].packets_s - costs[0].packets_s;
    const double real = costs[1].bytes_s - costs[0].bytes_s - packets * (ethernet + stamps);
    const double thin = voters * of(hollow, "voter", "bytes_out_bytes_s") +
                        (members - voters) * of(hollow, "ordinary", "bytes_out_bytes_s");
    row.got("fleet.real_bytes_s", real)
        .got("fleet.real_packets_s", packets)
        .got("fleet.hollow_bytes_s", thin)
        .got("fleet.hollow_of_real_part", thin / real)
        .write(out);
    std::fflush(out);
  }
}

struct Beside {
  std::vector<unsigned> sizes;
  std::string server, folder;
};

int run(const Wanted& wanted, const Beside& real) {
  const Nanos from = wall_now();
  std::FILE* const out = wanted.out.empty() ? stdout : std::fopen(wanted.out.c_str(), "a");
  if (!out) return std::fprintf(stderr, "%s can't be written\n", wanted.out.c_str()), 2;
  try {
    if (real.sizes.empty())
      write_rows(wanted, run_all(wanted), out);
    else
      calibrate(wanted, real.sizes, real.server, real.folder, out);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
  const bool written = std::fflush(out) == 0 && std::ferror(out) == 0;
  if (out != stdout) std::fclose(out);
  std::fprintf(stderr, "%.1f s in all\n", static_cast<double>(wall_now() - from) / 1e9);
  return written ? 0 : 2;
}

} // namespace

void add_link(CLI::App& app, int& code) {
  static Wanted wanted;
  CLI::App& link = *app.add_subcommand("link", "the link between servers and leases, hollow members");
  link.add_option("--members", wanted.members, "sizes")->check(CLI::Range(20, 20000));
  link.add_option("--phases", wanted.phases, "cold (with steady), tenth, zone, region, voters, alone")
      ->check(CLI::IsMember(all_phases));
  link.add_option("--seconds", wanted.seconds, "simulated, of what is steady")
      ->check(CLI::Range(1.0, 3600.0));
  link.add_option("--seed", wanted.seed, "of all chance");
  link.add_option("--repeat", wanted.repeat, "runs of each size, by seeds that follow")
      ->check(CLI::Range(1, 100));
  link.add_option("--jobs", wanted.jobs, "phases that run side by side")->check(CLI::Range(1, 64));
  link.add_option("--sample", wanted.sample, "ordinary members that are measured")->check(CLI::Range(1, 100));
  link.add_option("--leases", wanted.leases, "each asked for by two members")->check(CLI::Range(0, 256));
  link.add_option("--budget", wanted.budget_s,
                  "seconds of the wall clock for a phase of a size: then it is cut short")
      ->check(CLI::Range(0.1, 3600.0));
  link.add_option("--out", wanted.out, "rows go behind this file's end; else they are printed");
  link.add_flag("--list-all", wanted.list_all, "all members' files list all: memory with the square");
  static Beside real;
  link.add_option("--real", real.sizes, "fleets of real processes of these sizes, beside hollow ones")
      ->check(CLI::Range(6, 150));
  link.add_option("--server", real.server, "the program, for --real")->default_val("build/cometshift");
  link.add_option("--folder", real.folder, "for configurations and logs of --real")
      ->default_val("build/real-fleet");
  link.add_flag("--counts", wanted.counts, "counts and exponents only, no times; exit code 1: too steep");
  link.callback([&code] { code = wanted.counts ? counts(wanted) : run(wanted, real); });
}

} // namespace cometshift::scale
