// How a cost goes with a size: value = factor * size^exponent, by least squares over the logarithms of
// repeated measurements, with the interval that holds the exponent nineteen times of twenty as if what is
// left over were normal.
//
// Errors: `slope_of` throws std::invalid_argument where there are fewer than three sizes, or one that is not
// over 0. A value of 0 or less counts as `least`, what can just be told apart.
#pragma once

#include <cstddef>
#include <vector>

namespace cometshift::scale {

struct Measured {
  double size;
  double value;
};

struct Slope {
  double factor = 0;
  double exponent = 0, low = 0, high = 0;
  double smallest = 0, largest = 0; // sizes that ran
  std::size_t sizes = 0, runs = 0;
  double at(double size) const; // over `largest` it is an extrapolation, and is to be called one
};

Slope slope_of(const std::vector<Measured>& all, double least = 1e-9);

} // namespace cometshift::scale
