#include "scene.hpp"

int main() {
  Scene s;
  s.say("kept to the end of its window, counted from its arrival");
  s.read(1, {.type = 1, .waited = 40});
  s.read(2, {.type = 1});
  s.read(3, {.type = 1});
  s.say("the repeat of one that runs is answered with its result, that of a held one takes its place");
  s.read(4, {.type = 1, .earlier = OpId{1}});
  s.read(5, {.type = 1, .earlier = OpId{3}});
  s.to(200);
  s.ended(1);
  s.ended(4);
  s.say("one that has run is not run again, however its run ended");
  s.read(6, {.type = 1, .earlier = OpId{1}});
  s.ended(2, Outcome::failed);
  s.read(7, {.type = 1, .earlier = OpId{2}});
  s.say("a repeat that waits too long is failed, not nacked");
  s.read(8, {.type = 1, .patience = 300, .earlier = OpId{5}});
  s.to(600);
  s.say("one that is refused without a run is forgotten");
  s.read(9, {.type = 1});
  s.read(10, {.type = 1, .patience = 100});
  s.to(800);
  Scene h({{"halt", std::string("drop")}});
  h.say("one that fell back into the hold has run: retryable it may again, keyed it is failed, not nacked");
  h.read(1);
  h.ended(1, Outcome::halted);
  h.read(2, {.type = 1});
  h.ended(2, Outcome::halted);
  h.read(3);
  h.read(4);
  h.to(1990);
  h.ended(1, Outcome::halted);
  h.to(2100);
  Scene f({{"fresh_for_ns", 1e9}});
  f.say("reads of one key share an answer where that is fresh for a while");
  f.read(1, {.key = 5});
  f.read(2, {.key = 5, .earlier = OpId{1}});
  f.read(3, {.key = 6});
  f.read(4, {.key = 7});
  f.read(5, {.key = 7, .earlier = OpId{4}});
  f.ended(3);
}
