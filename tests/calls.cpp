#include "driver.hpp"

int main() {
  Driver s({{"call_share", 2.0},
            {"calls_over_ns", 1e9},
            {"call_linger_ns", 3e8},
            {"op_type.0.without_share", 0.5}});
  s.say("no more calls in hand than this server's share; an answer without the call where that is worth "
        "something");
  for (unsigned id = 1; id <= 3; ++id) {
    s.read(id, {.type = 1});
    s.wants_call(id);
  }
  s.read(4);
  s.wants_call(4);
  s.say("room again: the parked one calls");
  s.to(100);
  s.called(1);
  s.say("a call given up stays in the hands of what lies below for a while: the third waits");
  s.called(2, Outcome::timed_out);
  s.to(500);
  Driver k;
  k.say("a keyed op calls again if the call is known not to have run, else it is failed at once");
  k.read(1, {.type = 1});
  k.wants_call(1);
  k.called(1, Outcome::shed);
  k.after(40);
  k.called(1, Outcome::cut);
  k.say("a retryable one calls again");
  k.read(2);
  k.wants_call(2);
  k.called(2, Outcome::cut);
  k.after(40);
  Driver n({{"below", std::string("next_hop")}});
  n.say("where a balancer picks another of several, at once");
  n.read(3);
  n.wants_call(3);
  n.called(3, Outcome::shed);
  Driver m({{"call_share", 0.9}, {"calls_over_ns", 5e9}, {"call_linger_ns", 2e8}});
  m.say("a share with no room for a call of four seconds: once calls are known to be short, a short one");
  for (unsigned id = 1; id <= 9; ++id) {
    m.read(id);
    m.wants_call(id);
    m.after(20);
    m.called(id, Outcome::done, 20);
    m.ended(id);
  }
  m.read(10);
  m.wants_call(10);
  m.read(11);
  m.wants_call(11);
  Driver w({{"call_share", 2.0},
            {"calls_over_ns", 1e9},
            {"op_type.0.without_share", 0.5},
            {"op_type.0.target_latency_ns", 4e8}});
  w.say("calls that filled the window count until they have left it: the seventh, a long one, waits");
  for (unsigned id = 1; id <= 6; ++id) {
    w.read(id, {.patience = 300});
    w.wants_call(id);
  }
  w.to(250);
  for (unsigned id = 1; id <= 6; ++id) {
    w.called(id);
    w.ended(id);
  }
  w.read(7, {.type = 1, .patience = 1200});
  w.wants_call(7);
  w.to(1300);
  Driver e({{"call_share", 1.0}, {"calls_over_ns", 1e9}, {"call_linger_ns", 3e8}});
  e.say("the call of an op that has ended meanwhile is given up, not gone");
  e.read(1);
  e.wants_call(1);
  e.ended(1, Outcome::halted);
  e.read(2);
  e.wants_call(2);
  e.to(700);
  Driver q({{"call_share", 10.0}, {"cores", 40.0}, {"memory_kb", 1e6}});
  q.say("calls slow each other: fewer are in hand at once");
  q.learn(100, 100, 20, 10);
  const auto asks = [&](unsigned from, unsigned to) {
    for (unsigned id = from; id <= to; ++id) q.read(id, {.type = 1, .patience = 3900}), q.wants_call(id);
  };
  q.quiet = true;
  asks(1, 30);
  for (unsigned id = 1; id <= 24; ++id) q.after(20), q.called(id, Outcome::done, 160), q.ended(id);
  asks(31, 50);
  q.quiet = false;
  for (unsigned id = 25; id <= 30; ++id) q.after(20), q.called(id, Outcome::done, 9000), q.ended(id);
  q.say("no op starts into a line of calls that long");
  q.read(51, {.type = 1});
  q.after(100);
  Driver r;
  r.say("a reply that never comes: asked again in some usual times while calls get lost and are quick");
  r.learn(100, 100, 20, 10);
  r.read(1);
  r.wants_call(1);
  r.called(1, Outcome::cut);
  r.after(40);
  r.called(1, Outcome::timed_out, 100);
  r.after(40);
  const auto silent = [](Driver& d) {
    for (unsigned id = 1; id <= 2; ++id) {
      d.read(id);
      d.wants_call(id);
      d.after(300);
    }
  };
  Driver t({{"call_share", 9.0}, {"op_type.0.op_timeout_ns", 20e9}, {"op_type.0.target_latency_ns", 9e9}});
  t.say("a reply that doesn't come, and no call made since: one a second asks whether all stands still");
  silent(t);
  t.read(3);
  t.wants_call(3);
  t.read(4);
  t.wants_call(4);
  t.to(1900);
  t.say("that one gets none either: the next a second after it; it comes back, and so do all");
  t.to(2400);
  t.called(3);
  Driver u({{"call_share", 2.0}, {"op_type.0.op_timeout_ns", 20e9}, {"op_type.0.target_latency_ns", 9e9}});
  u.say("a small share: with two out and silent no third is made");
  silent(u);
  u.read(3);
  u.wants_call(3);
  u.to(8000);
}
