// Fixture for tests of recordings: a core in simulated time with a simulated environment (runs, calls, a link
// that can break). Records to in-memory files with fault injection and replays from files on disk.
#pragma once

#include "core.hpp"
#include "recorder.hpp"
#include "replay.hpp"

#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>

using namespace cometshift;

constexpr Nanos ms = 1'000'000;
constexpr Nanos second = 1000 * ms;

// Simulated disk with fault injection.
struct Disk {
  std::mutex lock;
  std::condition_variable wake;
  std::map<std::string, std::string> files;
  std::vector<std::size_t> writes; // sizes of all writes, in order
  std::size_t full_after = ~std::size_t{0};
  bool stuck = false; // writes block

  void stick(bool yes) {
    const std::lock_guard hold(lock);
    stuck = yes;
    wake.notify_all();
  }
};

class DiskFiles final : public SegmentStorage {
  std::shared_ptr<Disk> disk_;
  std::string open_, reason_;

 public:
  explicit DiskFiles(std::shared_ptr<Disk> disk) : disk_(std::move(disk)) {}
  bool open(const std::string& name) override {
    const std::lock_guard hold(disk_->lock);
    open_ = name;
    disk_->files[name];
    return true;
  }
  bool write(const std::string& bytes) override {
    std::unique_lock hold(disk_->lock);
    disk_->wake.wait(hold, [this] { return !disk_->stuck; });
    std::size_t all = 0;
    for (const auto& [name, held] : disk_->files) all += held.size();
    const std::size_t room = disk_->full_after > all ? disk_->full_after - all : 0;
    disk_->files[open_].append(bytes, 0, room);
    disk_->writes.push_back(bytes.size());
    if (room >= bytes.size()) return true;
    reason_ = "the disk is full";
    return false;
  }
  void close() override {}
  bool remove(const std::string& name) override {
    const std::lock_guard hold(disk_->lock);
    return disk_->files.erase(name) > 0;
  }
  std::vector<std::pair<std::string, std::uint64_t>> list() override {
    const std::lock_guard hold(disk_->lock);
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (const auto& [name, held] : disk_->files) found.emplace_back(name, held.size());
    return found;
  }
  std::string reason() const override { return reason_; }
};

inline Settings recorded_settings() {
  Settings given{
      {"cores", 2.0},      {"fall_multiple", 4.0},  {"memory_kb", 4000.0},     {"run_factor", 4.0},
      {"key_kb", 2.0},     {"drain_grace_ns", 1e9}, {"fleet_size", 1.0},       {"callers", 3.0},
      {"call_share", 6.0}, {"calls_over_ns", 5e9},  {"call_linger_ns", 2e8},   {"tells_patience", 1.0},
      {"memory_mb", 32.0}, {"stop_ns", 3e9},        {"seed_high", 123456.0},   {"seed_low", 654321.0},
      {"idle_ns", 30e9},   {"say", "level"},        {"stay_away_heeded", 1.0}, {"max_stay_away_ns", 1e9},
      {"name", "n1"},      {"fresh_for_ns", 2e8}};
  given["gauge.0"] = "cores_busy";
  given["gauge.1"] = "on_cores";
  const char* names[] = {"look", "book", "write"};
  const char* repeats[] = {"retryable", "keyed", "non_retryable"};
  for (int t = 0; t < 3; ++t) {
    const std::string at = "op_type." + std::to_string(t) + ".";
    given[at + "name"] = names[t];
    given[at + "repeats"] = repeats[t];
    given[at + "op_timeout_ns"] = 2e9;
    given[at + "target_latency_ns"] = 1e9;
    given[at + "may_call"] = 1.0;
    given[at + "importance"] = 1.0 + t;
    if (t == 1) given[at + "key_window_ns"] = 6e9;
  }
  given["tenant.0.name"] = "main-lot";
  given["tenant.0.quota"] = 40.0;
  given["tenant.1.name"] = "long-stay";
  given["tenant.1.quota"] = 20.0;
  return given;
}

