#include "control_fleet.hpp"

#include <algorithm>
#include <functional>

namespace cometshift::scale {

namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr Nanos in_force_within = 4 * second; // as the operators ask
constexpr double stray_part = 0.1;
constexpr double kept_part = 0.02;                    // of the times of arrivals
constexpr std::uint64_t epoch_ms = 1'800'000'000'000; // of the simulated clock's 0: some day
constexpr unsigned puts_at_once = 400;                // while all is loaded

std::uint64_t hash_of(const Entry& entry) {
  return std::hash<std::string>{}(entry.value) * 2 + (entry.deleted ? 1 : 0);
}

} // namespace

// ---- one control member

class ControlFleet::Control final : public Node, ControlMemberActions {
 public:
  Control(ControlFleet& fleet, Nanos now, MemberId self, std::uint64_t life)
      : fleet_(fleet), self_{"scale",
                             self,
                             {},
                             Incarnation{life << 20 | self.raw},
                             "10.0.0." + std::to_string(self.raw) + ":6100"},
        member_(fleet.moment(now), self_, fleet.controls_, fleet.voters_, default_control_settings(true),
                fleet.plan_.seed * 7919 + life * 131 + self.raw, *this) {}

  ControlMember& member() { return member_; }
  const ControlMember& member() const { return member_; }

  const peer_codec::Sender& sender() const override { return self_; }
  bool hello(Nanos now, const peer_codec::Sender& from) override {
    return member_.accept_unlisted(fleet_.moment(now), from);
  }
  bool message(Nanos now, const peer_codec::Sender& from, std::string_view payload) override {
    return member_.message(fleet_.moment(now), from, payload);
  }
  void connected(Nanos now, MemberId to) override { member_.connected(fleet_.moment(now), to); }
  void written(Nanos now, MemberId to) override { member_.written(fleet_.moment(now), to); }
  void broken(Nanos now, MemberId to) override { member_.broken(fleet_.moment(now), to); }
  void turn(Nanos now) override { member_.turn(fleet_.moment(now)); }
  Nanos next_wake() const override { return member_.next_wake(); }

 private:
  void dial(MemberId to) override { fleet_.network_->dial(self_.from, to); }
  void disconnect(MemberId to) override { fleet_.network_->disconnect(self_.from, to); }
  void send(MemberId to, std::string frame) override {
    fleet_.network_->send(self_.from, to, std::move(frame));
  }
  void listed(MemberId, std::string_view) override {}
  void unlisted(MemberId) override {}
  std::string rejection_reason(const Entry&) override { return {}; }
  void ended(PutNumber, PutOutcome end, Version, std::string_view) override {
    if (end == PutOutcome::unknown) ++fleet_.phase_.unknown;
    if (end == PutOutcome::refused) ++fleet_.phase_.refused;
    ++fleet_.loaded_;
  }
  void committed(const Record& record) override { fleet_.committed(record); }
  void began(Token, bool) override {}
  void stepped_down(Token) override {}
  void peer_state_changed(MemberId, PeerState, PeerState) override {}
  void presence(const MemberRecord&, Presence) override {}
  void duplicate_member(MemberId number) override {
    fleet_.wrong("two members under " + std::to_string(number.raw));
  }

  ControlFleet& fleet_;
  peer_codec::Sender self_;
  ControlMember member_;
};

// ---- one server

class ControlFleet::Server final : public Node, ControlFollowerActions {
 public:
  Server(ControlFleet& fleet, Nanos now, MemberId self, std::uint64_t life, unsigned which, unsigned zone)
      : number(which), fleet_(fleet), self_{"scale",
                                            self,
                                            {},
                                            Incarnation{life << 20 | self.raw},
                                            "10.1.0.0:" + std::to_string(self.raw)},
        follower_(now, self_, {std::to_string(region_of(zone)), std::to_string(zone)}, fleet.listed_,
                  fleet.scopes_of(which), figures_of(fleet, now),
                  fleet.plan_.seed * 104729 + life * 131 + self.raw, *this) {}

  const Follower& follower() const { return follower_.follower(); }
  const unsigned number;
  Version version{};

