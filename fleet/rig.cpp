#include "rig.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/mman.h>
#include <sys/resource.h>
#include <unistd.h>

namespace cometshift::fleet {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr Nanos act_takes = 20 * ms;  // at the referee
constexpr Nanos act_limit = 100 * ms; // as the operator file has it; with the pauses in it
constexpr Nanos look_every = ms;
constexpr Nanos start_time = 500 * ms;   // until a server is told by signals
constexpr Nanos leave_time = 6 * second; // from the notice to the kill
// Ports on this rig's own loopback address; members and pairs are counted on from them.
constexpr unsigned fronts = 5000, members_at = 6000, machines = 7300, referee_at = 8000, late_at = 9000,
                   records_at = 5432, announce_at = 2379, twins_at = 10'000, pairs_at = 20'000,
                   pairs_of = 128;

Nanos boot_now() {
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return static_cast<Nanos>(at.tv_sec) * second + at.tv_nsec;
}

} // namespace

struct Rig::Page {
  volatile std::uint32_t version = 0;
  volatile std::uint32_t both = 0;
  volatile std::int64_t at = 0, shown = 0;
  volatile double rate = 0;
  volatile std::uint32_t stop_before_act = 0;
};

Rig::Rig(asio::io_context& io, const Wanted& wanted, std::vector<Fault> plan)
    : io_(io), wanted_(wanted), plan_(std::move(plan)),
      host_(0x7f000000u | (0x40000u + static_cast<unsigned>(getpid())) % 0xfffffeu),
      term_(static_cast<Nanos>(wanted.term_s * 1e9)), judge_([&] {
        Judge::Figures figures{wanted.members, {}, term_, 150 * ms};
        for (unsigned v = 1; v <= wanted.voters; ++v) figures.voters.push_back(v);
        return figures;
      }()),
      seats_(wanted.members) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  for (unsigned v = 1; v <= wanted_.voters; ++v) voters_.voters.insert(MemberId{v});
  std::filesystem::create_directories(wanted_.folder);
  begun_ = standin::steady_now();
  referee_ = std::make_unique<Referee>(
      io_, at(referee_at), judge_, [this] { return now(); }, act_takes);
  records_ = std::make_unique<standin::RecordsService>(io_, at(records_at), wanted_.seed * 3 + 2);
  announce_ = std::make_unique<standin::AnnounceService>(io_, at(announce_at), wanted_.seed * 3 + 3);
  for (unsigned a = 1; a <= wanted_.members; ++a) {
    Seat& seat = seats_[a - 1];
    seat.number = a;
    to_referee_[a] = std::make_unique<Relay>(io_, at(late_at + a), at(referee_at));
    for (unsigned b = 1; b <= wanted_.members; ++b)
      if (a != b)
        relays_[{a, b}] = std::make_unique<Relay>(io_, at(pairs_at + a * pairs_of + b), at(members_at + b));
    seat.page_path = wanted_.folder + "/clock-" + std::to_string(a);
    const int file = open(seat.page_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0 || ftruncate(file, sizeof(Page)) != 0)
      throw std::runtime_error(seat.page_path + ": can't be made");
    void* mapped = mmap(nullptr, sizeof(Page), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED) throw std::runtime_error(seat.page_path + ": can't be mapped");
    seat.page = new (mapped) Page;
  }
}

Rig::~Rig() {
  for (Seat& seat : seats_) {
    seat.child.reset();
    munmap(seat.page, sizeof(Page));
  }
}

asio::ip::tcp::endpoint Rig::at(unsigned port) const {
  return {asio::ip::address_v4(host_), static_cast<unsigned short>(port)};
}

void Rig::after(Nanos time, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::nanoseconds(time));
  timer->async_wait([this, timer, what = std::move(what)](asio::error_code stopped) {
    if (!stopped && !over_) what();
  });
}

// ---- servers