class RecordedCore : public Actions {
 public:
  Nanos now = 1'764'576'000 * second;
  Recorder recorder{*this};
  Settings given = recorded_settings();
  std::unique_ptr<Core> core;
  std::shared_ptr<Disk> disk = std::make_shared<Disk>();
  Nanos run_time = 40 * ms, call_time = 10 * ms; // of runs that start from now on
  int calls = 1;
  double lost_calls = 0, failing = 0;
  bool prints = false;
  std::uint64_t answers = 0;
  std::vector<std::string> notes; // notes of the recorder

  explicit RecordedCore(std::uint64_t seed = 1) : chance(seed) {
    core = std::make_unique<Core>(now, given, recorder);
    recorder.bind(*core);
  }

  void record(const Settings& more = {}) {
    Settings wanted{{"segment_bytes", 1e9}, {"segment_age_ns", 3600e9},
                    {"total_bytes", 1e9},   {"queue_bytes", 8e6},
                    {"bodies", 0.0},        {"conceal", 0.0}};
    for (const auto& [name, value] : more) wanted[name] = value;
    recorder.begin(now, wanted, std::make_unique<DiskFiles>(disk));
  }
  void link() {
    up = true;
    recorder.machine_up(now, 5 * second);
    recorder.link_up(now, StartNo{starts});
  }
  void break_link() {
    up = false;
    recorder.link_down(now);
  }
  void came(std::uint64_t id, unsigned type = 0, const std::string& mark = {},
            const std::string& body = "body", Nanos limit = 2 * second, Nanos waited = ms) {
    recorder.op_received(now, {ConnectionId{id % 3 + 1}, StreamId{static_cast<std::uint32_t>(id)}}, OpId{id},
                         OpTypeId{type}, TenantId{static_cast<std::uint32_t>(id % 2)}, CallerId{id % 3},
                         now - waited, limit, 10, 0.5, mark,
                         type == 0 ? "subject" + std::to_string(id % 5) : "", Content(body),
                         {std::hash<std::string>{}(body), 7});
    turn();
  }
  void turn() {
    if (core->anything_due(now)) recorder.due(now);
    while (core->has_repeats_to_answer()) recorder.answer_repeats(now);
  }
  void later(Nanos after, std::function<void()> what) { due_.emplace(now + after, std::move(what)); }
  // Advances the time and executes wake-ups and scheduled functions in order.
  void pass(Nanos time) {
    const Nanos end = now + time;
    for (;;) {
      const Nanos wake = core->next_wake();
      const Nanos at = std::min(wake < 0 ? end : wake, due_.empty() ? end : due_.begin()->first);
      if (at > end || (at == end && (due_.empty() || due_.begin()->first > end) && (wake < 0 || wake > end)))
        break;
      now = std::max(now, at);
      if (!due_.empty() && due_.begin()->first <= now) {
        const auto what = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        what();
      }
      if (up) {
        const double gauges[] = {std::min(1.0, static_cast<double>(on_core.size()) / 2),
                                 static_cast<double>(on_core.size())};
        if (wake >= 0 && wake <= now) recorder.gauges(now, gauges);
      }
      turn();
    }
    now = end;
    turn();
  }
  // Ends the recording, writes its files to disk and returns their paths.
  std::vector<std::string> files(const std::string& name) {
    recorder.end(now);
    return put_out(name);
  }
  std::vector<std::string> put_out(const std::string& name) const {
    std::vector<std::string> paths;
    for (const auto& [file, bytes] : disk->files) {
      paths.push_back(name + "-" + std::to_string(paths.size() + 1) + ".capture");
      std::ofstream(paths.back(), std::ios::binary | std::ios::trunc) << bytes;
    }
    return paths;
  }

  std::set<OpId> on_core;
  std::uint64_t starts = 0;
  bool up = false;
  Pcg chance;

 private:
  std::multimap<Nanos, std::function<void()>> due_;
  std::map<OpId, int> calls_left_;

