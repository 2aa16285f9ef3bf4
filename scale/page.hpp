// A page whose figures come from kept rows (rows.hpp). Between `<!-- figures` and `-->` stands a template;
// what follows it up to `<!-- end of figures -->` is written from it. In a template, `{FILE ROW
// NAME=VALUE,... FIGURE FORM}` stands for one figure: the median over the rows of that kind in FILE whose
// settings are so ("-": any).
//
// FIGURE is a name among what a row got; or of a slope (a row that got NAME.exponent, NAME.factor, ...):
// - NAME@N: the slope's value at size N; marked where N is over the largest size that ran
// - NAME>L: the smallest size at which the slope passes L; marked likewise; "never" where it falls
// - NAME^: the exponent, with its interval
// FORM: `part` (of one, as percent), `bytes`, `s`, `ms`, `us` (a time in these), `count`, `x` (two digits),
// `text`.
//
// Errors: std::runtime_error naming the file, the line and what is missing or not understood.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cometshift::scale {

class Results {
 public:
  explicit Results(std::string folder) : folder_(std::move(folder)) {}
  // What one placeholder, without its braces, stands for.
  std::string figure(std::string_view words);

 private:
  struct Kept {
    std::string kind;
    std::map<std::string, std::string> set;
    std::map<std::string, double> numbers;
    std::map<std::string, std::string> texts;
  };
  const std::vector<Kept>& rows_of(const std::string& file);

  std::string folder_;
  std::map<std::string, std::vector<Kept>> files_;
};

std::string written(std::string_view page, Results& results); // the page as it is to be

} // namespace cometshift::scale
