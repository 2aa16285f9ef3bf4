// Calls to the downstream service: the server must stay within its share even when calls are abandoned, slow
// or unanswered, and ops must not wait for calls that can't be made.
#include "driver.hpp"

int main() {
  Driver s({{"call_share", 2.0},
            {"calls_over_ns", 1e9},
            {"call_linger_ns", 3e8},
            {"op_type.0.without_share", 0.5}});
  s.section("no more calls in flight than this server's share; an answer without the call where that has "
            "some value");
  for (unsigned id = 1; id <= 3; ++id) {
    s.read(id, {.type = 1});
    s.call_wanted(id);
  }
  s.read(4);
  s.call_wanted(4);
  s.section("room again: the parked op calls");
  s.run_until(100);
  s.call_ended(1);
  s.section("an abandoned call still counts downstream for a while: the third op waits");
  s.call_ended(2, Outcome::timed_out);
  s.run_until(500);
  Driver k;
  k.section("a keyed op calls again if the call is known not to have run, otherwise it is failed at once");
  k.read(1, {.type = 1});
  k.call_wanted(1);
  k.call_ended(1, Outcome::shed);
  k.run_for(40);
  k.call_ended(1, Outcome::cut);
  k.section("a retryable op calls again");
  k.read(2);
  k.call_wanted(2);
  k.call_ended(2, Outcome::cut);
  k.run_for(40);
  Driver n({{"below", std::string("next_hop")}});
  n.section("at once where a balancer picks another server");
  n.read(3);
  n.call_wanted(3);
  n.call_ended(3, Outcome::shed);
  Driver m({{"call_share", 0.9}, {"calls_over_ns", 5e9}, {"call_linger_ns", 2e8}});
  m.section("a share without room for a call of four seconds: once calls are known to be short, a short one "
            "is made");
  for (unsigned id = 1; id <= 9; ++id) {
    m.read(id);
    m.call_wanted(id);
    m.run_for(20);
    m.call_ended(id, Outcome::done, 20);
    m.run_ended(id);
  }
  m.read(10);
  m.call_wanted(10);
  m.read(11);
  m.call_wanted(11);
  Driver w({{"call_share", 2.0},
            {"calls_over_ns", 1e9},
            {"op_type.0.without_share", 0.5},
            {"op_type.0.target_latency_ns", 4e8}});
  w.section("calls that filled the window count until they have left it: the seventh, a long one, waits");
  for (unsigned id = 1; id <= 6; ++id) {
    w.read(id, {.time_left = 300});
    w.call_wanted(id);
  }
  w.run_until(250);
  for (unsigned id = 1; id <= 6; ++id) {
    w.call_ended(id);
    w.run_ended(id);
  }
  w.read(7, {.type = 1, .time_left = 1200});
  w.call_wanted(7);
  w.run_until(1300);
  Driver e({{"call_share", 1.0}, {"calls_over_ns", 1e9}, {"call_linger_ns", 3e8}});
  e.section("the call of an op that has ended meanwhile is abandoned, but still in progress");
  e.read(1);
  e.call_wanted(1);
  e.run_ended(1, Outcome::halted);
  e.read(2);
  e.call_wanted(2);
  e.run_until(700);
  Driver q({{"call_share", 10.0}, {"cores", 40.0}, {"memory_kb", 1e6}});
  q.section("calls slow each other down: fewer are in flight at once");
  q.train(100, 100, 20, 10);
  const auto asks = [&](unsigned from, unsigned to) {
    for (unsigned id = from; id <= to; ++id) q.read(id, {.type = 1, .time_left = 3900}), q.call_wanted(id);
  };
  q.quiet = true;
  asks(1, 30);
  for (unsigned id = 1; id <= 24; ++id) q.run_for(20), q.call_ended(id, Outcome::done, 160), q.run_ended(id);
  asks(31, 50);
  q.quiet = false;
  for (unsigned id = 25; id <= 30; ++id)
    q.run_for(20), q.call_ended(id, Outcome::done, 9000), q.run_ended(id);
  q.section("no op starts while the queue for calls is that long");
  q.read(51, {.type = 1});
  q.run_for(100);
  Driver r;
  r.section("a reply that never arrives: while calls get lost and are fast, the call is repeated after some "
            "usual call times");
  r.train(100, 100, 20, 10);
  r.read(1);
  r.call_wanted(1);
  r.call_ended(1, Outcome::cut);
  r.run_for(40);
  r.call_ended(1, Outcome::timed_out, 100);
  r.run_for(40);
  const auto silent = [](Driver& d) {
    for (unsigned id = 1; id <= 2; ++id) {
      d.read(id);
      d.call_wanted(id);
      d.run_for(300);
    }
  };
  Driver t({{"call_share", 9.0}, {"op_type.0.op_timeout_ns", 20e9}, {"op_type.0.target_latency_ns", 9e9}});
  t.section("a reply that does not arrive, and no call made since: one call per second probes for a stall");
  silent(t);
  t.read(3);
  t.call_wanted(3);
  t.read(4);
  t.call_wanted(4);
  t.run_until(1900);
  t.section("the probe gets no reply either: the next follows a second later; it returns, and all ops call");
  t.run_until(2400);
  t.call_ended(3);
  Driver u({{"call_share", 2.0}, {"op_type.0.op_timeout_ns", 20e9}, {"op_type.0.target_latency_ns", 9e9}});
  u.section("a small share: with two calls unanswered no third is made");
  silent(u);
  u.read(3);
  u.call_wanted(3);
  u.run_until(8000);
}