  const peer_codec::Sender& sender() const override { return self_; }
  bool hello(Nanos, const peer_codec::Sender& from) override {
    return from.from.raw <= fleet_.plan_.controls;
  }
  bool message(Nanos now, const peer_codec::Sender& from, std::string_view payload) override {
    return follower_.message(now, from, payload);
  }
  void connected(Nanos now, MemberId to) override { follower_.connected(now, to); }
  void written(Nanos now, MemberId to) override { follower_.written(now, to); }
  void broken(Nanos now, MemberId to) override { follower_.broken(now, to); }
  void turn(Nanos now) override { follower_.turn(now); }
  Nanos next_wake() const override { return follower_.next_wake(); }

 private:
  static Settings figures_of(const ControlFleet& fleet, Nanos now) {
    Settings figures = default_control_settings(false);
    figures["control.first_number"] = static_cast<double>(fleet.moment(now).unix_ms);
    return figures;
  }
  void dial(MemberId to) override { fleet_.network_->dial(self_.from, to); }
  void disconnect(MemberId to) override { fleet_.network_->disconnect(self_.from, to); }
  void send(MemberId to, std::string frame) override {
    fleet_.network_->send(self_.from, to, std::move(frame));
  }
  std::string check(const Entry&) override { return {}; }
  void refused(const Entry&, std::string_view) override {}
  void applied(Version at, const std::vector<const Entry*>& changed) override {
    fleet_.taken(*this, at, changed);
  }
  void left(MemberId, LeaveReason) override {}
  void duplicate_member(MemberId of) override { fleet_.wrong("two members under " + std::to_string(of.raw)); }

  ControlFleet& fleet_;
  peer_codec::Sender self_;
  ControlFollower follower_;
};

// ---- the fleet

ControlFleet::ControlFleet(const ControlPlan& plan)
    : plan_(plan), chance_(plan.seed), reachable_since_(plan.servers, -1) {
  std::vector<unsigned> zone_of;
  for (unsigned c = 0; c < plan.controls; ++c) {
    controls_.push_back(control(c));
    const unsigned zone = home_of(c);
    zone_of.push_back(zone);
    listed_.push_back({control(c), std::to_string(region_of(zone)), std::to_string(zone)});
  }
  // Voters: one a region as far as it goes; the first control member of each.
  for (unsigned v = 0; v < plan.voters; ++v) voters_.insert(control(v % plan.controls));
  for (unsigned s = 0; s < plan.servers; ++s) zone_of.push_back(s % zones);
  network_ = std::make_unique<Network>(
      zone_of, [this](Nanos now, MemberId member, std::uint64_t life) { return make(now, member, life); },
      plan.seed);
  for (const MemberId one : controls_) {
    network_->measure(one);
    network_->start(one);
  }
  for (unsigned n = 0; n < std::min(plan.measured, plan.servers); ++n)
    network_->measure(server(n * (plan.servers / std::min(plan.measured, plan.servers))));
}
ControlFleet::~ControlFleet() = default;

// The first five stand in five regions, the next five again, in another zone where the region has one.
unsigned ControlFleet::home_of(unsigned control) const {
  const unsigned region = control % regions, turn = control / regions;
  std::vector<unsigned> of;
  for (unsigned zone = 0; zone < zones; ++zone)
    if (region_of(zone) == region) of.push_back(zone);
  return of[turn % of.size()];
}
ClockReadings ControlFleet::moment(Nanos now) const {
  return {now, now, epoch_ms + static_cast<std::uint64_t>(now / ms)};
}
std::unique_ptr<Node> ControlFleet::make(Nanos now, MemberId member, std::uint64_t life) {
  if (member.raw <= plan_.controls) return std::make_unique<Control>(*this, now, member, life);
  const unsigned number = member.raw - 1 - plan_.controls;
  return std::make_unique<Server>(*this, now, member, life, number, network_->zone(member));
}
// All follow "fleet"; the services of a server lie so that each service is carried in several zones.
std::vector<std::string> ControlFleet::scopes_of(unsigned server) const {
  std::vector<std::string> scopes{"fleet"};
  for (unsigned n = 0; n < plan_.services_of_server; ++n) {
    const unsigned service = (server * plan_.services_of_server + n) % plan_.services;
    scopes.push_back("service/" + std::to_string(service));
  }
  return scopes;
}

// ---- what is done to it

