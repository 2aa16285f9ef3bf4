// What tests of peers/ print: the orders of one Peers, and the words of messages.
#pragma once

#include "peers.hpp"

#include <cstdio>

using namespace cometshift;

struct SaidWords final : peer_codec::Listener {
  int taken = 0;
  bool quiet = false;
  std::uint64_t number = 0;
  Nanos beat = 100'000'000; // of the figures: a promise of it is not printed
  bool message(MemberId from, Incarnation, std::uint64_t n, std::uint64_t heard, Incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override {
    ++taken, number = n;
    if (!quiet) {
      std::printf("    letter %llu of member %u, heard %llu%s", static_cast<unsigned long long>(n), from.raw,
                  static_cast<unsigned long long>(heard), leaving ? ", leaving" : "");
      if (heartbeat.next_within != 0 && heartbeat.next_within != beat)
        std::printf(", next in %lld", static_cast<long long>(heartbeat.next_within / 1'000'000));
      if (heartbeat.requested_interval > 0)
        std::printf(", one in %lld will do",
                    static_cast<long long>(heartbeat.requested_interval / 1'000'000));
      std::printf("%s\n", heartbeat.isolated ? ", lonely" : "");
    }
    return true;
  }
  void word(const char* what, std::string_view lease, std::uint64_t figure, const char* more = "") {
    if (!quiet)
      std::printf("    %s %.*s %llu%s\n", what, static_cast<int>(lease.size()), lease.data(),
                  static_cast<unsigned long long>(figure), more);
  }
  void voters(MemberId, Epoch on_file, const VoterList& list) override {
    word("voters", "of epoch", list.epoch.raw, on_file < list.epoch ? ", not on file" : ", on file");
  }
  void asked(MemberId, Incarnation, Epoch, std::string_view lease, AskNo n, Token, Nanos) override {
    word("ask", lease, n.raw);
  }
  void released(MemberId, Incarnation, std::string_view lease, AskNo n) override {
    word("release", lease, n.raw);
  }
  void granted(MemberId, Incarnation, std::string_view lease, AskNo n, bool wanted) override {
    word("grant", lease, n.raw, wanted ? ", wanted" : "");
  }
  void refused(MemberId, Incarnation, std::string_view lease, AskNo n, Token, Nanos) override {
    word("refuse", lease, n.raw);
  }
  void done(MemberId, std::string_view task, Token token, Nanos) override { word("done", task, token.raw); }
  void control(MemberId, Incarnation, std::string_view bytes) override {
    word("control", "bytes", bytes.size());
  }
};

inline peer_codec::Sender speaker_of(std::uint32_t from, std::uint32_t to, std::uint64_t incarnation = 7) {
  return {"rig", MemberId{from}, MemberId{to}, Incarnation{incarnation}};
}

// Prints what is ordered; of messages, the words if asked to.
struct PrintedPeers final : PeerActions {
  std::uint32_t self = 1;
  Nanos now = 0;
  bool quiet = false, words_too = true;
  int messages = 0, dials = 0, hang_ups = 0;
  void line(const char* what, MemberId of) const {
    if (!quiet) std::printf("  %6lld %s %u\n", static_cast<long long>(now / 1'000'000), what, of.raw);
  }
  void dial(MemberId to) override { ++dials, line("dial", to); }
  void disconnect(MemberId to) override { ++hang_ups, line("hang up", to); }
  void send(MemberId to, std::string frame) override {
    ++messages;
    line("send to", to);
    SaidWords said;
    said.quiet = quiet || !words_too;
    if (!peer_codec::decode_message(std::string_view(frame).substr(9), speaker_of(self, to.raw), said))
      std::printf("    can't be read\n");
  }
  void peer_state_changed(MemberId of, PeerState before, PeerState after) override {
    if (!quiet)
      std::printf("  %6lld member %u: %s, %s before\n", static_cast<long long>(now / 1'000'000), of.raw,
                  std::string(to_text(after)).c_str(), std::string(to_text(before)).c_str());
  }
  void duplicate_member(MemberId number) override { line("two under the number", number); }
};
