#include "judge.hpp"

#include <algorithm>

namespace cometshift::fleet {

namespace {
constexpr Nanos ms = 1'000'000;
constexpr std::size_t max_examples = 8;
} // namespace

void ExclusionChecker::record_violation(std::uint64_t& count, Nanos now, const std::string& description) {
  ++count;
  if (findings_.examples.size() < max_examples)
    findings_.examples.push_back(std::to_string(now / ms) + " ms: " + description);
}

Token ExclusionChecker::greatest_token(const std::string& task) const {
  const auto at = tasks_.find(task);
  return at == tasks_.end() ? Token{0} : at->second.greatest;
}

unsigned ExclusionChecker::last_actor(const std::string& task) const {
  const auto at = tasks_.find(task);
  return at == tasks_.end() ? 0 : at->second.last;
}

std::size_t ExclusionChecker::begin_act(Nanos now, const std::string& name, bool fences, unsigned member,
                                        Token token) {
  Task& task = tasks_[name];
  const std::size_t number = acts_.size();
  acts_.push_back({name, member, token, now, -1, fences && token < task.greatest});
  if (acts_.back().refused) {
    acts_.back().ended = now;
    ++findings_.refused;
    return number;
  }
  ++findings_.acts;
  const std::string actor = name + ", member " + std::to_string(member);
  if (token < task.greatest)
    record_violation(findings_.token_regressions, now, actor + " acts under a smaller token than one before");
  const auto [holder, fresh] = task.holders.emplace(token, member);
  if (fresh) ++findings_.holdings;
  if (holder->second != member)
    record_violation(findings_.shared_tokens, now,
                     actor + " acts under the token of member " + std::to_string(holder->second));
  // A target that can refuse carries out an accepted act at the instant of acceptance, so a later act under a
  // greater token doesn't overlap it.
  if (!fences)
    for (const std::size_t other : task.open_acts)
      if (acts_[other].token != token)
        record_violation(findings_.concurrent_acts, now,
                         actor + " acts while member " + std::to_string(acts_[other].member) +
                             " does, since " + std::to_string((now - acts_[other].begun) / ms) + " ms");
  const Reachability& reachability = reachability_[member];
  if (!fences && reachability_known_ && !reachability.majority &&
      now - reachability.since > settings_.term + settings_.arrival_margin)
    record_violation(findings_.acts_without_majority, now,
                     actor + " acts, and reaches no majority since " +
                         std::to_string((now - reachability.since) / ms) + " ms");
  if (task.lost_at >= 0 && token > task.greatest) {
    gaps_.push_back(now - task.lost_at);
    task.lost_at = -1;
  }
  task.greatest = std::max(task.greatest, token);
  task.last = member;
  task.open_acts.push_back(number);
  return number;
}

void ExclusionChecker::end_act(Nanos now, std::size_t act) {
  Act& record = acts_[act];
  if (record.ended >= 0) return;
  record.ended = now;
  std::erase(tasks_[record.task].open_acts, act);
}

void ExclusionChecker::set_connectivity(Nanos now, const std::vector<std::vector<bool>>& receives_from) {
  for (unsigned m = 1; m <= settings_.members; ++m) {
    std::size_t heard = 0;
    for (const unsigned v : settings_.voters)
      heard +=
          v == m ? receives_from[m][m] : receives_from[m][v] && receives_from[v][m] && receives_from[v][v];
    const bool majority = receives_from[m][m] && 2 * heard > settings_.voters.size();
    if (majority != reachability_[m].majority) reachability_[m] = {majority, now};
  }
}

void ExclusionChecker::on_member_lost(Nanos now, unsigned member) {
  for (auto& [name, task] : tasks_)
    if (task.last == member && task.lost_at < 0) task.lost_at = now;
}

} // namespace cometshift::fleet
