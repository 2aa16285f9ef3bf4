// Periodic tasks of the fleet: each task is run by the holder of its lease, at most once at a time, once per
// period, under the lease's token. Logic only, as leases.hpp: no I/O, no clock; each call passes the current
// time, and actions are requested through `TaskActions`. docs/leases.md states which guarantee holds for
// which kind of target.
//
// A due task is started only if its time limit ends within the holding; if several are due, the highest
// priority goes first. A member that fails a task several times in a row releases its lease for a while, so
// that another member tries: the target may be unreachable from this server only.
//
// Errors: the constructor throws std::invalid_argument naming an invalid setting.
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

using TaskId = Id<struct TaskIdTag, std::uint32_t>; // index into the tasks

// How a task ended; unknown: it may have taken effect.
enum class TaskOutcome { done, failed, unknown, refused };
std::string_view to_text(TaskOutcome outcome);

// What a `Tasks` object asks its owner to do.
class TaskActions {
 public:
  virtual ~TaskActions() = default;
  // Run the task now, within `limit`; its end is reported by `Tasks::ended`.
  virtual void begin(TaskId task, Token token, Nanos limit) = 0;
  // Notify all other members that it was just done.
  virtual void notify_done(TaskId task, Token token) = 0;
  // The lease was released after failures and is requested again after the delay.
  virtual void released_after_failures(TaskId task, Nanos backoff) = 0;
};

// The periodic tasks as seen by one member.
class Tasks {
 public:
  // `settings`, for each task from 0 on, durations in ns:
  // - task.N.name: also the name of its lease
  // - task.N.every: the period; task.N.limit: the longest run time, at most the period
  // - task.N.priority: greater ones first; default 0
  // - task.N.most_an_hour: how often this member may start it an hour; 0: no limit
  // - task.N.catch_up: 1: missed periods are made up for one after the other, up to a limit
  // - tasks.at_once: tasks that this member runs concurrently
  Tasks(Nanos now, const Settings& settings, Leases& leases, TaskActions& actions);

  // Lease changes: the time from which tasks may run under the lease, or its loss.
  void held(std::string_view lease, Nanos from);
  void lost(std::string_view lease);
  // A task ended. `target_token`: the token that the target knows, if it refused.
  void ended(Nanos now, TaskId task, Token token, TaskOutcome outcome, Token target_token);
  // Another member reports that it completed the task `ago` earlier.
  void completed_elsewhere(Nanos now, std::string_view name, Token token, Nanos ago);
  void leave(Nanos now); // no task is started after this

  Nanos next_wake() const; // -1: none, unless a lease changes
  void due(Nanos now);

  struct Status { // of a task
    std::string name;
    bool running = false;
    Nanos limit = 0, last = -1, next = 0;
    std::uint64_t begun = 0, done = 0, failed = 0, refused = 0, missed = 0;
  };
  std::vector<Status> status() const;
  const std::string& name(TaskId task) const { return tasks_[task.raw].name; }

 private:
  struct Task {
    std::string name;
    Nanos period, limit;
    int priority;
    double max_per_hour;
    bool catch_up;
    double tokens = 0; // token bucket of the hourly limit
    Nanos refilled_at = 0;
    Token running{0};          // 0: not running
    Nanos last = -1;           // last completion that this member knows of
    Nanos next = 0;            // time when it is due
    Token last_done_token{0};  // the greatest token under which it was done
    int failures = 0;          // consecutive
    Nanos startable_from = -1; // -1: the lease is not held, or its next renewal has to come first
    Nanos backoff_until = -1;  // the lease is released until then; -1: it is requested
    Nanos backoff = 0;
    std::uint64_t begun = 0, done = 0, failed = 0, refused = 0, missed = 0;
  };
  void record_done(Nanos now, Task& task, Nanos at);
  void refill(Nanos now, Task& task);

  Leases& leases_;
  TaskActions& actions_;
  std::vector<Task> tasks_;
  int max_concurrent_, running_ = 0;
  bool draining_ = false;
};

} // namespace cometshift