  void say(const std::string& what, OpId op, const std::string& more = {}) const {
    if (prints)
      std::printf("  %s %llx%s\n", what.c_str(), static_cast<unsigned long long>(op.raw), more.c_str());
  }
  void run_on(OpId op) {
    later(static_cast<Nanos>(static_cast<double>(run_time) * (0.5 + chance.unit())),
          [this, op] { part_over(op); });
  }
  void part_over(OpId op) {
    if (!on_core.contains(op)) return;
    if (!up) return later(20 * ms, [this, op] { part_over(op); }); // reported once the link is back
    if (calls_left_[op]-- > 0) {
      on_core.erase(op);
      waiting_.insert(op);
      recorder.call_wanted(now, op, Content("call of " + std::to_string(op.raw)));
      return;
    }
    on_core.erase(op);
    const bool fails = chance.unit() < failing;
    recorder.run_finished(now, op, fails ? Outcome::failed : Outcome::done, run_time,
                          fails ? Content() : Content("result " + std::to_string(op.raw)));
  }
  std::set<OpId> waiting_; // for a reply

  void served(StreamRef, OpId op, Content result) override {
    ++answers;
    say("served", op, ": " + result.bytes);
  }
  void refused(StreamRef, OpId op, Reason why, Nanos, bool) override {
    ++answers;
    say("nacked", op, ", " + std::string(to_text(why)));
  }
  void failed(StreamRef, OpId op, Reason why) override {
    ++answers;
    say("failed", op, ", " + std::string(to_text(why)));
  }
  void penalize(StreamRef) override {}
  void start(OpId op, OpTypeId, const Content&, StartNo number) override {
    starts = number.raw;
    say("start", op);
    if (on_core.contains(op) || waiting_.contains(op)) return;
    on_core.insert(op);
    calls_left_[op] = calls;
    run_on(op);
  }
  void resume(OpId op, const Content&) override {
    if (waiting_.erase(op) == 0) return;
    on_core.insert(op);
    run_on(op);
  }
  void call(OpId op, Nanos time_out, const Content&) override {
    const std::uint64_t turn = ++turns_[op];
    const auto over = [this, op, turn](Outcome outcome) {
      if (turns_[op] != turn) return;
      ++turns_[op];
      recorder.call_finished(now, op, outcome, outcome == Outcome::done ? Content("reply") : Content());
    };
    later(std::min(time_out, 2 * second), [over] { over(Outcome::timed_out); });
    if (chance.unit() >= lost_calls) later(call_time, [over] { over(Outcome::done); });
  }
  std::map<OpId, std::uint64_t> turns_;
  void cancel_call(OpId op) override { ++turns_[op]; }
  void health(bool) override {}
  void notify_callers(double) override {}
  void set_idle_timeout(Nanos) override {}
  void set_timing(Timing, Nanos) override {}
  void set_eviction_order(std::span<const Eviction>, int) override {}
  void stop_accepting() override {}
  void note(const char* kind, std::string_view words) override {
    if (std::string_view(kind) == "recording") notes.emplace_back(words);
  }
};

// Replays and says how it went; the files are removed.
inline Replayer::Result replayed(const std::vector<std::string>& paths) {
  Replayer::Result result;
  try {
    result = Replayer(paths).play(true);
  } catch (const Unreadable& e) {
    result.difference = e.what();
  }
  for (const std::string& path : paths) std::filesystem::remove(path);
  return result;
}
inline void say_replay(const Replayer::Result& r) {
  std::printf("  replay: %s, %llu orders, %llu gaps, %llu seams checked%s\n",
              r.difference.empty() ? "identical" : r.difference.c_str(),
              static_cast<unsigned long long>(r.orders), static_cast<unsigned long long>(r.gaps),
              static_cast<unsigned long long>(r.snapshots_checked), r.clean_end ? "" : ", not closed");
}
inline void say(const char* what) { std::printf("# %s\n", what); }
