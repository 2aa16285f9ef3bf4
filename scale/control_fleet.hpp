// Control members and the servers that follow them, hollow, on a simulated network: the real ControlMember
// and ControlFollower, words and all, without sockets. A referee knows every write: it holds what each server
// goes by against it, and counts how long each change took to be in force.
//
// What is right: a version stands for one write, for ever; no server goes back to an earlier version in one
// life; what a server takes is what was written, the newest of its key up to the version that it says; at
// rest, each server has just what the writer has of its scopes. Times: simulated ns.
#pragma once

#include "control_follower.hpp"
#include "control_member.hpp"
#include "network.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cometshift::scale {

struct ControlPlan {
  std::uint64_t seed = 1;
  unsigned servers = 6600, controls = 10, voters = 5;
  unsigned services = 3000, services_of_server = 5;
  unsigned routes = 15;           // entries of a service, of `value` bytes
  unsigned value = 120;           // bytes
  unsigned tenants_value = 3'900; // bytes: the tenants of a service, in one entry; 0: none
  unsigned measured = 40;         // servers whose processor time is looked at
};

class ControlFleet {
 public:
  explicit ControlFleet(const ControlPlan& plan);
  ~ControlFleet();

  Network& network() { return *network_; }
  const ControlPlan& plan() const { return plan_; }
  MemberId control(unsigned n) const { return MemberId{1 + n}; }
  MemberId server(unsigned n) const { return MemberId{1 + plan_.controls + n}; }
  unsigned home_of(unsigned control) const; // its zone

  // ---- what is done to it
  bool load(Nanos until, Nanos wall_until); // routes and tenants, all in force at the control members
  // A change, at a control member that is up and not cut off, drawn by chance. One in ten of the changes
  // while a region is cut is put there, and only has to end.
  void put(std::string key);
  void start_servers(unsigned from, unsigned to, Nanos within);
  void stop_server(unsigned n, Network::Stop how);
  void cut_region(unsigned region, bool is_cut);

  // ---- what came of it, since the last `begin_phase`
  struct Phase {
    std::uint64_t changes = 0, unknown = 0, refused = 0; // puts that ended so
    std::uint64_t arrivals = 0, late = 0;  // changes at servers that could be reached all along; over 4 s
    Nanos slowest_commit = 0;              // from a put to its commit
    Nanos slowest = 0, slowest_return = 0; // the latter: of servers that were cut off or started anew
    std::vector<float> times;              // s, of arrivals, a part drawn by chance
    std::uint64_t wrong = 0;
    std::string first_wrong;
  };
  void begin_phase();
  const Phase& phase() const { return phase_; }
  unsigned behind() const;          // servers that are up and not at the newest version
  std::string first_behind() const; // of these, the first as it stands: for people
  // Compares all that are up, scope by scope, with the writer's state; what differs is counted as wrong.
  void compare_all();
  Version newest() const { return newest_; }
  bool in_office() const;  // some control member writes now
  unsigned writer() const; // which; 0 where none does

 private:
  class Control;
  class Server;
  struct Write {
    std::string key;
    Nanos put_at; // -1: not told of, as where its control member was cut off
    std::uint64_t hash;
  };

  std::unique_ptr<Node> make(Nanos now, MemberId member, std::uint64_t life);
  ClockReadings moment(Nanos now) const;
  std::vector<std::string> scopes_of(unsigned server) const;
  bool writes(MemberId control) const;
  void committed(const Record& record);
  void taken(Server& server, Version version, const std::vector<const Entry*>& changed);
  void wrong(std::string what);

  ControlPlan plan_;
  Pcg chance_;
  std::unique_ptr<Network> network_;
  std::vector<MemberId> controls_;
  std::set<MemberId> voters_;
  std::vector<Follower::Control> listed_;
  Phase phase_;
  std::map<Version, Write> writes_;
  std::unordered_map<std::string, std::map<Version, std::uint64_t>> by_key_; // hashes of what was written
  std::unordered_map<std::string, Nanos> put_at_;                            // by value: when it was put
  Version newest_{};
  std::vector<Nanos> reachable_since_; // of each server; -1: it is not
  std::uint64_t values_ = 0;
  std::uint64_t loaded_ = 0;
  int cut_ = -1; // the region that is cut off; -1: none
};

} // namespace cometshift::scale
