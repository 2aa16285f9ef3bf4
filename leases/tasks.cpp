#include "tasks.hpp"

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr double hour = 3600e9;
constexpr double burst_an_hour = 8;  // part of the bound an hour that may go at once: an eighth
constexpr int failures_in_a_row = 3; // until another member is to try
constexpr Nanos rest_periods = 2;    // of letting go at first, doubled while it is no better
constexpr Nanos most_rest_periods = 32;
constexpr Nanos most_missed = 16; // periods that are caught up with

} // namespace

std::string_view to_text(TaskOutcome end) {
  switch (end) {
  case TaskOutcome::done:
    return "done";
  case TaskOutcome::failed:
    return "failed";
  case TaskOutcome::unknown:
    return "unknown";
  case TaskOutcome::refused:
    return "refused";
  }
  return "?";
}

Tasks::Tasks(Nanos now, const Settings& figures, Leases& leases, TaskActions& orders)
    : leases_(leases), actions_(orders) {
  at_once_ = static_cast<int>(number(figures, "tasks.at_once", 4));
  if (at_once_ < 1) throw std::invalid_argument("setting tasks.at_once is senseless");
  for (int t = 0;; ++t) {
    const std::string at = "task." + std::to_string(t) + ".";
    const std::string name = text(figures, at + "name", "");
    if (name.empty()) break;
    Task task;
    task.name = name;
    task.every = static_cast<Nanos>(required_number(figures, at + "every", static_cast<double>(ms)));
    task.limit = static_cast<Nanos>(required_number(figures, at + "limit", static_cast<double>(ms)));
    if (task.limit > task.every) throw std::invalid_argument("setting " + at + "limit is senseless");
    task.priority = static_cast<int>(number(figures, at + "priority", 0));
    task.most_an_hour = number(figures, at + "most_an_hour", 0);
    if (task.most_an_hour < 0) throw std::invalid_argument("setting " + at + "most_an_hour is senseless");
    task.catch_up = number(figures, at + "catch_up", 0) != 0;
    task.tokens = std::max(1.0, task.most_an_hour / burst_an_hour);
    task.filled_at = now;
    task.next = now;
    if (!leases_.acquire(now, name)) throw std::invalid_argument("setting " + at + "name is senseless");
    tasks_.push_back(std::move(task));
  }
}

void Tasks::fill(Nanos now, Task& task) {
  if (task.most_an_hour <= 0) return;
  const double most = std::max(1.0, task.most_an_hour / burst_an_hour);
  task.tokens =
      std::min(most, task.tokens + static_cast<double>(now - task.filled_at) / hour * task.most_an_hour);
  task.filled_at = now;
}

// In step with its period. Of what was missed, as while nobody held its lease: some, or none.
void Tasks::done_at(Nanos now, Task& task, Nanos at) {
  task.last = std::max(task.last, at);
  task.next += task.every;
  if (task.next <= at - task.every) {
    const Nanos behind = (at - task.next) / task.every;
    const Nanos kept = task.catch_up ? std::min(behind, most_missed) : 0;
    task.missed += static_cast<std::uint64_t>(behind - kept);
    task.next += (behind - kept) * task.every;
  }
  if (!task.catch_up)
    task.next = std::max(task.next, at + task.every / 2); // against two at nearly one moment
  task.next = std::min(task.next, now + task.every);
}

void Tasks::held(std::string_view lease, Nanos from) {
  for (Task& task : tasks_)
    if (task.name == lease) task.from = from;
}
void Tasks::lost(std::string_view lease) {
  for (Task& task : tasks_)
    if (task.name == lease) task.from = -1;
}

void Tasks::ended(Nanos now, TaskId id, Token token, TaskOutcome end, Token seen) {
  Task& task = tasks_[id.raw];
  if (task.running != token) return;
  task.running = Token{0};
  --running_;
  leases_.end_act(now, task.name, token);
  switch (end) {
  case TaskOutcome::done:
    ++task.done;
    task.failures = 0;
    task.rest = 0;
    task.told = std::max(task.told, token);
    done_at(now, task, now);
    actions_.notify_done(id, token);
    return;
  case TaskOutcome::refused:
    ++task.refused;
    leases_.refused_by_target(now, task.name, seen);
    return;
  case TaskOutcome::failed:
  case TaskOutcome::unknown:
    ++task.failed;
    task.next = now + task.every; // a failure is no reason to ask sooner
    if (++task.failures < failures_in_a_row || leaving_) return;
    task.failures = 0;
    task.rest = std::clamp(2 * task.rest, rest_periods * task.every, most_rest_periods * task.every);
    task.rests_until = now + task.rest;
    leases_.drop(now, task.name);
    actions_.released_after_failures(id, task.rest);
    return;
  }
}

void Tasks::completed_elsewhere(Nanos now, std::string_view name, Token token, Nanos ago) {
  for (Task& task : tasks_) {
    if (task.name != name) continue;
    // Against word of an earlier holder that comes late, and against a time that can't be.
    if (token < task.told || ago < 0 || ago > now) return;
    task.told = token;
    if (now - ago > task.last) done_at(now, task, now - ago);
    return;
  }
}

void Tasks::leave(Nanos) { leaving_ = true; }

Nanos Tasks::next_wake() const {
  Nanos next = -1;
  if (leaving_ || running_ >= at_once_) return next;
  for (const Task& task : tasks_) {
    if (task.running.raw != 0 || (task.from < 0 && task.rests_until < 0)) continue;
    const Nanos at = task.rests_until >= 0 ? task.rests_until : std::max(task.next, task.from);
    if (next < 0 || at < next) next = at;
  }
  return next;
}

// Most important first; of equals the one that has been due longest, or the first of many would be done for
// ever.
void Tasks::due(Nanos now) {
  if (leaving_) return;
  std::vector<std::uint32_t> ready;
  for (std::uint32_t t = 0; t < tasks_.size(); ++t) {
    Task& task = tasks_[t];
    if (task.rests_until >= 0 && now >= task.rests_until) {
      task.rests_until = -1;
      leases_.acquire(now, task.name);
    }
    if (task.running.raw == 0 && task.from >= 0 && now >= task.from && now >= task.next) ready.push_back(t);
  }
  std::sort(ready.begin(), ready.end(), [this](std::uint32_t a, std::uint32_t b) {
    const Task &one = tasks_[a], &other = tasks_[b];
    return std::tuple(-one.priority, one.next, a) < std::tuple(-other.priority, other.next, b);
  });
  for (const std::uint32_t t : ready) {
    if (running_ >= at_once_) break; // the others wait for the next end
    Task& task = tasks_[t];
    fill(now, task);
    if (task.most_an_hour > 0 && task.tokens < 1) {
      task.next = now + static_cast<Nanos>((1 - task.tokens) * hour / task.most_an_hour) + 1;
      continue;
    }
    const Token token = leases_.begin_act(now, task.name, task.limit);
    if (token.raw == 0) {
      task.from = -1; // it would not end in time: after the next renewal it does
      continue;
    }
    task.tokens -= task.most_an_hour > 0 ? 1 : 0;
    task.running = token;
    ++running_;
    ++task.begun;
    actions_.begin(TaskId{t}, token, task.limit);
  }
}

std::vector<Tasks::Status> Tasks::status() const {
  std::vector<Status> all;
  for (const Task& task : tasks_)
    all.push_back({task.name, task.running.raw != 0, task.limit, task.last, task.next, task.begun, task.done,
                   task.failed, task.refused, task.missed});
  return all;
}

} // namespace cometshift