std::string Rig::operator_text(unsigned member, unsigned listen_port) const {
  if (!wanted_.leases) return "";
  char words[512];
  std::snprintf(
      words, sizeof words,
      "fleet {\n  name \"rig\"\n  self %u\n  listen \"%s\"\n  term \"%lldms\"\n  drift \"%g%%\"\n"
      "  beat \"%lldms\"\n  silent \"%lldms\"\n  rest-least \"20ms\"\n  rest-most \"%lldms\"\n  voters",
      member, address(listen_port).c_str(), static_cast<long long>(term_ / ms), 100 * wanted_.drift,
      static_cast<long long>(term_ / 10 / ms), static_cast<long long>(term_ / 2 / ms),
      static_cast<long long>(term_ / 4 / ms));
  std::string text = words;
  for (const MemberId voter : voters_.voters) text += ' ' + std::to_string(voter.raw);
  text += "\n  epoch " + std::to_string(voters_.epoch.raw) + "\n";
  if (!voters_.previous.empty()) {
    text += "  previous-voters";
    for (const MemberId voter : voters_.previous) text += ' ' + std::to_string(voter.raw);
    text += '\n';
  }
  for (unsigned m = 1; m <= wanted_.members; ++m)
    text += "  member " + std::to_string(m) + " \"" +
            address(m == member ? listen_port : pairs_at + member * pairs_of + m) + "\"\n";
  for (unsigned t = 0; t < wanted_.tasks; ++t) {
    const bool fences = t % 2 == 0;
    std::snprintf(words, sizeof words,
                  "  task \"%s-%u\" {\n    every \"%lldms\"\n    limit \"%lldms\"\n    call \"%s\"\n    "
                  "fences %s\n  }\n",
                  fences ? "fenced" : "plain", t / 2, static_cast<long long>(wanted_.every_s * 1e3),
                  static_cast<long long>(act_limit / ms),
                  address(fences ? late_at + member : referee_at).c_str(), fences ? "#true" : "#false");
    text += words;
  }
  return text + "}\n";
}

Rig::Seat& Rig::seat(unsigned number) {
  if (number == 0) number = judge_.last_to_act("plain-0");
  if (number == 0) number = 1;
  return seats_[number - 1];
}

void Rig::begin(Seat& seat) {
  if (seat.up || over_) return;
  const std::string name = "n" + std::to_string(seat.number);
  const std::string life_name = wanted_.folder + "/" + name + "-" + std::to_string(seat.lives.size() + 1);
  seat.lives.push_back(std::make_unique<Life>());
  Life& life = *seat.lives.back();
  seat.life = &life;
  life.begun = now();
  life.rules = std::make_unique<Rules>(Rules::Figures{.repeats = {RetryClass::retryable, RetryClass::keyed},
                                                      .op_timeouts = {},
                                                      .key_windows = {0, 9 * second},
                                                      .grace = 2 * second});
  life.demand = std::make_unique<load::Demand>(
      wanted_.seed * 1000 + seat.number * 100 + seat.lives.size(),
      load::Demand::Figures{
          .rate = std::max(wanted_.rate, 0.1), .callers = 4, .tenants = {0.6, 0.4}, .client_tries = 2},
      load::kinds());
  life.callers = std::make_unique<load::Callers>(io_, at(fronts + seat.number), *life.demand, *life.rules,
                                                 load::tenants());
  life.machine = std::make_unique<standin::Machine>(
      io_, at(machines + seat.number), 4, wanted_.seed * 7 + seat.number,
      standin::Watcher{
          .started = [&life](OpId op) { life.callers->ran(op), life.rules->started(load::unix_now(), op); },
          .ended = [&life](OpId op, Outcome end) { life.rules->run_over(op, end); }});
  const std::string config = wanted_.folder + "/" + name + ".json",
                    operators = wanted_.folder + "/" + name + ".kdl";
  load::write_file(config, load::configuration(
                               {.name = name, .seed = wanted_.seed + seat.number, .leave_time = leave_time},
                               address(fronts + seat.number), address(machines + seat.number),
                               address(announce_at), address(records_at)));
  if (seat.lives.size() == 1) write_operator(seat); // what came later came by itself
  seat.page->rate = 0;
  seat.page->stop_before_act = 0;
  seat.child = std::make_unique<load::Child>(
      std::vector<std::string>{"/usr/bin/env", "LD_PRELOAD=" + wanted_.clock, "ODD_CLOCK=" + seat.page_path,
                               wanted_.server, "serve", "--config", config, "--operator", operators},
      life_name + ".log");
  seat.log = life_name + ".log";
  seat.up = true;
  seat.stopped = seat.leaving = false;
  ++outcome_.lives;
  // Once it listens, which the first callers find out: what is asked before is refused, and has not run.
  if (wanted_.rate > 0)
    after(300 * ms, [this, &seat, &life] {
      const Nanos left = static_cast<Nanos>(wanted_.seconds * 1e9) - now();
      if (seat.life == &life && seat.up && left > 0) life.callers->begin(left);
    });
  told_reach();
}

