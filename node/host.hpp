// The real server: one module behind sockets. Owns the ops that came, the results kept for repeats, the
// timers and the loop; decides nothing.
#pragma once

#include "announce.hpp"
#include "choice.hpp"
#include "front.hpp"
#include "interpreter.hpp"
#include "records.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>

namespace cometshift {

class Host final : Server, Front::Taker, Interpreter::Taker {
 public:
  // As read by configuration.hpp. With the path that it was read from, a hang-up signal reads it again.
  explicit Host(const Given& given, std::string path = {});
  void serve(); // returns once a drain is over; SIGTERM and SIGINT begin one
  bool poll();  // what is ready, without waiting, for a loop of another's; false once a drain is over
  void stop();  // drain now, as at the signal
  void reload(const Given& given); // go over to its addresses; all else stays as it is

 private:
  // What is remembered under a key: which try holds it, which ran, and what came of that.
  struct Kept {
    OpId holder;
    OpId ran = no_op;
    Nanos until = 0;    // of arrival of repeats
    Nanos ended_at = 0; // of the run
    enum class State { held, running, done, failed } state = State::held;
    bool proven = false; // the interpreter knows it: its run was heard of
    std::string result;
    std::vector<OpId> waiting;                       // ops to be answered with the result
    std::multimap<Nanos, std::string>::iterator end; // when to look whether this is over
  };
  struct Op {
    Line line;
    OpTypeId type;
    std::string body;
    std::string key; // empty: none
    Nanos door = 0;
    bool answered = false;
    bool reusing = false;
    enum class Run { none, wanted, sent, over } run = Run::none;
    std::uint64_t run_known = 0; // an answer to this question proves that the start was read
    bool never_begun = false;    // of an op that waits: what it repeats was not
    int starts = 0;              // sent
    bool heard = false;          // the run has been heard of
    bool at_call = false;
    std::string call;                 // what the run wants to ask below
    std::optional<std::string> reply; // to its call, kept while the link is down
    Nanos answered_at = 0;
  };

  // The module's orders.
  void run(OpId op) override;
  void nack(OpId op, bool no_retry, Nanos stay_away) override;
  void fail(OpId op) override;
  void call(OpId op, Nanos time_out) override;
  void answer_without(OpId op) override;
  void keep_key(OpId op, Nanos lifetime) override;
  void forget_key(OpId op) override;
  void reuse(OpId op) override;
  void halt(OpId op) override;
  void health(bool good, bool from_store) override;
  void tell_callers(double value) override;
  void idle_close(Nanos after) override;
  void wake_at(Nanos at, WakeId name) override;
  void log(std::string_view words) override;
  void pace(Pace what, Nanos time) override;
  void when_full(std::span<const Way> order, int strikes) override;
  void close_doors() override;

  // What the sockets bring.
  void op_came(Line line, OpId id, OpTypeId type, TenantId tenant, CallerId caller, Nanos door, Nanos limit,
               double held_kb, double rank, std::string_view mark, std::string_view subject,
               std::string_view body) override;
  void line_lost(Line line) override;
  void machine_up(Nanos since) override;
  void caught_up(std::uint64_t heard) override;
  void run_over(OpId id, Outcome outcome, Nanos lag, std::string result) override;
  void call_wanted(OpId id, std::string body) override;
  void gauges(std::span<const double> values) override;
  void not_carried_out(OpId id, std::string_view command) override;

  Nanos now();
  void turn();
  void arm();
  void due();
  bool over() const;
  void await_hang_up();
  void call_over(OpId id, Nanos begun, Outcome outcome, std::string reply);
  void send_run(OpId id, Op& op);
  Op* open(OpId id); // null if it is answered already
  void answered(OpId id, Op& op);
  void release(OpId id);   // forgets an op of which nothing is left to do
  Kept* entry_of(OpId id); // under its key, whoever holds it; null if there is none
  bool contested(const std::string& key) const;
  OpId earlier_of(const std::string& key, bool keyed, Nanos door);
  void settle(Kept& entry, Kept::State state, std::string result);
  void unbegun(Kept& entry);
  void erase(const std::string& key);
  void finish_reused();
  void forget_old();
  void settle_strays();

  asio::io_context io_;
  asio::signal_set signals_;
  asio::signal_set hang_ups_;
  std::string path_; // of the configuration; empty: not told
  asio::steady_timer timer_;
  Front::Names names_;
  std::vector<Repeats> repeats_;
  std::vector<Nanos> op_timeouts_;
  Nanos fresh_for_;
  Nanos longest_ = 0; // op timeout
  Nanos until_kill_;

  std::map<OpId, Op> ops_;
  std::map<ConnectionId, std::map<StreamId, OpId>> lines_; // of the ops not answered, by connection
  std::map<std::string, Kept> keys_;                       // entries of one mark stand together
  std::multimap<Nanos, std::string> key_ends_;             // one for each of them
  std::size_t result_bytes_ = 0;
  std::size_t most_results_;
  std::size_t most_ops_;
  std::size_t most_keys_;
  std::vector<OpId> reused_; // to be answered after the module has returned

  using Wake = std::pair<Nanos, std::uint64_t>;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> wakes_;
  Nanos armed_ = 0;
  std::vector<double> gauges_;
  Nanos asked_at_ = 0;
  Nanos asked_for_ = 0;    // the wake-up that the gauges were asked for
  Nanos lead_ = 1'000'000; // of that question before the wake-up: a round trip and room
  Nanos stray_rest_ = 0;
  Nanos looked_at_ = 0; // for starts that came to nothing
  Nanos now_ = 0;
  Nanos shift_ = 0; // of our clock against the system's, which may be set back
  bool now_known_ = false;
  bool up_before_ = false;
  bool draining_ = false;
  bool doors_closed_ = false;

  Front front_;
  Interpreter interpreter_;
  Records records_;
  Announce announce_;
  std::unique_ptr<Choice> choice_;
};

} // namespace cometshift
