#include "fleet.hpp"

#include "plain.hpp"

#include <algorithm>
#include <cmath>

namespace cometshift::emulator {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;
constexpr Nanos hop = ms;                // between a balancer and a server, one way
constexpr Nanos no_connection = 50 * ms; // until a balancer knows that a server is not there
constexpr Nanos link_hop = 300'000;      // between a server and its machine
constexpr Nanos answer_room = 300 * ms;  // past its limit a balancer waits no more for a try
constexpr Nanos settle = 8 * second;     // after the last request, until all is over
constexpr double crowd_from = 3;         // runs a core, from which all on them get less done in total
constexpr double crowd_loss = 0.12;      // of what the cores do, for each run a core more
constexpr Nanos call_usual = 12 * ms;    // of the dependency while it is not crowded
constexpr Nanos reserve_window = 2 * second;
constexpr Nanos unix_begin = 1'764'576'000 * second;

struct Fleet;

// One server: its core, its machine, and what checks it.
struct Node final : Actions {
  struct Run {
    double left = 0, part = 0; // ns of a standard core
    int calls = 0;
    bool on_core = false;
  };
  Fleet& fleet;
  std::size_t number;
  std::unique_ptr<Core> core; // null: plain
  std::unique_ptr<Plain> plain;
  Events* told = nullptr; // the one of the two
  Rules rules;
  std::map<OpId, Run> runs;
  std::set<OpId> over;
  std::map<OpId, std::uint64_t> calls; // in hand, by their turn
  double cores, speed, slowed = 1;
  bool up = true, listed = true, stalled = false, cold = false;
  Nanos born = 0;
  Nanos at = 0;           // the machine has worked up to here
  std::uint64_t turn = 0; // of its timer
  std::uint64_t life = 0;
  Nanos armed = -1;
  double reading = 0; // ns of core time to be read
  double busy = 0;
  Nanos busy_at = 0;
  std::vector<std::function<void()>> todo; // what follows from orders, once the event has returned

  Node(Fleet& f, std::size_t n, double c, double s, Rules::Figures figures)
      : fleet(f), number(n), rules(std::move(figures)), cores(c), speed(s) {}

  std::size_t on_cores() const {
    std::size_t n = reading > 0;
    for (const auto& [id, run] : runs) n += run.on_core;
    return n;
  }
  double warmth(Nanos now) const;
  double rate(Nanos now, std::size_t n) const; // of each that is on the cores
  void work(Nanos now);
  void arm(Nanos now);
  void part_over(Nanos now, OpId id);
  template <class Tell>
  void tell(Nanos now, Tell what);
  void wake(Nanos now);
  void start_life(Nanos now, bool is_cold);
  void die(Nanos now);
  void settle_rules();

  void served(StreamRef line, OpId op, Content result) override;
  void refused(StreamRef line, OpId op, Reason why, Nanos retry_after, bool no_retry) override;
  void failed(StreamRef line, OpId op, Reason why) override;
  void penalize(StreamRef) override {}
  void start(OpId op, OpTypeId type, const Content& body, StartNo number) override;
  void resume(OpId op, const Content& reply) override;
  void call(OpId op, Nanos time_out, const Content& body) override;
  void cancel_call(OpId op) override;
  void health(bool good) override;
  void notify_callers(double) override {}
  void set_idle_timeout(Nanos) override {}
  void set_timing(Timing, Nanos) override {}
  void set_eviction_order(std::span<const Eviction>, int) override {}
  void stop_accepting() override {}
  void note(const char*, std::string_view) override {}
};

struct Try {
  load::RequestId request;
  std::size_t server = 0;
  std::size_t balancer = 0;
  int walked = 0; // servers tried after nacks
};

struct Balancer {
  bool resends = false, heeds = false, two_choices = false;
  std::size_t next = 0;
  std::vector<Nanos> away;  // until then it stays away from a server
  std::vector<int> in_hand; // by server
  std::vector<bool> listed; // as it knows
};

struct Fleet {
  const Day& day;
  Pcg chance;
  load::Demand demand;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Balancer> balancers;
  std::map<OpId, Try> tries;
  Row row;
  std::vector<std::uint64_t> in_time;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> cheap; // by second: asked, answered in time
  std::size_t cheapest = 0;
  double worth_asked = 0, worth_served = 0;
  std::uint64_t all_tries = 0, all_requests = 0;
  double dependency_factor = 1, dependency_away = 0;
  int dependency_in_hand = 0;
  double dependency_slots = 1;
  std::vector<std::uint64_t> asked;
  std::vector<double> asked_work;

