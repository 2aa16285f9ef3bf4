// Periodic tasks of the whole fleet: each is done by whoever holds its lease, at most once at a time, in its
// period, under its token. Decides only, as leases.hpp does: no I/O, no clock, one time with each call; what
// is to be done goes out by `TaskActions`. docs/leases.md says which guarantee holds for which kind of
// target.
//
// A task that is due is begun only if its longest time ends within the holding, most important first, so many
// at once. Who fails at it several times in a row lets it go for a while, so that another tries: it may be
// this server alone that can't reach the target.
//
// Errors: the constructor throws std::invalid_argument with the name of a setting that is senseless.
#pragma once

#include "leases.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cometshift {

using TaskId = Id<struct TaskIdTag, std::uint32_t>; // index into the tasks

enum class TaskOutcome { done, failed, unknown, refused }; // unknown: it may have had its effect
std::string_view to_text(TaskOutcome outcome);

class TaskActions {
 public:
  virtual ~TaskActions() = default;
  // To be done now, over within `limit`; ends by `Tasks::ended`.
  virtual void begin(TaskId task, Token token, Nanos limit) = 0;
  // All others are to hear that it was done just now.
  virtual void notify_done(TaskId task, Token token) = 0;
  virtual void
  released_after_failures(TaskId task,
                          Nanos backoff) = 0; // let go after failures, asked for again after the rest
};

class Tasks {
 public:
  // `figures`, for each task from 0 on, spans in ns:
  // - task.N.name: also the name of its lease
  // - task.N.every: the period; task.N.limit: the longest that it takes, under the period
  // - task.N.priority: greater ones first; 0
  // - task.N.most_an_hour: how often this member may begin it; 0: no bound
  // - task.N.catch_up: 1: periods that were missed are done later, one after the other, some at the most
  // - tasks.at_once: that this member does at once
  Tasks(Nanos now, const Settings& settings, Leases& leases, TaskActions& actions);

  // What the leases have ordered: from when a lease may be acted under, or that it is gone.
  void held(std::string_view lease, Nanos from);
  void lost(std::string_view lease);
  void ended(Nanos now, TaskId task, Token token, TaskOutcome outcome,
             Token target_token); // seen: of a target that refused
  void completed_elsewhere(Nanos now, std::string_view name, Token token, Nanos ago);
  void leave(Nanos now); // begins none any more

  Nanos next_wake() const; // -1: none but by a change of what is held
  void due(Nanos now);

  struct Status {
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
    double tokens = 0; // of the bound an hour
    Nanos refilled_at = 0;
    Token running{0};         // 0: not
    Nanos last = -1;          // when it was done last, as far as this member has heard
    Nanos next = 0;           // when it is due
    Token last_done_token{0}; // the greatest under which it was done
    int failures = 0;         // in a row
    Nanos startable_from =
        -1; // it may be begun from then on; -1: not held, or not before the next word of its lease
    Nanos backoff_until = -1; // has let its lease go until then; -1: wants it
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
