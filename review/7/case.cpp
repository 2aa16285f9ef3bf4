// Case 7: a booking that has run is turned away when it comes again, once the table of keys is full.
// One server with 32 MB under the fast day's load; balancers' connections are reset as answers come, and the
// bookings that were open on them come again three seconds later. Usage: see run.sh.
#include "../kit-2/stand.hpp"

using namespace stand;

namespace {

constexpr double load_ms = 14'000;      // how long new requests come
constexpr double tries_a_second = 1100; // first tries; the page: six times 190
constexpr double booking_share = 0.38;
constexpr Millis window = 18'276;
constexpr Millis booking_limit = 6'100, check_limit = 3'600;
constexpr double reset_from = 6'000, reset_every = 700; // ms; one balancer's connection each
constexpr int resets = 5;
constexpr double again_after = 3'000; // ms from the reset to the next try
constexpr int balancers = 12;

struct Booking {
  std::string unique, body;
  std::vector<std::string> txns;
  std::vector<Millis> doors;
};

std::string config(const Address& listen, const Address& vm, const Address& announce,
                   const Address& records) {
  return "{\"name\":\"n1\",\"listen\":\"" + listen.text() + "\",\"vm\":\"" + vm.text() +
         "\",\"announce\":\"" + announce.text() + "\",\"records\":\"" + records.text() +
         "\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,"
         "\"limits\":{\"cores\":1.0,\"memory_mb\":32,\"sockets\":384},"
         "\"settings\":{\"fleet_size\":4,\"value_by\":\"request\",\"over_share_worth\":0.05,"
         "\"family_info\":{\"callers\":4,\"cpus\":6,\"mem_limit_kb\":13000.0,\"run_factor\":4.0,\"key_kb\":0."
         "33,"
         "\"below\":\"none\",\"calls_by_class\":[false,false],\"cold\":false,\"say\":\"none\","
         "\"heeded_ns\":1000000000,\"idle_ns\":30000000000,"
         "\"gauges\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"],\"halt\":\"none\",\"passes_"
         "deadline\":true},"
         "\"categories\":["
         "{\"name\":\"bay-check\",\"importance\":1,\"target_ns\":1400000000,\"deadline_ns\":3600000000,"
         "\"effect\":\"read_like\"},"
         "{\"name\":\"booking\",\"importance\":2,\"target_ns\":2400000000,\"deadline_ns\":6100000000,"
         "\"effect\":\"idempotency_key\",\"key_ttl_ns\":18276000000}],"
         "\"parties\":[],"
         "\"invariants\":{\"drain_grace_ns\":2000000000,\"fall_multiple\":8.0},"
         "\"limits\":{\"retry_after\":true,\"max_retry_after_ns\":1000000000},\"clients\":{\"marks_retry\":"
         "false}}}";
}

} // namespace

