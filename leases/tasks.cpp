#include "tasks.hpp"

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace cometshift {

namespace {

constexpr Nanos ms = 1'000'000;
constexpr double hour = 3600e9;
constexpr double burst_divisor = 8;         // of the hourly limit, an eighth may be used at once
constexpr int max_consecutive_failures = 3; // before another member gets a try
// Periods for which the lease is released at first; doubled with further failures.
constexpr Nanos initial_backoff_periods = 2;
constexpr Nanos max_backoff_periods = 32;
constexpr Nanos max_caught_up_periods = 16; // periods made up for at most

} // namespace

std::string_view to_text(TaskOutcome outcome) {
  switch (outcome) {
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

Tasks::Tasks(Nanos now, const Settings& settings, Leases& leases, TaskActions& actions)
    : leases_(leases), actions_(actions) {
  max_concurrent_ = static_cast<int>(number(settings, "tasks.at_once", 4));
  if (max_concurrent_ < 1) throw std::invalid_argument("setting tasks.at_once is senseless");
  for (int t = 0;; ++t) {
    const std::string at = "task." + std::to_string(t) + ".";
    const std::string name = text(settings, at + "name", "");
    if (name.empty()) break;
    Task task;
    task.name = name;
    task.period = static_cast<Nanos>(required_number(settings, at + "every", static_cast<double>(ms)));
    task.limit = static_cast<Nanos>(required_number(settings, at + "limit", static_cast<double>(ms)));
    if (task.limit > task.period) throw std::invalid_argument("setting " + at + "limit is senseless");
    task.priority = static_cast<int>(number(settings, at + "priority", 0));
    task.max_per_hour = number(settings, at + "most_an_hour", 0);
    if (task.max_per_hour < 0) throw std::invalid_argument("setting " + at + "most_an_hour is senseless");
    task.catch_up = number(settings, at + "catch_up", 0) != 0;
    task.tokens = std::max(1.0, task.max_per_hour / burst_divisor);
    task.refilled_at = now;
    task.next = now;
    if (!leases_.acquire(now, name)) throw std::invalid_argument("setting " + at + "name is senseless");
    tasks_.push_back(std::move(task));
  }
}

void Tasks::refill(Nanos now, Task& task) {
  if (task.max_per_hour <= 0) return;
  const double burst = std::max(1.0, task.max_per_hour / burst_divisor);
  task.tokens =
      std::min(burst, task.tokens + static_cast<double>(now - task.refilled_at) / hour * task.max_per_hour);
  task.refilled_at = now;
}

// Keeps the task aligned to its period. Of missed periods, as while nobody held its lease, some or none are
// made up for.
void Tasks::record_done(Nanos now, Task& task, Nanos at) {
  task.last = std::max(task.last, at);
  task.next += task.period;
  if (task.next <= at - task.period) {
    const Nanos periods_behind = (at - task.next) / task.period;
    const Nanos caught_up = task.catch_up ? std::min(periods_behind, max_caught_up_periods) : 0;
    task.missed += static_cast<std::uint64_t>(periods_behind - caught_up);
    task.next += (periods_behind - caught_up) * task.period;
  }
  if (!task.catch_up)
    task.next = std::max(task.next, at + task.period / 2); // prevents two runs shortly after each other
  task.next = std::min(task.next, now + task.period);
}

void Tasks::held(std::string_view lease, Nanos from) {
  for (Task& task : tasks_)
    if (task.name == lease) task.startable_from = from;
}
void Tasks::lost(std::string_view lease) {
  for (Task& task : tasks_)
    if (task.name == lease) task.startable_from = -1;
}

void Tasks::ended(Nanos now, TaskId id, Token token, TaskOutcome outcome, Token target_token) {
  Task& task = tasks_[id.raw];
  if (task.running != token) return;
  task.running = Token{0};
  --running_;
  leases_.end_act(now, task.name, token);
  switch (outcome) {
  case TaskOutcome::done:
    ++task.done;
    task.failures = 0;
    task.backoff = 0;
    task.last_done_token = std::max(task.last_done_token, token);
    record_done(now, task, now);
    actions_.notify_done(id, token);
    return;
  case TaskOutcome::refused:
    ++task.refused;
    leases_.refused_by_target(now, task.name, target_token);
    return;
  case TaskOutcome::failed:
  case TaskOutcome::unknown:
    ++task.failed;
    task.next = now + task.period; // a failed task is not retried sooner
    if (++task.failures < max_consecutive_failures || draining_) return;
    task.failures = 0;
    task.backoff = std::clamp(2 * task.backoff, initial_backoff_periods * task.period,
                              max_backoff_periods * task.period);
    task.backoff_until = now + task.backoff;
    leases_.drop(now, task.name);
    actions_.released_after_failures(id, task.backoff);
    return;
  }
}

void Tasks::completed_elsewhere(Nanos now, std::string_view name, Token token, Nanos ago) {
  for (Task& task : tasks_) {
    if (task.name != name) continue;
    // Ignores a late report of an earlier holder, and an impossible time.
    if (token < task.last_done_token || ago < 0 || ago > now) return;
    task.last_done_token = token;
    if (now - ago > task.last) record_done(now, task, now - ago);
    return;
  }
}

void Tasks::leave(Nanos) { draining_ = true; }

Nanos Tasks::next_wake() const {
  Nanos next = -1;
  if (draining_ || running_ >= max_concurrent_) return next;
  for (const Task& task : tasks_) {
    if (task.running.raw != 0 || (task.startable_from < 0 && task.backoff_until < 0)) continue;
    const Nanos at = task.backoff_until >= 0 ? task.backoff_until : std::max(task.next, task.startable_from);
    if (next < 0 || at < next) next = at;
  }
  return next;
}

// Highest priority first; among equals the one that has been due longest, or the first of many would starve
// the others.
void Tasks::due(Nanos now) {
  if (draining_) return;
  std::vector<std::uint32_t> ready;
  for (std::uint32_t t = 0; t < tasks_.size(); ++t) {
    Task& task = tasks_[t];
    if (task.backoff_until >= 0 && now >= task.backoff_until) {
      task.backoff_until = -1;
      leases_.acquire(now, task.name);
    }
    if (task.running.raw == 0 && task.startable_from >= 0 && now >= task.startable_from && now >= task.next)
      ready.push_back(t);
  }
  std::sort(ready.begin(), ready.end(), [this](std::uint32_t a, std::uint32_t b) {
    const Task &left = tasks_[a], &right = tasks_[b];
    return std::tuple(-left.priority, left.next, a) < std::tuple(-right.priority, right.next, b);
  });
  for (const std::uint32_t t : ready) {
    if (running_ >= max_concurrent_) break; // the others wait until a running task ends
    Task& task = tasks_[t];
    refill(now, task);
    if (task.max_per_hour > 0 && task.tokens < 1) {
      task.next = now + static_cast<Nanos>((1 - task.tokens) * hour / task.max_per_hour) + 1;
      continue;
    }
    const Token token = leases_.begin_act(now, task.name, task.limit);
    if (token.raw == 0) {
      task.startable_from = -1; // it would not end within the holding; it will after the next renewal
      continue;
    }
    task.tokens -= task.max_per_hour > 0 ? 1 : 0;
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
