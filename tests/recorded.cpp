// Records and replays difficult timings, such as simultaneous events. Prints the decisions; each replay must
// match its recording.
#include "recorded_core.hpp"

namespace {

// Two ops with the same key arrive at the same time; the order of arrival decides which one runs.
void same_instant(bool turned) {
  RecordedCore s;
  s.prints = true;
  s.record();
  s.link();
  s.came(turned ? 2 : 1, 1, "m1");
  s.came(turned ? 1 : 2, 1, "m1"); // the same mark and body: waits for the first op
  s.pass(300 * ms);
  say_replay(replayed(s.files("same_instant")));
}

} // namespace

int main() {
  say("two tries of one op in the same instant, in both orders: the first runs, the second has its result");
  same_instant(false);
  same_instant(true);
  {
    say("a repeat in the instant in which the first try's result comes, before it and behind it");
    for (const bool before : {true, false}) {
      RecordedCore s;
      s.prints = true;
      s.calls = 0;
      s.record();
      s.link();
      s.came(1, 1, "m1");
      const auto repeat = [&] { s.came(2, 1, "m1"); };
      const auto result = [&] {
        s.on_core.clear();
        s.recorder.run_finished(s.now, OpId{1}, Outcome::done, 20 * ms, Content("the result"));
      };
      s.pass(5 * ms);
      before ? (repeat(), result()) : (result(), repeat());
      s.turn();
      s.pass(100 * ms);
      say_replay(replayed(s.files("repeat")));
    }
  }
  {
    say("a wake-up and an arrival at one time, in both orders");
    for (const bool arrival_first : {true, false}) {
      RecordedCore s;
      s.prints = true;
      s.record();
      s.link();
      s.pass(20 * ms - (s.core->next_wake() - s.now > 20 * ms ? 0 : 1));
      s.now = s.core->next_wake();
      if (arrival_first) {
        s.came(1);
      } else {
        s.recorder.due(s.now);
        s.came(1);
      }
      s.pass(200 * ms);
      say_replay(replayed(s.files("wake")));
    }
  }
  {
    say("a link that breaks behind starts, and is caught up: what may run twice is started again");
    RecordedCore s;
    s.prints = true;
    s.record();
    s.link();
    s.came(1), s.came(2, 1, "m2");
    const std::uint64_t known = 0;
    s.break_link();
    s.came(3);
    s.pass(30 * ms);
    s.up = true;
    s.recorder.link_up(s.now, StartNo{known});
    s.turn();
    s.pass(500 * ms);
    say_replay(replayed(s.files("link")));
  }
  {
    say("a reload in the middle changes nothing of what is replayed");
    RecordedCore s;
    s.record();
    s.link();
    for (std::uint64_t id = 1; id < 10; ++id) s.came(id), s.pass(15 * ms);
    s.recorder.reloaded(s.now, "other addresses");
    for (std::uint64_t id = 10; id < 20; ++id) s.came(id), s.pass(15 * ms);
    s.pass(second);
    say_replay(replayed(s.files("reload")));
  }
  {
    say("the notice to leave with much held; what comes after the delay is nacked");
    RecordedCore s;
    s.record();
    s.link();
    for (std::uint64_t id = 1; id < 30; ++id) s.came(id, id % 2, "m" + std::to_string(id));
    s.pass(50 * ms);
    s.recorder.drain(s.now, s.now);
    s.pass(1500 * ms);
    s.prints = true;
    s.came(99);
    s.pass(1500 * ms);
    std::printf("  answers %llu of 30, all answered %d\n", static_cast<unsigned long long>(s.answers),
                s.core->all_answered());
    say_replay(replayed(s.files("leave")));
  }
  {
    say("the notice came within a pause of 500 ms, and an op was read first: the delay counts from the "
        "pause");
    RecordedCore s;
    s.record();
    s.link();
    s.pass(500 * ms);
    s.came(1);
    s.recorder.drain(s.now, s.now - 500 * ms);
    s.pass(700 * ms);
    s.prints = true;
    s.came(2);
    s.pass(1500 * ms);
    say_replay(replayed(s.files("leave_late")));
  }
  {
    say("begun in the middle of a keyed op's run: its repeat after the beginning has the result of the run "
        "before it");
    RecordedCore s;
    s.link();
    for (std::uint64_t id = 100; id < 140; ++id) s.came(id), s.pass(30 * ms); // something is learnt
    s.came(1, 1, "m1");
    s.pass(5 * ms);
    s.prints = true;
    s.record();
    s.came(2, 1, "m1");
    s.pass(300 * ms);
    s.came(3, 1, "m1");
    s.came(4, 1, "m1", "another body");
    s.pass(300 * ms);
    say_replay(replayed(s.files("middle")));
  }
  {
    say("marks and subjects concealed: the same decisions; the marks are not in the file, nor are bodies");
    RecordedCore s;
    s.record({{"conceal", 1.0}});
    s.link();
    for (std::uint64_t id = 1; id < 20; ++id)
      s.came(id, 1, "secret" + std::to_string(id / 2), "private"), s.pass(20 * ms);
    s.pass(second);
    s.recorder.end(s.now);
    bool found = false;
    for (const auto& [name, bytes] : s.disk->files)
      found =
          found || bytes.find("secret") != std::string::npos || bytes.find("private") != std::string::npos;
    std::printf("  found in the file: %d\n", found);
    say_replay(replayed(s.put_out("concealed")));
  }
  {
    say("segments by size: each begins with what the one before ended with, the oldest go, the total is not "
        "passed");
    RecordedCore s;
    s.record({{"segment_bytes", 60'000.0}, {"total_bytes", 200'000.0}, {"conceal", 1.0}});
    s.link();
    std::size_t most = 0;
    for (std::uint64_t id = 1; id < 1200; ++id) {
      s.came(id, id % 3, "m" + std::to_string(id)), s.pass(20 * ms);
      const std::lock_guard hold(s.disk->lock);
      std::size_t all = 0;
      for (const auto& [name, bytes] : s.disk->files) all += bytes.size();
      most = std::max(most, all);
    }
    s.recorder.end(s.now);
    std::printf("  over the total: %d; first segment gone: %d\n", most > 200'000,
                s.disk->files.begin()->first.find("000001") == std::string::npos);
    const Replayer::Result r = replayed(s.put_out("segments"));
    std::printf("  replay: %s, seams checked %d, closed %d\n",
                r.difference.empty() ? "identical" : r.difference.c_str(), r.snapshots_checked > 0,
                r.clean_end);
  }
}
