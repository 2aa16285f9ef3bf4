// Case: bookings that are read as the machine goes on after a pause come again near the end of their window.
#include "../kit/kit.hpp"

#include <random>

using namespace kit;

namespace {

constexpr int window_ms = 18276;      // of bookings, as the site has it
constexpr int comes_again_ms = 18100; // after it was first sent
constexpr double rate = 500;          // reads a second
constexpr int pauses = 20, pause_every_ms = 3000, pause_ms = 490;

} // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1], temporary = argv[2];
  Record record(folder + "/record.txt");
  Platform platform;
  const std::string host = own_host();
  Interpreter interpreter(platform, record, host);
  HttpService records(host, records_reply), announce(host, announce_reply);
  Site site;
  const int port = free_port(host);
  const std::string listen = host + ":" + std::to_string(port);
  Server server(write_configuration(
                    temporary, configuration(site, listen, interpreter.at(), announce.at(), records.at())),
                temporary + "/server.log");
  for (int i = 0; i < 200 && !interpreter.linked(); ++i) sleep_ms(50);
  if (!interpreter.linked() || !server.running()) cannot_run("the server did not come up");
  sleep_ms(300);

  std::mutex mutex;
  std::multimap<std::int64_t, Try> again; // further tries that are due, by time
  const auto lost_answer = [&](const Try& one) {
    if (!one.excused || one.verb != "booking") return; // its answer was lost: the client asks again
    Try next;
    next.verb = one.verb;
    next.mark = one.mark;
    next.body = one.body;
    next.run_ms = one.run_ms;
    next.limit = one.limit;
    std::lock_guard lock(mutex);
    again.emplace(one.door + comes_again_ms, next);
  };
  std::vector<std::unique_ptr<Balancer>> balancers;
  for (int b = 1; b <= 10; ++b)
    balancers.push_back(std::make_unique<Balancer>(platform, record, b, host, port, lost_answer));
  std::minstd_rand random(1);
  const auto new_id = [&] {
    std::lock_guard lock(platform.mutex);
    return platform.new_id();
  };
  const auto read = [&] {
    Try one;
    one.id = new_id();
    one.verb = "bay-check";
    one.body = "request " + one.id;
    one.limit = 3600;
    one.run_ms = 2;
    return one;
  };
  const auto booking = [&] {
    Try one;
    one.id = new_id();
    one.verb = "booking";
    one.mark = "5c0f6e1a2b3d4c59" + one.id;
    one.body = "request " + one.id;
    one.limit = 6100;
    one.run_ms = 20;
    return one;
  };

  const std::int64_t begin = unix_ms();
  std::int64_t last = begin, next_pause = begin + 2000, reset_at = 0;
  double owed = 0;
  int paused = 0;
  const std::int64_t end = begin + 2000 + pauses * pause_every_ms + comes_again_ms + 1500;
  while (unix_ms() < end && server.running()) {
    const std::int64_t now = unix_ms();
    owed += rate * static_cast<double>(now - last) / 1000;
    last = now;
    for (; owed >= 1; --owed) {
      balancers[2 + random() % 8]->send_try(read());
    }
    std::vector<Try> due;
    {
      std::lock_guard lock(mutex);
      while (!again.empty() && again.begin()->first <= now) {
        due.push_back(again.begin()->second);
        again.erase(again.begin());
      }
    }
    for (Try& one : due) {
      one.id = new_id();
      balancers[2 + random() % 8]->send_try(one);
    }
    if (reset_at > 0 && now >= reset_at) {
      reset_at = 0;
      for (int b = 0; b < 2; ++b) balancers[static_cast<std::size_t>(b)]->reset_at_next_answer();
    }
    if (now < next_pause || paused >= pauses) {
      std::this_thread::sleep_for(std::chrono::microseconds(200 + random() % 800));
      continue;
    }
    next_pause += pause_every_ms;
    ++paused;
    // A burst of reads, in the middle of which the machine stands still. Nothing is written to the server and
    // no run goes on until the pause is over.
    for (int n = 0; n < 160; ++n) balancers[2 + static_cast<std::size_t>(n) % 8]->send_try(read());
    if (trouble()) {
      server.signal(SIGSTOP);
      interpreter.stand_still(true);
      record.line("the machine stands still");
      sleep_ms(pause_ms);
      interpreter.stand_still(false);
    }
    std::vector<Try> first, second;
    for (int n = 0; n < 6; ++n) {
      first.push_back(booking());
      second.push_back(booking());
    }
    balancers[0]->send_batch(std::move(first), [&] {
      if (trouble()) server.signal(SIGCONT); // the machine goes on
    });
    balancers[1]->send_batch(std::move(second), [] {});
    if (trouble()) record.line("the machine goes on");
    last = unix_ms();
    reset_at = unix_ms() + 10;
  }
  sleep_ms(500);
  const bool crashed = !server.running();

  // No try that is written within the window, counted from the door of the try that ran, may be run.
  int sent = 0, repeats = 0, twice = 0;
  std::lock_guard lock(platform.mutex);
  std::map<std::string, std::vector<const Try*>> by_mark;
  for (const auto& [id, one] : platform.tries) {
    ++sent;
    if (!one.mark.empty()) by_mark[one.mark].push_back(&one);
  }
  for (const auto& [mark, tries] : by_mark)
    for (const Try* first : tries)
      for (const Try* later : tries) {
        if (!first->ran_at || later->door <= first->ran_at || later->door > first->door + window_ms) continue;
        ++repeats;
        if (!later->ran_at) continue;
        ++twice;
        record.line("RUN TWICE mark %s: %s and, %lld ms later, %s", mark.c_str(), first->id.c_str(),
                    static_cast<long long>(later->door - first->door), later->id.c_str());
      }
  const bool broken = twice > 0 || crashed;
  char text[256];
  std::snprintf(
      text, sizeof text,
      "sent %d, pauses %d, tries within the window of bookings that had run %d, of these run again %d%s",
      sent, trouble() ? paused : 0, repeats, twice, crashed ? "; the server crashed" : "");
  record.line("%s", text);
  std::printf("%s: %s\n", text, broken ? "the rule is broken" : "the rule held");
  std::fflush(stdout);
  record.flush();
  server.signal(SIGKILL);
  while (server.running()) sleep_ms(5);
  std::_Exit(broken ? 1 : 0);
}
