// What is asked for, by whom and when: arrivals of requests in an open loop, and what a client does with an
// answer. No I/O, no clock; chance is the seed's. The loop (callers.hpp) sends what it says.
#pragma once

#include "ids.hpp"
#include "pcg.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cometshift::load {

struct Kind { // of ops
  std::string name;
  double part = 1;       // of the requests
  double work_us = 1000; // of a core, in the mean
  int calls = 0;
  double importance = 1;
  Nanos target = 0, limit = 0;
  bool keyed = false;
};

using RequestId = Id<struct RequestIdTag, std::uint64_t>; // of a client: all its tries are of one

struct Request {
  RequestId id;
  std::size_t kind = 0;
  std::uint32_t tenant = 0;
  std::uint32_t caller = 0;
  std::string mark;   // of keyed ones
  double work_us = 0; // drawn
  double rank = 0;
  double kb = 0;
  Nanos asked = 0; // when the client did
  int tries = 0;
  int client_tries = 0;
  bool over = false;
};

class Demand {
 public:
  struct Figures {
    double rate = 100; // requests a second
    std::uint32_t callers = 4;
    std::vector<double> tenants{1}; // parts
    int client_tries = 2;           // more, by the client itself
    bool heeds = true;              // advice to stay away
  };
  Demand(std::uint64_t seed, Figures figures, std::vector<Kind> kinds);

  Nanos next_at() const { return next_; } // of the next request; from the beginning
  Request& arrive();                      // it; it comes now
  void rate(double times) { factor_ = times; }
  void resend(double part) { resend_ = part; }

  enum class Answer { served, refused, failed, none };
  struct Next {
    bool again = false;
    Nanos after = 0;
  };
  // What comes after a try's end, `now` from the beginning: it may be tried again, which counts.
  Next after(Request& request, Answer answer, Nanos now, Nanos retry_after, bool not_elsewhere);
  std::uint64_t next_txn() { return static_cast<std::uint64_t>(chance_.next()) << 32 | (chance_.next() | 1); }

  const std::vector<Kind>& kinds() const { return kinds_; }
  Request* find(RequestId id);
  void forget(RequestId id) { requests_.erase(id); }

 private:
  std::size_t draw(const std::vector<double>& parts);
  void plan_next(Nanos from);

  Pcg chance_;
  Figures figures_;
  std::vector<Kind> kinds_;
  std::map<RequestId, Request> requests_;
  std::uint64_t last_ = 0;
  double factor_ = 1;
  double resend_ = 0;
  Nanos next_ = 0;
};

} // namespace cometshift::load
