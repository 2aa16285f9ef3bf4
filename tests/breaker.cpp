// Circuit breaker: consecutive failed calls must stop further calls, and a single trial must reopen them.
#include "driver.hpp"

int main() {
  Driver s;
  s.section("five consecutive failures open the breaker: no more calls");
  s.read(1);
  s.call_wanted(1);
  for (int i = 0; i < 5; ++i) {
    s.call_ended(1, Outcome::unreachable);
    s.run_for(40); // not again at once
  }
  s.section("ops that would need a call wait");
  s.read(2);
  s.section("a single trial call, then a longer delay");
  s.run_until(600);
  s.call_ended(1, Outcome::unreachable);
  s.run_until(1900);
  s.section("a successful trial call closes the breaker");
  s.call_ended(1);
  s.read(3);
  s.run_until(2000);
  Driver t;
  t.section("a trial call whose run has ended is no longer pending: the next one is made");
  t.read(1), t.call_wanted(1);
  t.read(2);
  for (int i = 0; i < 5; ++i) t.call_ended(1, Outcome::unreachable), t.run_for(40);
  t.call_wanted(2);
  t.run_for(500);
  t.run_ended(1, Outcome::failed);
  t.run_for(1500);
}