// The one place where a life of a server ends: what it cost, whether it ended as told, which rules it broke.
void Rig::ended(Seat& seat, const load::Child::Cost& cost, bool by_us) {
  Life& life = *seat.life;
  seat.up = seat.stopped = false;
  seat.awaits_stop = 0;
  outcome_.cpu_seconds += cost.cpu_seconds;
  outcome_.member_seconds += static_cast<double>(now() - life.begun) / 1e9;
  if (!by_us && !(seat.leaving && cost.exit_code == 0)) {
    ++outcome_.ended_badly;
    outcome_.examples.push_back("member " + std::to_string(seat.number) + " ended with " +
                                std::to_string(cost.exit_code));
  }
  if (by_us) life.whole = false;
  if (life.whole) life.rules->check_deadlines(load::unix_now());
  const Rules::Broken& broken = life.rules->broken();
  // A server that was killed or stood still loses ops and is late; it never does twice.
  const std::uint64_t wrong =
      life.whole ? broken.total()
                 : broken.duplicate_answers + broken.duplicate_runs + broken.nacked_after_run;
  outcome_.rules_broken += wrong;
  if (wrong > 0)
    for (const std::string& one : life.rules->examples())
      outcome_.examples.push_back("member " + std::to_string(seat.number) + ": " + one);
  outcome_.wrong_results += life.callers->wrong_results();
  outcome_.ops += life.rules->ops();
  const std::vector<float>& answers = life.callers->answer_ms();
  if (life.whole) outcome_.answer_ms.insert(outcome_.answer_ms.end(), answers.begin(), answers.end());
  life.callers->stop();
  life.machine->move_to(at(0)); // its interpreter goes with it
  told_reach();
}

void Rig::kill(Seat& seat, Nanos down) {
  if (!seat.up) return;
  judge_.lost(now(), seat.number);
  look_at_memory(seat);
  seat.child->tell(SIGKILL);
  load::Child::Cost cost;
  while (!seat.child->ended(cost)) usleep(200);
  ended(seat, cost, true);
  after(down, [this, &seat] { begin(seat); });
}

void Rig::stop(Seat& seat, Nanos length) {
  if (!seat.up || seat.stopped) return;
  seat.child->tell(SIGSTOP);
  seat.stopped = true;
  seat.life->whole = false;
  judge_.lost(now(), seat.number);
  told_reach();
  after(length, [this, &seat, life = seat.life] {
    if (seat.life == life) go_on(seat);
  });
}

void Rig::go_on(Seat& seat) {
  if (!seat.up || !seat.stopped) return;
  seat.stopped = false;
  seat.child->tell(SIGCONT);
  told_reach();
}

