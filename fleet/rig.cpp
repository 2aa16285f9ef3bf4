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
constexpr Nanos act_duration = 20 * ms; // at the task target
constexpr Nanos act_limit = 100 * ms;   // in the operator file; includes pauses
constexpr Nanos poll_interval = ms;
constexpr Nanos startup_time = 500 * ms; // before signals are sent to a server
constexpr Nanos drain_time = 6 * second; // from the drain notice to the kill
// Ports on this rig's own loopback address. Those of members and of pairs of members are counted up from a
// base.
constexpr unsigned front_ports = 5000, member_ports = 6000, machine_ports = 7300, target_port = 8000,
                   target_relay_ports = 9000, records_port = 5432, announce_port = 2379, twin_ports = 10'000,
                   relay_ports = 20'000, relay_ports_per_member = 128;

Nanos boot_now() {
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return static_cast<Nanos>(at.tv_sec) * second + at.tv_nsec;
}

} // namespace

struct Rig::ClockPage {
  volatile std::uint32_t version = 0;
  volatile std::uint32_t both = 0;
  volatile std::int64_t at = 0, shown = 0;
  volatile double rate = 0;
  volatile std::uint32_t stop_before_act = 0;
};

Rig::Rig(asio::io_context& io, const RunOptions& options, std::vector<Fault> plan)
    : io_(io), options_(options), plan_(std::move(plan)),
      host_(0x7f000000u | (0x40000u + static_cast<unsigned>(getpid())) % 0xfffffeu),
      term_(static_cast<Nanos>(options.term_s * 1e9)), checker_([&] {
        ExclusionChecker::Settings settings{options.members, {}, term_, 150 * ms};
        for (unsigned v = 1; v <= options.voters; ++v) settings.voters.push_back(v);
        return settings;
      }()),
      slots_(options.members) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  for (unsigned v = 1; v <= options_.voters; ++v) voters_.voters.insert(MemberId{v});
  std::filesystem::create_directories(options_.folder);
  started_at_ = standin::steady_now();
  target_ = std::make_unique<TaskTarget>(
      io_, at(target_port), checker_, [this] { return now(); }, act_duration);
  records_ = std::make_unique<standin::RecordsService>(io_, at(records_port), options_.seed * 3 + 2);
  announce_ = std::make_unique<standin::AnnounceService>(io_, at(announce_port), options_.seed * 3 + 3);
  for (unsigned a = 1; a <= options_.members; ++a) {
    ServerSlot& slot = slots_[a - 1];
    slot.number = a;
    target_relays_[a] = std::make_unique<Relay>(io_, at(target_relay_ports + a), at(target_port));
    for (unsigned b = 1; b <= options_.members; ++b)
      if (a != b)
        relays_[{a, b}] = std::make_unique<Relay>(io_, at(relay_ports + a * relay_ports_per_member + b),
                                                  at(member_ports + b));
    slot.page_path = options_.folder + "/clock-" + std::to_string(a);
    const int file = open(slot.page_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0 || ftruncate(file, sizeof(ClockPage)) != 0)
      throw std::runtime_error(slot.page_path + ": can't be made");
    void* mapped = mmap(nullptr, sizeof(ClockPage), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED) throw std::runtime_error(slot.page_path + ": can't be mapped");
    slot.page = new (mapped) ClockPage;
  }
}

Rig::~Rig() {
  for (ServerSlot& slot : slots_) {
    slot.child.reset();
    munmap(slot.page, sizeof(ClockPage));
  }
}

asio::ip::tcp::endpoint Rig::at(unsigned port) const {
  return {asio::ip::address_v4(host_), static_cast<unsigned short>(port)};
}

void Rig::after(Nanos time, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::nanoseconds(time));
  timer->async_wait([this, timer, action = std::move(action)](asio::error_code stopped) {
    if (!stopped && !over_) action();
  });
}

// ---- servers

