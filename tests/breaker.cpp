#include "driver.hpp"

int main() {
  Driver s;
  s.say("five failures in a row and no more calls");
  s.read(1);
  s.wants_call(1);
  for (int i = 0; i < 5; ++i) {
    s.called(1, Outcome::unreachable);
    s.after(40); // not again at once
  }
  s.say("ops that would need one wait");
  s.read(2);
  s.say("a single trial, then a longer rest");
  s.to(600);
  s.called(1, Outcome::unreachable);
  s.to(1900);
  s.say("a trial that goes well ends it");
  s.called(1);
  s.read(3);
  s.to(2000);
  Driver t;
  t.say("a trial whose run ends is no trial any more: the next is made");
  t.read(1), t.wants_call(1);
  t.read(2);
  for (int i = 0; i < 5; ++i) t.called(1, Outcome::unreachable), t.after(40);
  t.wants_call(2);
  t.after(500);
  t.ended(1, Outcome::failed);
  t.after(1500);
}