void ControlFleet::put(std::string key) {
  const bool stray = cut_ >= 0 && chance_.unit() < stray_part;
  for (unsigned tries = 0; tries < 100; ++tries) {
    const MemberId at = control(static_cast<unsigned>(chance_.unit() * plan_.controls));
    if (!network_->up(at)) continue;
    if (cut_ >= 0 && (region_of(network_->zone(at)) == static_cast<unsigned>(cut_)) != stray) continue;
    auto& one = static_cast<Control&>(*network_->node(at));
    if (!one.member().replica().ready()) continue;
    const bool tenants = key.ends_with("/tenants");
    std::string value = std::to_string(++values_) + " ";
    value.resize(tenants ? plan_.tenants_value : plan_.value, 'x');
    if (!stray) put_at_.emplace(value.substr(0, value.find(' ')), network_->now());
    ++phase_.changes;
    one.member().put(moment(network_->now()), std::move(key), std::move(value), false, {});
    network_->at(network_->now(), [this, at] { // its turn, as a program's loop would have it
      if (network_->up(at)) network_->node(at)->turn(network_->now());
    });
    return;
  }
}

bool ControlFleet::load(Nanos until, Nanos wall_until) {
  std::vector<std::string> keys;
  for (unsigned n = 0; n < 100; ++n) keys.push_back("fleet/limit-" + std::to_string(n));
  for (unsigned s = 0; s < plan_.services; ++s) {
    const std::string scope = "service/" + std::to_string(s);
    for (unsigned r = 0; r < plan_.routes; ++r) keys.push_back(scope + "/route-" + std::to_string(r));
    if (plan_.tenants_value > 0) keys.push_back(scope + "/tenants");
  }
  while (!in_office() && network_->now() < until)
    if (!network_->run(network_->now() + second / 10, wall_until)) return false;
  std::size_t next = 0;
  const std::uint64_t before = loaded_;
  while (network_->now() < until && (next < keys.size() || loaded_ - before < keys.size())) {
    while (next < keys.size() && next - (loaded_ - before) < puts_at_once) put(keys[next++]);
    if (!network_->run(network_->now() + 50 * ms, wall_until)) return false;
  }
  return next == keys.size() && loaded_ - before >= keys.size() && phase_.unknown + phase_.refused == 0;
}

void ControlFleet::start_servers(unsigned from, unsigned to, Nanos within) {
  for (unsigned n = from; n < to; ++n)
    network_->at(network_->now() + static_cast<Nanos>(chance_.unit() * static_cast<double>(within)),
                 [this, n] {
                   network_->start(server(n));
                   reachable_since_[n] = network_->now();
                 });
}
void ControlFleet::stop_server(unsigned n, Network::Stop how) {
  network_->stop(server(n), how);
  reachable_since_[n] = -1;
}
void ControlFleet::cut_region(unsigned region, bool is_cut) {
  network_->cut_region(region, is_cut);
  cut_ = is_cut ? static_cast<int>(region) : -1;
  for (unsigned n = 0; n < plan_.servers; ++n)
    if (region_of(network_->zone(server(n))) == region && network_->up(server(n)))
      reachable_since_[n] = is_cut ? -1 : network_->now();
}

// ---- the referee

void ControlFleet::wrong(std::string what) {
  if (phase_.wrong++ == 0) phase_.first_wrong = std::move(what);
}
void ControlFleet::committed(const Record& record) {
  const Entry& entry = record.entry;
  const std::uint64_t hash = hash_of(entry);
  const auto [at, fresh] = writes_.emplace(entry.version, Write{entry.key, -1, hash});
  if (!fresh) {
    if (at->second.key != entry.key || at->second.hash != hash) wrong("two writes under one version");
    return;
  }
  if (const auto put = put_at_.find(entry.value.substr(0, entry.value.find(' '))); put != put_at_.end()) {
    at->second.put_at = put->second;
    phase_.slowest_commit = std::max(phase_.slowest_commit, network_->now() - put->second);
    put_at_.erase(put);
  }
  by_key_[entry.key][entry.version] = hash;
  newest_ = std::max(newest_, entry.version);
}
void ControlFleet::taken(Server& server, Version version, const std::vector<const Entry*>& changed) {
  const Nanos now = network_->now();
  if (version < server.version) wrong("an older state after a newer one");
  for (const Entry* entry : changed) {
    const auto key = by_key_.find(entry->key);
    if (key == by_key_.end()) {
      wrong("a key that nobody wrote");
      continue;
    }
    auto at = key->second.upper_bound(version);
    if (at == key->second.begin() || (--at)->first != entry->version || at->second != hash_of(*entry))
      wrong("not the newest of its key at that version");
  }
  // What came into force with it.
  const Nanos since = reachable_since_[server.number];
  const bool first = server.version == Version{};
  const std::vector<std::string> scopes = first ? std::vector<std::string>{} : scopes_of(server.number);
  for (auto at = first ? writes_.end() : writes_.upper_bound(server.version);
       at != writes_.end() && at->first <= version; ++at) {
    if (at->second.put_at < 0) continue;
    if (std::find(scopes.begin(), scopes.end(), scope_of(at->second.key)) == scopes.end()) continue;
    if (since < 0 || since > at->second.put_at) {
      if (since >= 0) phase_.slowest_return = std::max(phase_.slowest_return, now - since);
      continue;
    }
    const Nanos took = now - at->second.put_at;
    ++phase_.arrivals;
    if (took > in_force_within) ++phase_.late;
    phase_.slowest = std::max(phase_.slowest, took);
    if (chance_.unit() < kept_part || phase_.times.size() < 1000)
      phase_.times.push_back(static_cast<float>(static_cast<double>(took) / second));
  }
  if (first && since >= 0) phase_.slowest_return = std::max(phase_.slowest_return, now - since);
  server.version = version;
}