std::string Rig::operator_text(unsigned member, unsigned listen_port) const {
  if (!options_.leases) return "";
  char words[512];
  std::snprintf(
      words, sizeof words,
      "fleet {\n  name \"rig\"\n  self %u\n  listen \"%s\"\n  term \"%lldms\"\n  drift \"%g%%\"\n"
      "  beat \"%lldms\"\n  silent \"%lldms\"\n  rest-least \"20ms\"\n  rest-most \"%lldms\"\n  voters",
      member, address(listen_port).c_str(), static_cast<long long>(term_ / ms), 100 * options_.drift,
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
  for (unsigned m = 1; m <= options_.members; ++m)
    text += "  member " + std::to_string(m) + " \"" +
            address(m == member ? listen_port : relay_ports + member * relay_ports_per_member + m) + "\"\n";
  for (unsigned t = 0; t < options_.tasks; ++t) {
    const bool fences = t % 2 == 0;
    std::snprintf(words, sizeof words,
                  "  task \"%s-%u\" {\n    every \"%lldms\"\n    limit \"%lldms\"\n    call \"%s\"\n    "
                  "fences %s\n  }\n",
                  fences ? "fenced" : "plain", t / 2, static_cast<long long>(options_.every_s * 1e3),
                  static_cast<long long>(act_limit / ms),
                  address(fences ? target_relay_ports + member : target_port).c_str(),
                  fences ? "#true" : "#false");
    text += words;
  }
  return text + "}\n";
}

Rig::ServerSlot& Rig::slot(unsigned number) {
  if (number == 0) number = checker_.last_actor("plain-0");
  if (number == 0) number = 1;
  return slots_[number - 1];
}

void Rig::start_server(ServerSlot& slot) {
  if (slot.up || over_) return;
  const std::string name = "n" + std::to_string(slot.number);
  const std::string incarnation_name =
      options_.folder + "/" + name + "-" + std::to_string(slot.incarnations.size() + 1);
  slot.incarnations.push_back(std::make_unique<Incarnation>());
  Incarnation& incarnation = *slot.incarnations.back();
  slot.incarnation = &incarnation;
  incarnation.begun = now();
  incarnation.rules =
      std::make_unique<Rules>(Rules::Figures{.repeats = {RetryClass::retryable, RetryClass::keyed},
                                             .op_timeouts = {},
                                             .key_windows = {0, 9 * second},
                                             .grace = 2 * second});
  incarnation.demand = std::make_unique<load::Demand>(
      options_.seed * 1000 + slot.number * 100 + slot.incarnations.size(),
      load::Demand::Figures{
          .rate = std::max(options_.rate, 0.1), .callers = 4, .tenants = {0.6, 0.4}, .client_tries = 2},
      load::kinds());
  incarnation.callers = std::make_unique<load::Callers>(
      io_, at(front_ports + slot.number), *incarnation.demand, *incarnation.rules, load::tenants());
  incarnation.machine = std::make_unique<standin::Machine>(
      io_, at(machine_ports + slot.number), 4, options_.seed * 7 + slot.number,
      standin::Watcher{
          .started =
              [&incarnation](OpId op) {
                incarnation.callers->ran(op), incarnation.rules->started(load::unix_now(), op);
              },
          .ended = [&incarnation](OpId op, Outcome end) { incarnation.rules->run_over(op, end); }});
  const std::string config = options_.folder + "/" + name + ".json",
                    operators = options_.folder + "/" + name + ".kdl";
  load::write_file(config, load::configuration(
                               {.name = name, .seed = options_.seed + slot.number, .leave_time = drain_time},
                               address(front_ports + slot.number), address(machine_ports + slot.number),
                               address(announce_port), address(records_port)));
  if (slot.incarnations.size() == 1) write_operator(slot); // later versions are written by change_voters()
  slot.page->rate = 0;
  slot.page->stop_before_act = 0;
  slot.child = std::make_unique<load::Child>(
      std::vector<std::string>{"/usr/bin/env", "LD_PRELOAD=" + options_.clock, "ODD_CLOCK=" + slot.page_path,
                               options_.server, "serve", "--config", config, "--operator", operators},
      incarnation_name + ".log");
  slot.log = incarnation_name + ".log";
  slot.up = true;
  slot.stopped = slot.draining = false;
  ++outcome_.incarnations;
  // The load starts once the server listens. A request before that is refused and has not run.
  if (options_.rate > 0)
    after(300 * ms, [this, &slot, &incarnation] {
      const Nanos left = static_cast<Nanos>(options_.seconds * 1e9) - now();
      if (slot.incarnation == &incarnation && slot.up && left > 0) incarnation.callers->begin(left);
    });
  update_connectivity();
}

// The only place where an incarnation of a server ends. Records its cost, whether it exited as told, and
// which rules it broke.
void Rig::on_server_ended(ServerSlot& slot, const load::Child::Cost& cost, bool killed_by_rig) {
  Incarnation& incarnation = *slot.incarnation;
  slot.up = slot.stopped = false;
  slot.stop_pending = 0;
  outcome_.cpu_seconds += cost.cpu_seconds;
  outcome_.member_seconds += static_cast<double>(now() - incarnation.begun) / 1e9;
  if (!killed_by_rig && !(slot.draining && cost.exit_code == 0)) {
    ++outcome_.unexpected_exits;
    outcome_.examples.push_back("member " + std::to_string(slot.number) + " ended with " +
                                std::to_string(cost.exit_code));
  }
  if (killed_by_rig) incarnation.undisturbed = false;
  if (incarnation.undisturbed) incarnation.rules->check_deadlines(load::unix_now());
  const Rules::Broken& broken = incarnation.rules->broken();
  // A server that was killed or stopped may lose ops and be late, but must never run or answer an op twice.
  const std::uint64_t wrong =
      incarnation.undisturbed ? broken.total()
                              : broken.duplicate_answers + broken.duplicate_runs + broken.nacked_after_run;
  outcome_.rules_broken += wrong;
  if (wrong > 0)
    for (const std::string& one : incarnation.rules->examples())
      outcome_.examples.push_back("member " + std::to_string(slot.number) + ": " + one);
  outcome_.wrong_results += incarnation.callers->wrong_results();
  outcome_.ops += incarnation.rules->ops();
  const std::vector<float>& answers = incarnation.callers->answer_ms();
  if (incarnation.undisturbed)
    outcome_.answer_ms.insert(outcome_.answer_ms.end(), answers.begin(), answers.end());
  incarnation.callers->stop();
  incarnation.machine->move_to(at(0)); // the machine's interpreter ends with the server
  update_connectivity();
}

void Rig::kill(ServerSlot& slot, Nanos down) {
  if (!slot.up) return;
  checker_.on_member_lost(now(), slot.number);
  record_peak_memory(slot);
  slot.child->tell(SIGKILL);
  load::Child::Cost cost;
  while (!slot.child->ended(cost)) usleep(200);
  on_server_ended(slot, cost, true);
  after(down, [this, &slot] { start_server(slot); });
}

void Rig::stop(ServerSlot& slot, Nanos length) {
  if (!slot.up || slot.stopped) return;
  slot.child->tell(SIGSTOP);
  slot.stopped = true;
  slot.incarnation->undisturbed = false;
  checker_.on_member_lost(now(), slot.number);
  update_connectivity();
  after(length, [this, &slot, incarnation = slot.incarnation] {
    if (slot.incarnation == incarnation) resume(slot);
  });
}

void Rig::resume(ServerSlot& slot) {
  if (!slot.up || !slot.stopped) return;
  slot.stopped = false;
  slot.child->tell(SIGCONT);
  update_connectivity();
}

// Reads the peak from /proc, which covers the server program alone: the peak in a child's resource usage
// includes this process's memory from before the exec.
void Rig::record_peak_memory(ServerSlot& slot) {
  std::ifstream in("/proc/" + std::to_string(slot.child->pid()) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmHWM:"))
      outcome_.peak_kb = std::max(outcome_.peak_kb, std::strtol(line.c_str() + 6, nullptr, 10));
}

// Every millisecond: finds servers that have exited, and servers that have stopped in an act as requested.
void Rig::poll_servers() {
  for (ServerSlot& slot : slots_) {
    load::Child::Cost cost;
    if (slot.up && slot.child->ended(cost)) {
      const bool was_draining = slot.draining;
      on_server_ended(slot, cost, false);
      if (was_draining && slot.down_for > 0)
        after(std::exchange(slot.down_for, 0), [this, &slot] { start_server(slot); });
    }
    if (slot.stop_pending > 0 && slot.up && slot.page->stop_before_act == 0) {
      slot.stop_pending = 0;
      slot.incarnation->undisturbed = false;
      slot.stopped = true;
      checker_.on_member_lost(now(), slot.number);
      update_connectivity();
      after(slot.stop_for, [this, &slot, incarnation = slot.incarnation] {
        if (slot.incarnation == incarnation) resume(slot);
      });
      slot.stop_for = 0;
    }
  }
  after(poll_interval, [this] { poll_servers(); });
}

// ---- faults

Rig::RelayList Rig::relays_matching(const std::function<bool(unsigned, unsigned)>& matches) const {
  RelayList found;
  for (const auto& [direction, relay] : relays_)
    if (matches(direction.first, direction.second)) found.push_back(relay.get());
  return found;
}

void Rig::cut(const RelayList& relays, Nanos length) {
  for (Relay* relay : relays) relay->cut(true);
  update_connectivity();
  after(length, [this, relays] {
    for (Relay* relay : relays) relay->cut(false);
    update_connectivity();
  });
}

void Rig::update_connectivity() {
  const unsigned n = options_.members;
  std::vector<std::vector<bool>> receives_from(n + 1, std::vector<bool>(n + 1));
  for (unsigned a = 1; a <= n; ++a)
    for (unsigned b = 1; b <= n; ++b)
      receives_from[a][b] =
          a == b ? slots_[a - 1].up && !slots_[a - 1].stopped : !relays_.at({b, a})->is_cut();
  checker_.set_connectivity(now(), receives_from);
}

// ---- voters

void Rig::write_operator(const ServerSlot& slot) const {
  load::write_file(options_.folder + "/n" + std::to_string(slot.number) + ".kdl",
                   operator_text(slot.number, member_ports + slot.number));
}

// Looks for it as an operator does: in the log of any member that is up.
bool Rig::settled() const {
  const std::string marker = "epoch " + std::to_string(voters_.epoch.raw) + " is settled";
  return voters_.epoch.raw == 1 || std::any_of(slots_.begin(), slots_.end(), [&](const ServerSlot& slot) {
           return slot.up && load::read_file(slot.log).find(marker) != std::string::npos;
         });
}

void Rig::change_voters(unsigned first, Nanos spread) {
  if (!settled()) return;
  checker_.on_voters_changed();
  voters_.previous = std::move(voters_.voters);
  voters_.voters.clear();
  ++voters_.epoch.raw;
  for (unsigned n = 0; n < options_.voters; ++n)
    voters_.voters.insert(MemberId{(first - 1 + n) % options_.members + 1});
  ++outcome_.voter_changes;
  // Updates the files one after the other, also those of members that are down. Members that are up get
  // SIGHUP.
  for (ServerSlot& slot : slots_)
    after(spread * slot.number / options_.members, [this, &slot, epoch = voters_.epoch] {
      if (epoch != voters_.epoch) return;
      write_operator(slot);
      // A server that has just started may not have read its file yet, or may not handle the signal yet.
      const Nanos startup_left =
          slot.up ? std::max<Nanos>(0, slot.incarnation->begun + startup_time - now()) : 0;
      after(startup_left, [&slot, incarnation = slot.incarnation] {
        if (slot.up && slot.incarnation == incarnation) slot.child->tell(SIGHUP);
      });
    });
}

void Rig::distort_clock(ServerSlot& slot, double rate, double jump, bool both) {
  ClockPage& page = *slot.page;
  const Nanos true_now = boot_now();
  const Nanos shown_now =
      page.rate > 0 ? page.shown + static_cast<Nanos>(static_cast<double>(true_now - page.at) * page.rate)
                    : true_now;
  __atomic_store_n(&page.version, page.version + 1, __ATOMIC_SEQ_CST);
  page.at = true_now;
  page.shown = shown_now + static_cast<Nanos>(jump * 1e9);
  if (rate > 0)
    page.rate = rate;
  else if (page.rate <= 0)
    page.rate = 1;
  page.both = both;
  __atomic_store_n(&page.version, page.version + 1, __ATOMIC_SEQ_CST);
}

void Rig::inject(Fault fault) {
  const auto length = static_cast<Nanos>(fault.value * 1e9);
  if (fault.a == 0 && fault.kind != "split" && fault.kind != "restart-voters") fault.a = slot(0).number;
  if (fault.b == fault.a || fault.b == 0) fault.b = fault.a % options_.members + 1;
  injected_.push_back(fault);
  injected_.back().at = now();
  if (!options_.quiet)
    std::printf("%7.3f s  %s", static_cast<double>(now()) / 1e9, format_plan({injected_.back()}).c_str());
  ServerSlot& target_slot = slot(fault.a);
  const unsigned a = fault.a, b = fault.b, voters = options_.voters;
  Relay* const relay =
      relays_
          .at({target_slot.number, b == target_slot.number ? target_slot.number % options_.members + 1 : b})
          .get();
  const std::string& kind = fault.kind;
  if (kind == "kill")
    kill(target_slot, length);
  else if (kind == "drain") {
    if (!target_slot.up || target_slot.stopped || target_slot.draining) return;
    target_slot.draining = true;
    target_slot.down_for = std::max<Nanos>(length, ms);
    target_slot.incarnation->rules->drain_started(load::unix_now());
    target_slot.child->tell(SIGTERM);
  } else if (kind == "restart-voters") {
    for (unsigned v = 1; v <= voters; ++v) kill(slots_[v - 1], length);
  } else if (kind == "stop")
    stop(target_slot, length);
  else if (kind == "stop-in-act" || kind == "stop-in-plain-act") {
    if (!target_slot.up || target_slot.stopped || target_slot.stop_pending > 0 || target_slot.draining)
      return;
    target_slot.stop_pending = 1;
    target_slot.stop_for = length;
    target_slot.page->stop_before_act = kind == "stop-in-act" ? 1 : 2;
    // Gives up if the member does not act.
    after(3 * term_, [this, &target_slot, incarnation = target_slot.incarnation] {
      if (target_slot.incarnation != incarnation || target_slot.stop_pending == 0 ||
          target_slot.page->stop_before_act == 0)
        return;
      target_slot.page->stop_before_act = 0;
      target_slot.stop_pending = 0;
      target_slot.stop_for = 0;
    });
  } else if (kind == "cut")
    cut({relay}, length);
  else if (kind == "cut-out")
    cut(relays_matching([&](unsigned from, unsigned) { return from == a; }), length);
  else if (kind == "cut-in")
    cut(relays_matching([&](unsigned, unsigned to) { return to == a; }), length);
  else if (kind == "cut-off")
    cut(relays_matching([&](unsigned from, unsigned to) { return from == a || to == a; }), length);
  else if (kind == "cut-voters")
    cut(relays_matching([&](unsigned from, unsigned to) {
          return (from == a && to <= voters) || (to == a && from <= voters);
        }),
        length);
  else if (kind == "cut-contenders")
    cut(relays_matching([&](unsigned from, unsigned to) {
          return (from == a && to > voters) || (to == a && from > voters);
        }),
        length);
  else if (kind == "split")
    cut(relays_matching([](unsigned from, unsigned to) { return from % 2 != to % 2; }), length);
  else if (kind == "delay") {
    relay->delay(length);
    after(2 * second, [relay] { relay->delay(0); });
  } else if (kind == "trickle") {
    relay->trickle(true);
    after(length, [relay] { relay->trickle(false); });
  } else if (kind == "half-open")
    relay->half_open();
  else if (kind == "reset")
    relay->reset();
  else if (kind == "spoil")
    relay->corrupt_next();
  else if (kind == "act-late") {
    Relay* const late = target_relays_.at(target_slot.number).get();
    late->cut(true);
    after(length, [late] { late->cut(false); });
  } else if (kind == "clock-rate")
    distort_clock(target_slot, fault.value, 0, false);
  else if (kind == "clock-both")
    distort_clock(target_slot, fault.value, 0, true);
  else if (kind == "clock-jump")
    distort_clock(target_slot, 0, fault.value, false);
  else if (kind == "voters")
    change_voters(a, length);
  else if (kind == "twin") {
    const unsigned port = twin_ports + static_cast<unsigned>(twins_.size());
    const std::string operators = options_.folder + "/twin.kdl", config = options_.folder + "/twin.json";
    load::write_file(operators, operator_text(target_slot.number, port));
    load::write_file(config, load::configuration({.name = "twin", .seed = 1}, address(port + 500),
                                                 address(machine_ports), address(announce_port),
                                                 address(records_port)));
    twins_.push_back(std::make_unique<load::Child>(
        std::vector<std::string>{options_.server, "serve", "--config", config, "--operator", operators},
        options_.folder + "/twin-" + std::to_string(twins_.size() + 1) + ".log"));
    after(length + 2 * term_, [child = twins_.back().get()] { child->tell(SIGKILL); });
  }
}

// ---- the run

RunResult Rig::run() {
  for (ServerSlot& slot : slots_) start_server(slot);
  const Nanos length = static_cast<Nanos>(options_.seconds * 1e9);
  for (const Fault& fault : plan_) after(fault.at, [this, fault] { inject(fault); });
  poll_servers();
  while (now() < length) io_.run_one_for(std::chrono::milliseconds(5));
  outcome_.faults = injected_.size();
  std::map<std::string, Nanos> last;
  for (const Act& act : checker_.acts())
    if (!act.refused) last[act.task] = act.begun;
  outcome_.recovered =
      !options_.leases ||
      (last.size() == options_.tasks && std::all_of(last.begin(), last.end(), [&](const auto& one) {
         return one.second > length - 2 * term_ - 2 * static_cast<Nanos>(options_.every_s * 1e9);
       }));
  for (const auto& [direction, relay] : relays_) outcome_.bytes += relay->bytes();
  for (ServerSlot& slot : slots_) {
    if (!slot.up) continue;
    record_peak_memory(slot);
    if (slot.stopped) resume(slot);
    slot.draining = true;
    slot.down_for = 0;
    slot.incarnation->rules->drain_started(load::unix_now());
    slot.child->tell(SIGTERM);
  }
  const Nanos drain_started_at = now();
  while (std::any_of(slots_.begin(), slots_.end(), [](const ServerSlot& slot) { return slot.up; }) &&
         now() - drain_started_at < drain_time + 2 * second)
    io_.run_one_for(std::chrono::milliseconds(5));
  for (ServerSlot& slot : slots_)
    if (slot.up) {
      ++outcome_.unexpected_exits;
      outcome_.examples.push_back("member " + std::to_string(slot.number) + " does not leave");
      slot.child->tell(SIGKILL);
    }
  over_ = true;
  outcome_.findings = checker_.findings();
  outcome_.gaps = checker_.gaps();
  return outcome_;
}

} // namespace cometshift::fleet