// Of the program alone: what a child has had at its most counts this process's own memory from before its
// start.
void Rig::look_at_memory(Seat& seat) {
  std::ifstream in("/proc/" + std::to_string(seat.child->pid()) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmHWM:"))
      outcome_.peak_kb = std::max(outcome_.peak_kb, std::strtol(line.c_str() + 6, nullptr, 10));
}

// Each a thousandth of a second: who ended, and who stands still as it was told to in its next act.
void Rig::look() {
  for (Seat& seat : seats_) {
    load::Child::Cost cost;
    if (seat.up && seat.child->ended(cost)) {
      const bool told = seat.leaving;
      ended(seat, cost, false);
      if (told && seat.down_for > 0) after(std::exchange(seat.down_for, 0), [this, &seat] { begin(seat); });
    }
    if (seat.awaits_stop > 0 && seat.up && seat.page->stop_before_act == 0) {
      seat.awaits_stop = 0;
      seat.life->whole = false;
      seat.stopped = true;
      judge_.lost(now(), seat.number);
      told_reach();
      after(seat.stop_for, [this, &seat, life = seat.life] {
        if (seat.life == life) go_on(seat);
      });
      seat.stop_for = 0;
    }
  }
  after(look_every, [this] { look(); });
}

// ---- faults

Rig::Ways Rig::ways(const std::function<bool(unsigned, unsigned)>& of) const {
  Ways found;
  for (const auto& [ends, relay] : relays_)
    if (of(ends.first, ends.second)) found.push_back(relay.get());
  return found;
}

void Rig::cut(const Ways& ways, Nanos length) {
  for (Relay* relay : ways) relay->cut(true);
  told_reach();
  after(length, [this, ways] {
    for (Relay* relay : ways) relay->cut(false);
    told_reach();
  });
}

void Rig::told_reach() {
  const unsigned n = wanted_.members;
  std::vector<std::vector<bool>> hears(n + 1, std::vector<bool>(n + 1));
  for (unsigned a = 1; a <= n; ++a)
    for (unsigned b = 1; b <= n; ++b)
      hears[a][b] = a == b ? seats_[a - 1].up && !seats_[a - 1].stopped : !relays_.at({b, a})->is_cut();
  judge_.reach(now(), hears);
}

// ---- who votes

void Rig::write_operator(const Seat& seat) const {
  load::write_file(wanted_.folder + "/n" + std::to_string(seat.number) + ".kdl",
                   operator_text(seat.number, members_at + seat.number));
}

// As an operator looks for it: in the log of any member that is up.
bool Rig::settled() const {
  const std::string word = "epoch " + std::to_string(voters_.epoch.raw) + " is settled";
  return voters_.epoch.raw == 1 || std::any_of(seats_.begin(), seats_.end(), [&](const Seat& seat) {
           return seat.up && load::read_file(seat.log).find(word) != std::string::npos;
         });
}

void Rig::change_voters(unsigned first, Nanos spread) {
  if (!settled()) return;
  judge_.voters_change();
  voters_.previous = std::move(voters_.voters);
  voters_.voters.clear();
  ++voters_.epoch.raw;
  for (unsigned n = 0; n < wanted_.voters; ++n)
    voters_.voters.insert(MemberId{(first - 1 + n) % wanted_.members + 1});
  ++outcome_.lists;
  // One after the other, those that are down too; who is up is told to read it.
  for (Seat& seat : seats_)
    after(spread * seat.number / wanted_.members, [this, &seat, epoch = voters_.epoch] {
      if (epoch != voters_.epoch) return;
      write_operator(seat);
      // One that just started may not have read its file yet, or may not yet be told by a signal.
      const Nanos young = seat.up ? std::max<Nanos>(0, seat.life->begun + start_time - now()) : 0;
      after(young, [&seat, life = seat.life] {
        if (seat.up && seat.life == life) seat.child->tell(SIGHUP);
      });
    });
}

void Rig::odd(Seat& seat, double rate, double jump, bool both) {
  Page& page = *seat.page;
  const Nanos true_now = boot_now();
  const Nanos shows =
      page.rate > 0 ? page.shown + static_cast<Nanos>(static_cast<double>(true_now - page.at) * page.rate)
                    : true_now;
  __atomic_store_n(&page.version, page.version + 1, __ATOMIC_SEQ_CST);
  page.at = true_now;
  page.shown = shows + static_cast<Nanos>(jump * 1e9);
  if (rate > 0)
    page.rate = rate;
  else if (page.rate <= 0)
    page.rate = 1;
  page.both = both;
  __atomic_store_n(&page.version, page.version + 1, __ATOMIC_SEQ_CST);
}

void Rig::meet(Fault fault) {
  const auto length = static_cast<Nanos>(fault.figure * 1e9);
  if (fault.a == 0 && fault.what != "split" && fault.what != "restart-voters") fault.a = seat(0).number;
  if (fault.b == fault.a || fault.b == 0) fault.b = fault.a % wanted_.members + 1;
  met_.push_back(fault);
  met_.back().at = now();
  if (!wanted_.quiet)
    std::printf("%7.3f s  %s", static_cast<double>(now()) / 1e9, text_of({met_.back()}).c_str());
  Seat& one = seat(fault.a);
  const unsigned a = fault.a, b = fault.b, voters = wanted_.voters;
  Relay* const way = relays_.at({one.number, b == one.number ? one.number % wanted_.members + 1 : b}).get();
  const std::string& what = fault.what;
  if (what == "kill")
    kill(one, length);
  else if (what == "drain") {
    if (!one.up || one.stopped || one.leaving) return;
    one.leaving = true;
    one.down_for = std::max<Nanos>(length, ms);
    one.life->rules->drain_started(load::unix_now());
    one.child->tell(SIGTERM);
  } else if (what == "restart-voters") {
    for (unsigned v = 1; v <= voters; ++v) kill(seats_[v - 1], length);
  } else if (what == "stop")
    stop(one, length);
  else if (what == "stop-in-act" || what == "stop-in-plain-act") {
    if (!one.up || one.stopped || one.awaits_stop > 0 || one.leaving) return;
    one.awaits_stop = 1;
    one.stop_for = length;
    one.page->stop_before_act = what == "stop-in-act" ? 1 : 2;
    after(3 * term_, [this, &one, life = one.life] { // it does not act
      if (one.life != life || one.awaits_stop == 0 || one.page->stop_before_act == 0) return;
      one.page->stop_before_act = 0;
      one.awaits_stop = 0;
      one.stop_for = 0;
    });
  } else if (what == "cut")
    cut({way}, length);
  else if (what == "cut-out")
    cut(ways([&](unsigned from, unsigned) { return from == a; }), length);
  else if (what == "cut-in")
    cut(ways([&](unsigned, unsigned to) { return to == a; }), length);
  else if (what == "cut-off")
    cut(ways([&](unsigned from, unsigned to) { return from == a || to == a; }), length);
  else if (what == "cut-voters")
    cut(ways([&](unsigned from, unsigned to) {
          return (from == a && to <= voters) || (to == a && from <= voters);
        }),
        length);
  else if (what == "cut-contenders")
    cut(ways([&](unsigned from, unsigned to) {
          return (from == a && to > voters) || (to == a && from > voters);
        }),
        length);
  else if (what == "split")
    cut(ways([](unsigned from, unsigned to) { return from % 2 != to % 2; }), length);
  else if (what == "delay") {
    way->delay(length);
    after(2 * second, [way] { way->delay(0); });
  } else if (what == "trickle") {
    way->trickle(true);
    after(length, [way] { way->trickle(false); });
  } else if (what == "half-open")
    way->half_open();
  else if (what == "reset")
    way->reset();
  else if (what == "spoil")
    way->spoil();
  else if (what == "act-late") {
    Relay* const late = to_referee_.at(one.number).get();
    late->cut(true);
    after(length, [late] { late->cut(false); });
  } else if (what == "clock-rate")
    odd(one, fault.figure, 0, false);
  else if (what == "clock-both")
    odd(one, fault.figure, 0, true);
  else if (what == "clock-jump")
    odd(one, 0, fault.figure, false);
  else if (what == "voters")
    change_voters(a, length);
  else if (what == "twin") {
    const unsigned port = twins_at + static_cast<unsigned>(twins_.size());
    const std::string operators = wanted_.folder + "/twin.kdl", config = wanted_.folder + "/twin.json";
    load::write_file(operators, operator_text(one.number, port));
    load::write_file(config,
                     load::configuration({.name = "twin", .seed = 1}, address(port + 500), address(machines),
                                         address(announce_at), address(records_at)));
    twins_.push_back(std::make_unique<load::Child>(
        std::vector<std::string>{wanted_.server, "serve", "--config", config, "--operator", operators},
        wanted_.folder + "/twin-" + std::to_string(twins_.size() + 1) + ".log"));
    after(length + 2 * term_, [child = twins_.back().get()] { child->tell(SIGKILL); });
  }
}

// ---- the run

Ending Rig::run() {
  for (Seat& seat : seats_) begin(seat);
  const Nanos length = static_cast<Nanos>(wanted_.seconds * 1e9);
  for (const Fault& fault : plan_) after(fault.at, [this, fault] { meet(fault); });
  look();
  while (now() < length) io_.run_one_for(std::chrono::milliseconds(5));
  outcome_.faults = met_.size();
  std::map<std::string, Nanos> last;
  for (const Act& act : judge_.acts())
    if (!act.refused) last[act.task] = act.begun;
  outcome_.came_back =
      !wanted_.leases ||
      (last.size() == wanted_.tasks && std::all_of(last.begin(), last.end(), [&](const auto& one) {
         return one.second > length - 2 * term_ - 2 * static_cast<Nanos>(wanted_.every_s * 1e9);
       }));
  for (const auto& [ends, relay] : relays_) outcome_.bytes += relay->bytes();
  for (Seat& seat : seats_) {
    if (!seat.up) continue;
    look_at_memory(seat);
    if (seat.stopped) go_on(seat);
    seat.leaving = true;
    seat.down_for = 0;
    seat.life->rules->drain_started(load::unix_now());
    seat.child->tell(SIGTERM);
  }
  const Nanos told = now();
  while (std::any_of(seats_.begin(), seats_.end(), [](const Seat& seat) { return seat.up; }) &&
         now() - told < leave_time + 2 * second)
    io_.run_one_for(std::chrono::milliseconds(5));
  for (Seat& seat : seats_)
    if (seat.up) {
      ++outcome_.ended_badly;
      outcome_.examples.push_back("member " + std::to_string(seat.number) + " does not leave");
      seat.child->tell(SIGKILL);
    }
  over_ = true;
  outcome_.verdict = judge_.verdict();
  outcome_.gaps = judge_.gaps();
  return outcome_;
}

} // namespace cometshift::fleet
