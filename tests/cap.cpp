#include "scene.hpp"

// Ends `count` runs of `length` one after another, with others waiting.
static void serve(Scene& s, unsigned& id, int count, Nanos length) {
  for (int i = 0; i < count; ++i) {
    while (s.running.size() < 2) s.read(id++);
    s.read(id++, {.type = 0});
    s.after(length);
    while (!s.running.empty()) s.ended(static_cast<unsigned>(s.running.begin()->raw));
  }
}

int main() {
  Scene s;
  s.say("as many as there are cores run at first; busy cores don't let it grow");
  for (unsigned id = 1; id <= 6; ++id) s.read(id);
  s.to(700);
  s.say("cores read free with ops held, and runs end: it grows");
  s.busy(0.4);
  s.ended(1);
  s.to(760);
  s.say("nothing ends any more: free cores are not believed");
  s.to(1500);
  for (unsigned id = 7; id <= 12; ++id) s.read(id);
  s.to(2300);
  Scene t;
  t.say("grown, then cut while latency is at twice its base and the cores read busy, not below the cores");
  unsigned id = 1;
  std::puts("(the first runs are short)");
  serve(t, id, 12, 100);
  t.busy(0.3);
  for (int i = 0; i < 6; ++i) t.read(id++);
  t.after(100);
  t.ended(static_cast<unsigned>(t.running.begin()->raw));
  for (int i = 0; i < 3; ++i) {
    t.read(id++);
    t.after(200);
    if (!t.running.empty()) t.ended(static_cast<unsigned>(t.running.begin()->raw));
  }
  t.say("running at once");
  std::printf("%zu\n", t.running.size());
  t.busy(1);
  for (int i = 0; i < 30; ++i) {
    t.read(id++);
    t.after(60);
    if (!t.running.empty()) t.ended(static_cast<unsigned>(t.running.begin()->raw));
  }
  t.say("running at once");
  std::printf("%zu\n", t.running.size());
}