  using Event = std::pair<std::pair<Nanos, std::uint64_t>, std::function<void()>>;
  struct Later {
    bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
  };
  std::priority_queue<Event, std::vector<Event>, Later> queue;
  std::uint64_t order = 0;
  Nanos now = 0;

  explicit Fleet(const Day& d);
  void at(Nanos when, std::function<void()> what) {
    queue.push({{std::max(when, now), order++}, std::move(what)});
  }
  Settings settings() const;
  std::string kind_of(OpId op) {
    const auto at = tries.find(op);
    const load::Request* request = at == tries.end() ? nullptr : demand.find(at->second.request);
    return (request ? day.kinds[request->kind].name : "given up") + ": ";
  }
  void run();
  void ask();
  void look();
  void send(load::RequestId id, std::size_t balancer, int walked, std::size_t not_this);
  void answer(OpId op, load::Demand::Answer answer, Nanos retry_after, bool not_elsewhere);
  void follow(load::RequestId id, std::size_t balancer, int walked, load::Demand::Answer answer,
              Nanos retry_after, bool not_elsewhere, std::size_t server);
  void finish(load::Request& request, load::Demand::Answer answer);
  void list(std::size_t server, bool in);
  void fault(const Fault& one, bool begins);
};

// ---- the machine

double Node::warmth(Nanos now) const {
  if (!cold) return 1;
  const double age = static_cast<double>(now - born) / fleet.day.warm_ns;
  return std::min(1.0, fleet.day.cold_from + (1 - fleet.day.cold_from) * age);
}
double Node::rate(Nanos now, std::size_t n) const {
  if (n == 0 || stalled) return 0;
  const double runs_a_core = static_cast<double>(n) / cores;
  const double crowd = 1 / (1 + crowd_loss * std::max(0.0, runs_a_core - crowd_from));
  return speed * slowed * warmth(now) * crowd * std::min(1.0, cores / static_cast<double>(n));
}

void Node::work(Nanos now) {
  const auto span = static_cast<double>(now - at);
  if (span <= 0) return;
  const std::size_t n = on_cores();
  const double each = rate(at, n) * span;
  busy += (std::min(1.0, static_cast<double>(n) / cores) - busy) * (1 - std::exp(-span / 5e8));
  at = now;
  reading = std::max(0.0, reading - each);
  for (auto& [id, run] : runs)
    if (run.on_core) run.left -= each;
}

void Node::arm(Nanos now) {
  const double each = rate(now, on_cores());
  if (each <= 0) return;
  double least = reading > 0 ? reading : 1e18;
  for (const auto& [id, run] : runs)
    if (run.on_core) least = std::min(least, run.left);
  if (least >= 1e18) return;
  const std::uint64_t mine = ++turn;
  // Looked at again in a while, as warmth grows meanwhile.
  const Nanos after = std::min<Nanos>(static_cast<Nanos>(std::max(0.0, least) / each) + 1, 100 * ms);
  fleet.at(now + after, [this, mine, l = life] {
    if (mine != turn || l != life) return;
    const Nanos then = fleet.now;
    work(then);
    std::vector<OpId> through;
    for (const auto& [id, run] : runs)
      if (run.on_core && run.left <= 0) through.push_back(id);
    for (const OpId id : through) part_over(then, id);
    arm(then);
  });
}

void Node::part_over(Nanos now, OpId id) {
  Run& run = runs.at(id);
  run.on_core = false;
  if (run.calls > 0) {
    --run.calls;
    fleet.at(now + link_hop, [this, id, l = life] {
      if (l != life) return;
      tell(fleet.now, [&](Nanos t) { told->call_wanted(t, id, Content("call")); });
    });
    return;
  }
  runs.erase(id);
  over.insert(id);
  rules.run_over(id, Outcome::done);
  fleet.at(now + link_hop, [this, id, l = life] {
    if (l != life) return;
    tell(fleet.now, [&](Nanos t) { told->run_finished(t, id, Outcome::done, 0, Content("result")); });
  });
}

// Hands something to the core, and then lets happen what it ordered.
template <class Tell>
void Node::tell(Nanos now, Tell what) {
  const Nanos unix_now = unix_begin + now;
  work(now);
  what(unix_now);
  if (!core || core->anything_due(unix_now)) told->due(unix_now);
  while (core && core->has_repeats_to_answer()) core->answer_repeats(unix_now);
  while (!todo.empty()) {
    const auto now_due = std::move(todo);
    todo.clear();
    for (const auto& one : now_due) one();
  }
  arm(now);
  wake(now);
}

void Node::wake(Nanos now) {
  const Nanos next = core ? core->next_wake() : plain->next_wake();
  if (next < 0 || next == armed) return;
  armed = next;
  fleet.at(std::max(now, next - unix_begin), [this, l = life] {
    if (l != life) return;
    armed = -1;
    tell(fleet.now, [&](Nanos t) {
      const double gauges[] = {busy, static_cast<double>(on_cores())};
      told->gauges(t, gauges);
    });
  });
}

void Node::start_life(Nanos now, bool is_cold) {
  ++life;
  up = true;
  cold = is_cold;
  born = at = now;
  runs.clear(), calls.clear(), over.clear();
  reading = busy = 0;
  armed = -1;
  Settings given = fleet.settings();
  given["seed_low"] = static_cast<double>(fleet.day.seed * 1000 + number * 10 + life);
  given["cold"] = is_cold ? 1.0 : 0.0;
  if (fleet.day.queue == 0) {
    core.reset(new Core(unix_begin + now, given, *this));
    told = core.get();
  } else {
    Plain::Figures figures{.slots = static_cast<std::size_t>(2 * fleet.day.cores),
                           .bound = fleet.day.queue,
                           .parts = fleet.day.fixed,
                           .keyed = {}};
    for (const load::Kind& kind : fleet.day.kinds) figures.keyed.push_back(kind.keyed);
    plain = std::make_unique<Plain>(figures, *this);
    told = plain.get();
  }
  tell(now, [&](Nanos t) {
    told->machine_up(t, is_cold ? 0 : 3600 * second);
    told->link_up(t, StartNo{0});
  });
}

void Node::settle_rules() {
  const Rules::Broken& b = rules.broken();
  Rules::Broken& all = fleet.row.broken;
  all.lost += b.lost;
  all.late += b.late;
  all.duplicate_answers += b.duplicate_answers;
  all.duplicate_runs += b.duplicate_runs;
  all.nacked_after_run += b.nacked_after_run;
  all.started_late += b.started_late;
  for (const std::string& one : rules.examples())
    if (fleet.row.examples.size() < 5)
      fleet.row.examples.push_back("server " + std::to_string(number) + ": " + one);
  rules = Rules(rule_figures(fleet.settings()));
}

// All that is open here is lost with it: no rule is broken by that, and nobody hears of it.
void Node::die(Nanos) {
  ++life;
  up = false;
  runs.clear();
  calls.clear();
  settle_rules(); // what it owed went with it, and so did what it knew of effects (docs/ROADMAP.md, keyed
                  // results)
  for (auto& [id, one] : fleet.tries)
    if (one.server == number)
      fleet.at(fleet.now + no_connection,
               [this, id = id] { fleet.answer(id, load::Demand::Answer::none, 0, false); });
}

// ---- what the core orders

void Node::served(StreamRef, OpId op, Content) {
  rules.answered(unix_begin + fleet.now, op, Rules::Final::served);
  fleet.at(fleet.now + hop, [this, op] { fleet.answer(op, load::Demand::Answer::served, 0, false); });
}
void Node::refused(StreamRef, OpId op, Reason why, Nanos retry_after, bool no_retry) {
  rules.answered(unix_begin + fleet.now, op, Rules::Final::nacked);
  ++fleet.row.reasons[fleet.kind_of(op) + std::string(to_text(why))];
  fleet.at(fleet.now + hop, [this, op, retry_after, no_retry] {
    fleet.answer(op, load::Demand::Answer::refused, retry_after, no_retry);
  });
}
void Node::failed(StreamRef, OpId op, Reason why) {
  rules.answered(unix_begin + fleet.now, op, Rules::Final::failed);
  ++fleet.row.reasons[fleet.kind_of(op) + "failed, " + std::string(to_text(why))];
  fleet.at(fleet.now + hop, [this, op] { fleet.answer(op, load::Demand::Answer::failed, 0, false); });
}
void Node::start(OpId op, OpTypeId, const Content& body, StartNo) {
  rules.started(unix_begin + fleet.now, op);
  todo.push_back([this, op, text = body.bytes] {
    if (runs.contains(op) || over.contains(op)) return;
    Run& run = runs[op];
    double work_us = 0;
    std::sscanf(text.c_str(), "%lf %d", &work_us, &run.calls);
    run.part = run.left = work_us * 1000 / (run.calls + 1);
    run.on_core = true;
  });
}
void Node::resume(OpId op, const Content&) {
  todo.push_back([this, op] {
    const auto found = runs.find(op);
    if (found == runs.end() || found->second.on_core) return;
    found->second.left = found->second.part;
    found->second.on_core = true;
  });
}
void Node::call(OpId op, Nanos time_out, const Content&) {
  const std::uint64_t mine = ++calls[op];
  const auto ends = [this, op, mine, l = life](Outcome outcome) {
    if (l != life || calls[op] != mine) return;
    ++calls[op];
    tell(fleet.now, [&](Nanos t) {
      told->call_finished(t, op, outcome, outcome == Outcome::done ? Content("reply") : Content());
    });
  };
  fleet.at(fleet.now + time_out, [ends] { ends(Outcome::timed_out); });
  if (fleet.chance.unit() < fleet.dependency_away) {
    fleet.at(fleet.now + 2 * hop, [ends] { ends(Outcome::shed); });
    return;
  }
  ++fleet.dependency_in_hand;
  const double crowd = std::max(1.0, fleet.dependency_in_hand / fleet.dependency_slots);
  const auto takes = static_cast<Nanos>(static_cast<double>(call_usual) * (0.7 + 0.6 * fleet.chance.unit()) *
                                        fleet.dependency_factor * crowd);
  fleet.at(fleet.now + takes, [this, ends] {
    --fleet.dependency_in_hand;
    ends(Outcome::done);
  });
}
void Node::cancel_call(OpId op) { ++calls[op]; }
void Node::health(bool good) {
  if (!good) todo.push_back([this] { fleet.list(number, false); });
}

// ---- balancers and clients

Fleet::Fleet(const Day& d)
    : day(d), chance(d.seed * 77 + 5), demand(d.seed,
                                              {.rate = 1,
                                               .callers = static_cast<std::uint32_t>(d.balancers),
                                               .tenants = d.tenants,
                                               .client_tries = d.client_tries,
                                               .heeds = true},
                                              d.kinds),
      in_time(d.kinds.size()), asked(d.kinds.size()), asked_work(d.kinds.size()) {
  double work = 0, parts = 0, calls = 0;
  for (const load::Kind& kind : d.kinds) {
    work += kind.part * kind.work_us;
    calls += kind.part * kind.calls;
    parts += kind.part;
  }
  const double a_second = capacity_of(d) * 1e6 / (work / parts);
  demand.rate(d.demand * a_second);
  dependency_slots =
      std::max(2.0, d.dependency_slots * a_second * (calls / parts) * static_cast<double>(call_usual) / 1e9);
  for (std::size_t k = 1; k < d.kinds.size(); ++k)
    if (d.kinds[k].work_us < d.kinds[cheapest].work_us) cheapest = k;
  balancers.resize(d.balancers);
  for (std::size_t b = 0; b < balancers.size(); ++b) {
    Balancer& one = balancers[b];
    one.resends = chance.unit() < d.resend;
    one.heeds = chance.unit() < d.heeds;
    one.two_choices = chance.unit() < 0.5;
    one.next = b;
    one.away.resize(d.servers);
    one.in_hand.resize(d.servers);
    one.listed.resize(d.servers, true);
  }
  Rules::Figures figures = rule_figures(settings());
  for (std::size_t n = 0; n < d.servers; ++n)
    nodes.push_back(std::make_unique<Node>(*this, n, d.cores, d.speeds[n % d.speeds.size()], figures));
}

Settings Fleet::settings() const {
  Settings given{{"cores", std::floor(day.cores)},
                 {"fall_multiple", 8.0},
                 {"memory_kb", 40'000.0},
                 {"run_factor", 4.0},
                 {"key_kb", 2.0},
                 {"drain_grace_ns", 2e9},
                 {"fleet_size", static_cast<double>(day.servers)},
                 {"callers", static_cast<double>(day.balancers)},
                 {"call_share", dependency_slots * 3 / static_cast<double>(day.servers)},
                 {"calls_over_ns", 5e9},
                 {"call_linger_ns", 2e8},
                 {"tells_patience", 1.0},
                 {"memory_mb", 64.0},
                 {"stop_ns", 5e9},
                 {"seed_high", 7.0},
                 {"idle_ns", 30e9},
                 {"stay_away_heeded", 1.0},
                 {"max_stay_away_ns", 1e9},
                 {"over_share_worth", 0.05},
                 {"warm_after_ns", day.warm_ns},
                 {"cold_from", day.cold_from}};
  given["say"] = "none";
  given["name"] = "emulated";
  given["gauge.0"] = "cores_busy";
  given["gauge.1"] = "on_cores";
  for (std::size_t k = 0; k < day.kinds.size(); ++k) {
    const load::Kind& kind = day.kinds[k];
    const std::string at = "op_type." + std::to_string(k) + ".";
    given[at + "name"] = kind.name;
    given[at + "repeats"] = kind.keyed ? "keyed" : "retryable";
    given[at + "op_timeout_ns"] = static_cast<double>(kind.limit);
    given[at + "target_latency_ns"] = static_cast<double>(kind.target);
    given[at + "importance"] = kind.importance;
    given[at + "may_call"] = kind.calls > 0 ? 1.0 : 0.0;
    if (kind.keyed) given[at + "key_window_ns"] = 18'276e6;
  }
  for (std::size_t t = 0; t < day.quotas.size(); ++t) {
    given["tenant." + std::to_string(t) + ".name"] = "tenant-" + std::to_string(t);
    given["tenant." + std::to_string(t) + ".quota"] = day.quotas[t] * 1000;
  }
  for (const auto& [name, value] : day.more) given[name] = value;
  return given;
}

void Fleet::list(std::size_t server, bool in) {
  Nanos lag = day.list_lag;
  for (const Fault& one : day.faults)
    if (one.what == "late-list" && now >= one.at && now < one.until) lag += static_cast<Nanos>(one.figure);
  at(now + lag, [this, server, in] {
    for (Balancer& one : balancers) one.listed[server] = in;
  });
}

// What the first server believes of its capacity, now and then.
void Fleet::look() {
  if (now >= day.length) return;
  const Node& first = *nodes.front();
  if (first.core && first.core->pools())
    row.believed.push_back(first.up ? first.core->pools()->capacity() : 0);
  at(now + second / 2, [this] { look(); });
}

void Fleet::ask() {
  at(demand.next_at(), [this] {
    if (now >= day.length) return;
    load::Request& request = demand.arrive();
    const load::Kind& kind = day.kinds[request.kind];
    ++asked[request.kind];
    ++all_requests;
    asked_work[request.kind] += request.work_us;
    worth_asked += kind.importance;
    if (request.kind == cheapest) {
      cheap.resize(std::max<std::size_t>(cheap.size(), static_cast<std::size_t>(now / second) + 1));
      ++cheap[static_cast<std::size_t>(now / second)].first;
    }
    send(request.id, request.caller, 0, ~std::size_t{0});
    ask();
  });
}

void Fleet::send(load::RequestId id, std::size_t b, int walked, std::size_t not_this) {
  load::Request* request = demand.find(id);
  if (!request || request->over) return;
  const load::Kind& kind = day.kinds[request->kind];
  Balancer& balancer = balancers[b];
  std::vector<std::size_t> open;
  for (std::size_t n = 0; n < nodes.size(); ++n)
    if (balancer.listed[n] && n != not_this && (!balancer.heeds || balancer.away[n] <= now))
      open.push_back(n);
  if (open.empty()) return follow(id, b, 99, load::Demand::Answer::refused, 200 * ms, false, 0);
  std::size_t server = open[balancer.next++ % open.size()];
  if (balancer.two_choices) {
    const std::size_t other = open[chance.next() % open.size()];
    server = open[chance.next() % open.size()];
    if (balancer.in_hand[other] < balancer.in_hand[server]) server = other;
  }
  const OpId op{demand.next_txn()};
  const Nanos left = std::max<Nanos>(ms, request->asked + kind.limit - now);
  tries.emplace(op, Try{id, server, b, walked});
  ++balancer.in_hand[server];
  ++all_tries;
  const Nanos sent = now;
  at(now + hop, [this, op, server, id, sent, left, life = nodes[server]->life] {
    Node& node = *nodes[server];
    load::Request* asked_for = demand.find(id);
    if (!node.up || !asked_for || life != node.life)
      return at(now + no_connection, [this, op] { answer(op, load::Demand::Answer::none, 0, false); });
    const load::Kind& k = day.kinds[asked_for->kind];
    const std::string mark = asked_for->mark;
    const std::string body = std::to_string(asked_for->work_us) + " " + std::to_string(k.calls);
    double mean = 0, parts = 0;
    for (const load::Kind& one : day.kinds) mean += one.part * one.work_us, parts += one.part;
    node.work(now);
    node.reading += day.read_part * mean / parts * 1000;
    const StreamRef line{ConnectionId{1}, StreamId{static_cast<std::uint32_t>(op.raw)}};
    const OpTypeId type{static_cast<std::uint32_t>(asked_for->kind)};
    node.rules.came(unix_begin + now, op, type, unix_begin + sent, unix_begin + sent + left, mark);
    node.rules.assign_stream(op, line);
    const Digest digest{asked_for->id.raw * 0x9e3779b97f4a7c15ULL,
                        static_cast<std::uint64_t>(asked_for->kind) + 1};
    node.tell(now, [&](Nanos t) {
      node.told->op_received(t, line, op, type, TenantId{asked_for->tenant}, CallerId{asked_for->caller},
                             unix_begin + sent, left, asked_for->kb, asked_for->rank, mark, {}, Content(body),
                             digest);
    });
  });
  at(now + left + answer_room, [this, op] { answer(op, load::Demand::Answer::none, 0, false); });
}

void Fleet::answer(OpId op, load::Demand::Answer what, Nanos retry_after, bool not_elsewhere) {
  const auto found = tries.find(op);
  if (found == tries.end()) return;
  const Try one = found->second;
  tries.erase(found);
  Balancer& balancer = balancers[one.balancer];
  --balancer.in_hand[one.server];
  if (retry_after > 0 && balancer.heeds) balancer.away[one.server] = now + retry_after;
  follow(one.request, one.balancer, one.walked, what, retry_after, not_elsewhere, one.server);
}

void Fleet::follow(load::RequestId id, std::size_t b, int walked, load::Demand::Answer what,
                   Nanos retry_after, bool not_elsewhere, std::size_t server) {
  load::Request* request = demand.find(id);
  if (!request || request->over) return;
  const load::Kind& kind = day.kinds[request->kind];
  const bool nothing_ran = what == load::Demand::Answer::refused;
  const Nanos left = request->asked + kind.limit - now;
  if (nothing_ran && walked < 90 && left > 20 * ms && !(not_elsewhere && balancers[b].heeds)) {
    if (walked < static_cast<int>(day.walks)) return send(id, b, walked + 1, server);
    if (balancers[b].resends)
      return at(now + 5 * ms, [this, id, b, walked, server] { send(id, b, walked, server); });
  }
  const load::Demand::Next next = demand.after(*request, what, now, retry_after, not_elsewhere);
  if (!next.again) return finish(*request, what);
  at(now + next.after, [this, id, b] { send(id, b, 0, ~std::size_t{0}); });
}

void Fleet::finish(load::Request& request, load::Demand::Answer what) {
  const load::Kind& kind = day.kinds[request.kind];
  if (what == load::Demand::Answer::served && now - request.asked <= kind.target) {
    ++in_time[request.kind];
    worth_served += kind.importance;
    if (request.kind == cheapest) ++cheap[static_cast<std::size_t>(request.asked / second)].second;
  }
  request.over = true;
  demand.forget(request.id);
}

// ---- faults

void Fleet::fault(const Fault& one, bool begins) {
  const auto count = static_cast<std::size_t>(std::ceil(one.part * static_cast<double>(nodes.size())));
  for (std::size_t n = 0; n < std::min(count, nodes.size()); ++n) {
    Node& node = *nodes[n];
    node.work(now);
    if (one.what == "crash") {
      if (begins == !node.up) continue; // of two crashes that overlap, the first to end brings it back
      begins ? node.die(now) : node.start_life(now, true);
      list(n, !begins);
    } else if (one.what == "stall") {
      node.stalled = begins;
    } else if (one.what == "slow") {
      node.slowed = begins ? one.figure : 1;
    } else if (one.what == "drain" && begins && node.up) {
      node.tell(now, [&](Nanos t) { node.rules.drain_started(t), node.told->drain(t, t); });
    }
    if (node.up) node.arm(now);
  }
  if (one.what == "dependency-slow") dependency_factor = begins ? one.figure : 1;
  if (one.what == "dependency-away") dependency_away = begins ? one.figure : 0;
  if (one.what == "pools" && begins)
    for (auto& node : nodes)
      if (node->up)
        node->tell(now, [&](Nanos t) { node->told->set_pools(t, one.figure > 0 ? day.more : Settings{}); });
}

void Fleet::run() {
  for (auto& node : nodes) node->start_life(0, false);
  for (const Fault& one : day.faults) {
    at(one.at, [this, &one] { fault(one, true); });
    if (one.until > one.at) at(one.until, [this, &one] { fault(one, false); });
  }
  ask();
  look();
  while (!queue.empty() && queue.top().first.first <= day.length + settle) {
    const auto what = std::move(const_cast<Event&>(queue.top()).second);
    now = queue.top().first.first;
    queue.pop();
    ++row.events;
    what();
  }
  for (auto& node : nodes) {
    node->rules.check_deadlines(unix_begin + now);
    node->settle_rules();
  }
  row.service = worth_asked > 0 ? worth_served / worth_asked : 0;
  row.asked = asked;
  for (std::size_t k = 0; k < asked.size(); ++k)
    row.in_time.push_back(asked[k] > 0 ? static_cast<double>(in_time[k]) / static_cast<double>(asked[k]) : 1);
  row.tries = static_cast<double>(all_tries) / static_cast<double>(std::max<std::uint64_t>(1, all_requests));
  const auto window = static_cast<std::size_t>(reserve_window / second);
  for (std::size_t s = 0; s + window <= cheap.size(); ++s) {
    std::uint64_t came = 0, good = 0;
    for (std::size_t i = s; i < s + window; ++i) came += cheap[i].first, good += cheap[i].second;
    if (came >= 5)
      row.least_reserve = std::min(row.least_reserve, static_cast<double>(good) / static_cast<double>(came));
  }
  // The bound: all that was asked, dearest importance for its work first, into what the machines could do,
  // less one reading of each request.
  double mean = 0, parts = 0;
  for (const load::Kind& kind : day.kinds) mean += kind.part * kind.work_us, parts += kind.part;
  double room = capacity_of(day) * static_cast<double>(day.length) / 1e3;
  for (const Fault& one : day.faults) {
    const double lost = one.what == "crash" || one.what == "stall" ? 1
                        : one.what == "slow"                       ? 1 - one.figure
                                                                   : 0;
    room *= 1 - lost * one.part * static_cast<double>(one.until - one.at) / static_cast<double>(day.length);
  }
  room -= day.read_part * mean / parts * static_cast<double>(all_requests);
  std::vector<std::size_t> best(day.kinds.size());
  for (std::size_t k = 0; k < best.size(); ++k) best[k] = k;
  std::sort(best.begin(), best.end(), [&](std::size_t a, std::size_t b) {
    return day.kinds[a].importance / day.kinds[a].work_us > day.kinds[b].importance / day.kinds[b].work_us;
  });
  double worth = 0;
  for (const std::size_t k : best) {
    if (asked[k] == 0) continue;
    const double part = std::min(1.0, room / std::max(1.0, asked_work[k]));
    worth += part * day.kinds[k].importance * static_cast<double>(asked[k]);
    room -= part * asked_work[k];
  }
  row.bound = worth_asked > 0 ? worth / worth_asked : 1;
}

} // namespace

double capacity_of(const Day& day) {
  double all = 0;
  for (std::size_t n = 0; n < day.servers; ++n) all += day.cores * day.speeds[n % day.speeds.size()];
  return all;
}

Row play(const Day& day) {
  Fleet fleet(day);
  fleet.run();
  return fleet.row;
}

} // namespace cometshift::emulator