int main(int argc, char** argv) {
  const Arguments args = arguments(argc, argv);
  record_each = true;
  Loop loop;
  Interpreter interpreter(loop);
  Announce announce(loop);
  Records records(loop);
  Server server(args.run, args.folder);
  server.listen = free_address(own_host());
  server.start(config(server.listen, interpreter.address(), announce.address(), records.address()));
  if (!loop.until([&] { return interpreter.linked() && announce.reports > 0; }, 10'000))
    cannot_run("the server did not come up");
  loop.run_for(300);

  std::map<std::string, Booking> bookings; // by mark
  std::map<std::string, std::string> mark_of;
  std::map<std::string, Millis> door_of;
  std::uint64_t served = 0, refused = 0, failed = 0, first_refused = 0, turned_away = 0, again = 0,
                again_served = 0, again_failed = 0, number = 0;
  std::vector<std::unique_ptr<Balancer>> all;
  bool reset_next = false;
  const auto send = [&](Balancer& b, const Try& t) {
    door_of[t.txn] = t.door;
    b.send(t);
  };
  std::function<void(std::size_t)> open_balancer = [&](std::size_t at) {
    all[at] = std::make_unique<Balancer>(loop, interpreter, server.listen, static_cast<int>(at));
    Balancer& b = *all[at];
    if (!b.connection) return;
    b.on_answer = [&, at](const std::string& txn, const Answer& answer) {
      const auto mark = mark_of.find(txn);
      if (reset_next && mark != mark_of.end() && answer.code == 0) {
        // The connection is reset as this answer comes: it is lost, with all else open on the connection.
        reset_next = false;
        Balancer& mine = *all[at];
        std::vector<std::string> lost{txn};
        for (const auto& [stream, other] : mine.open) lost.push_back(other);
        record("balancer %zu: its connection is reset as the answer to %s comes", at, txn.c_str());
        mine.connection->reset();
        for (const std::string& one : lost) {
          interpreter.request_over(one);
          const auto its = mark_of.find(one);
          if (its == mark_of.end()) continue;
          const std::string unique = its->second;
          loop.after(again_after, [&, unique] {
            Booking& booking = bookings.at(unique);
            const std::string next = hex16(0x7000000000000000ull + ++number);
            for (auto& other : all)
              if (other->usable()) {
                booking.txns.push_back(next);
                booking.doors.push_back(unix_ms());
                mark_of[next] = unique;
                ++again;
                record("booking %s comes again as %s; run so far: %d", unique.c_str(), next.c_str(),
                       interpreter.begun.count(booking.txns.front()) ? 1 : 0);
                send(*other, {"booking", next, unique, "", booking.body, "", booking.doors.back(),
                              booking_limit, 20});
                return;
              }
          });
        }
        return;
      }
      served += answer.code == 0;
      refused += answer.code == 14;
      failed += answer.code == 2;
      if (mark == mark_of.end()) return;
      const Booking& booking = bookings.at(mark->second);
      if (txn == booking.txns.front()) {
        first_refused += answer.code == 14;
        return;
      }
      again_served += answer.code == 0;
      again_failed += answer.code == 2;
      if (answer.code != 14) return;
      // Refused: had an earlier try of it run, within the window?
      for (std::size_t i = 0; i < booking.txns.size() && booking.txns[i] != txn; ++i)
        if (interpreter.begun.count(booking.txns[i]) && door_of[txn] <= booking.doors[i] + window) {
          ++turned_away;
          record("TURNED AWAY: booking %s as %s, %lld ms after %s, which has run", booking.unique.c_str(),
                 txn.c_str(), static_cast<long long>(door_of[txn] - booking.doors[i]),
                 booking.txns[i].c_str());
          break;
        }
    };
  };
  all.resize(balancers);
  for (std::size_t i = 0; i < balancers; ++i) open_balancer(i);

  if (args.trouble)
    for (int i = 0; i < resets; ++i) loop.after(reset_from + i * reset_every, [&] { reset_next = true; });
  const double began = steady_ms();
  std::uint64_t sent = 0, sent_bookings = 0;
  double shown = 0;
  std::size_t turn = 0;
  while (steady_ms() - began < load_ms + 4'000) {
    const double now = steady_ms() - began;
    while (now < load_ms && static_cast<double>(sent) < now / 1000 * tries_a_second) {
      std::size_t at = 0;
      for (std::size_t k = 0; k < all.size(); ++k)
        if (at = ++turn % all.size(); all[at]->usable()) break;
      if (!all[at]->usable()) {
        for (std::size_t k = 0; k < all.size(); ++k)
          if (!all[k]->connection || !all[k]->connection->open) open_balancer(k);
        break;
      }
      ++sent;
      const bool booking = static_cast<double>(sent_bookings) < booking_share * static_cast<double>(sent);
      Try t{booking ? "booking" : "bay-check",
            hex16(0x1000000000000000ull + ++number),
            "",
            "",
            "w=2;r=64;",
            "",
            unix_ms(),
            booking ? booking_limit : check_limit,
            20};
      if (booking) {
        ++sent_bookings;
        t.unique = hex16(number * 0x9e3779b97f4a7c15ull) + hex16(number);
        t.body += "booking " + t.unique;
        bookings[t.unique] = {t.unique, t.body, {t.txn}, {t.door}};
        mark_of[t.txn] = t.unique;
      }
      send(*all[at], t);
    }
    loop.turn(1);
    if (now - shown >= 1000) {
      shown = now;
      record("%llu first tries (%llu bookings), %llu served, %llu refused (%llu bookings), %llu failed",
             static_cast<unsigned long long>(sent), static_cast<unsigned long long>(sent_bookings),
             static_cast<unsigned long long>(served), static_cast<unsigned long long>(refused),
             static_cast<unsigned long long>(first_refused), static_cast<unsigned long long>(failed));
      if (!server.alive()) break;
    }
  }
  record("most memory of the server: %ld KB", server.peak_kb());
  if (!server.alive()) finish(server, 1, "the server ended by itself");
  if (args.trouble && again == 0) cannot_run("no booking came again");
  char words[256];
  std::snprintf(words, sizeof words,
                "%llu bookings came again: %llu served, %llu failed, %llu turned away although they had run",
                static_cast<unsigned long long>(again), static_cast<unsigned long long>(again_served),
                static_cast<unsigned long long>(again_failed), static_cast<unsigned long long>(turned_away));
  finish(server, turned_away, words);
}