void ControlFleet::begin_phase() { phase_ = {}; }
bool ControlFleet::in_office() const {
  return std::any_of(controls_.begin(), controls_.end(), [this](MemberId one) { return writes(one); });
}
unsigned ControlFleet::writer() const {
  for (unsigned c = 0; c < plan_.controls; ++c)
    if (writes(control(c))) return c;
  return 0;
}
bool ControlFleet::writes(MemberId one) const {
  return network_->up(one) &&
         static_cast<Control*>(network_->node(one))->member().replica().is_writer(network_->now());
}
unsigned ControlFleet::behind() const {
  unsigned count = 0;
  for (unsigned n = 0; n < plan_.servers; ++n)
    if (network_->up(server(n)) &&
        static_cast<Server*>(network_->node(server(n)))->follower().version() < newest_)
      ++count;
  return count;
}
std::string ControlFleet::first_behind() const {
  for (unsigned n = 0; n < plan_.servers; ++n) {
    if (!network_->up(server(n))) continue;
    const Follower& follower = static_cast<Server*>(network_->node(server(n)))->follower();
    if (follower.version() >= newest_) continue;
    std::string says = "server " + std::to_string(n) + " at " + std::to_string(follower.version().number) +
                       " of " + std::to_string(newest_.number);
    for (const Follower::Attachment& line : follower.attachments()) {
      says += ", line to " + std::to_string(line.member.raw) + (line.primary ? " first" : " second") +
              (line.responded ? " heard" : " not heard") + " told " + std::to_string(line.committed.number);
      if (!network_->up(line.member)) continue;
      const Feed& feed = static_cast<Control*>(network_->node(line.member))->member().feed();
      says += feed.is_inactive() ? " blank" : "";
      says += " followers " + std::to_string(feed.followers()) + " renewals " +
              std::to_string(feed.renewals()) + " in line " + std::to_string(feed.waiting_for_renewal());
    }
    const Follower::Counts& counts = follower.counts();
    return says + "; moves " + std::to_string(counts.moves) + " renewals " + std::to_string(counts.renewals) +
           " parts " + std::to_string(counts.parts) + " senseless " + std::to_string(counts.invalid) +
           " foreign " + std::to_string(counts.misaddressed);
  }
  return {};
}
void ControlFleet::compare_all() {
  std::unordered_map<std::string, std::map<std::string, std::uint64_t>> truth; // newest of each key, by scope
  for (const auto& [key, versions] : by_key_)
    truth[std::string(scope_of(key))][key] = versions.rbegin()->second;
  for (unsigned n = 0; n < plan_.servers; ++n) {
    if (!network_->up(server(n))) continue;
    const Follower& follower = static_cast<Server*>(network_->node(server(n)))->follower();
    for (const std::string& scope : scopes_of(n)) {
      const auto& should = truth[scope];
      std::size_t found = 0;
      follower.for_each_in(scope, [&](const Entry& entry) {
        const auto at = should.find(entry.key);
        found += at != should.end() && at->second == hash_of(entry);
        return true;
      });
      if (found != should.size()) wrong("a server that is level has another state of " + scope);
    }
  }
}

} // namespace cometshift::scale
