#include "slope.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <stdexcept>

namespace cometshift::scale {

namespace {

// Student's t of nineteen in twenty, by degrees of freedom from 1; beyond the table the normal's.
constexpr double student[] = {12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
                              2.20,  2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09};
constexpr double normal = 1.96;

double quantile(std::size_t freedom) {
  if (freedom == 0) return 0; // a line through two points says nothing of itself
  return freedom <= std::size(student) ? student[freedom - 1] : normal;
}

} // namespace

double Slope::at(double size) const { return factor * std::pow(size, exponent); }

Slope slope_of(const std::vector<Measured>& all, double least) {
  std::set<double> sizes;
  double xs = 0, ys = 0;
  for (const Measured& one : all) {
    if (!(one.size > 0)) throw std::invalid_argument("slope: a size that is not over 0");
    sizes.insert(one.size);
    xs += std::log(one.size);
    ys += std::log(std::max(one.value, least));
  }
  if (sizes.size() < 3) throw std::invalid_argument("slope: fewer than three sizes");
  const auto n = static_cast<double>(all.size());
  const double mx = xs / n, my = ys / n;
  double xx = 0, xy = 0;
  for (const Measured& one : all) {
    const double x = std::log(one.size) - mx;
    xx += x * x;
    xy += x * (std::log(std::max(one.value, least)) - my);
  }
  Slope slope;
  slope.exponent = xy / xx;
  slope.factor = std::exp(my - slope.exponent * mx);
  slope.smallest = *sizes.begin();
  slope.largest = *sizes.rbegin();
  slope.sizes = sizes.size();
  slope.runs = all.size();
  double squares = 0;
  for (const Measured& one : all) {
    const double off = std::log(std::max(one.value, least)) - std::log(slope.at(one.size));
    squares += off * off;
  }
  const double half = quantile(all.size() - 2) * std::sqrt(squares / (n - 2) / xx);
  slope.low = slope.exponent - half;
  slope.high = slope.exponent + half;
  return slope;
}

} // namespace cometshift::scale
