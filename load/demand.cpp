#include "demand.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cometshift::load {

namespace {
constexpr double second_ns = 1e9;
constexpr Nanos ms = 1'000'000;
constexpr double least_work = 0.4, more_work = 1.2; // of the mean: even between them, so the mean stays
constexpr double least_kb = 8, more_kb = 50;
constexpr Nanos client_rest = 150 * ms; // before a client asks again, once more as long each time
constexpr Nanos resend_rest = 5 * ms;   // of a balancer that resends without limit: a round trip
} // namespace

Demand::Demand(std::uint64_t seed, Figures figures, std::vector<Kind> kinds)
    : chance_(seed), figures_(std::move(figures)), kinds_(std::move(kinds)) {
  plan_next(0);
}

void Demand::plan_next(Nanos from) {
  const double mean = second_ns / std::max(1e-6, figures_.rate * factor_);
  next_ = from + static_cast<Nanos>(-std::log(1 - chance_.unit()) * mean);
}

std::size_t Demand::draw(const std::vector<double>& parts) {
  double sum = 0;
  for (const double part : parts) sum += part;
  double at = chance_.unit() * sum;
  for (std::size_t i = 0; i < parts.size(); ++i)
    if ((at -= parts[i]) < 0) return i;
  return parts.size() - 1;
}

Request& Demand::arrive() {
  Request request;
  request.id = RequestId{++last_};
  std::vector<double> parts;
  for (const Kind& kind : kinds_) parts.push_back(kind.part);
  request.kind = draw(parts);
  const Kind& kind = kinds_[request.kind];
  request.tenant = static_cast<std::uint32_t>(draw(figures_.tenants));
  request.caller = chance_.next() % std::max(1u, figures_.callers);
  request.work_us = kind.work_us * (least_work + more_work * chance_.unit());
  request.rank = chance_.unit() * 0.999;
  request.kb = least_kb + more_kb * chance_.unit();
  request.asked = next_;
  request.tries = request.client_tries = 1;
  if (kind.keyed) {
    char mark[40];
    std::snprintf(mark, sizeof mark, "%08x%08x%016llx", chance_.next(), chance_.next(),
                  static_cast<unsigned long long>(last_));
    request.mark = mark;
  }
  plan_next(next_);
  return requests_.emplace(request.id, std::move(request)).first->second;
}

Request* Demand::find(RequestId id) {
  const auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

// A balancer that resends does so at once and on the client's account; then the client asks by itself,
// rested, while there is time and while it was not told that nothing else will help.
Demand::Next Demand::after(Request& request, Answer answer, Nanos now, Nanos retry_after,
                           bool not_elsewhere) {
  const Kind& kind = kinds_[request.kind];
  const Nanos left = request.asked + kind.limit - now;
  if (answer == Answer::served || left <= 0) return {};
  if (answer == Answer::failed && kind.keyed) return {};
  if (answer == Answer::refused && chance_.unit() < resend_ && left > resend_rest) {
    ++request.tries;
    return {true, resend_rest};
  }
  if (request.client_tries > figures_.client_tries ||
      (not_elsewhere && figures_.heeds && answer == Answer::refused && kind.limit / 2 > left))
    return {};
  Nanos rest = client_rest * request.client_tries + static_cast<Nanos>(chance_.unit() * client_rest);
  if (figures_.heeds) rest = std::max(rest, retry_after);
  if (rest >= left) return {};
  ++request.tries;
  ++request.client_tries;
  return {true, rest};
}

} // namespace cometshift::load
