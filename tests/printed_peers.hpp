// Printing for the tests of peers/: the actions of one Peers, and the items of messages.
#pragma once

#include "peers.hpp"

#include <cstdio>

using namespace cometshift;

// Prints the header and the items of a message.
struct PrintedItems final : peer_codec::Listener {
  int taken = 0;
  bool quiet = false;
  std::uint64_t number = 0;
  Nanos heartbeat_interval = 100'000'000; // of the settings; it is not printed where it is promised
  bool message(MemberId from, Incarnation, std::uint64_t n, std::uint64_t acked, Incarnation, bool leaving,
               const peer_codec::HeartbeatTerms& heartbeat) override {
    ++taken, number = n;
    if (!quiet) {
      std::printf("    message %llu of member %u, acks %llu%s", static_cast<unsigned long long>(n), from.raw,
                  static_cast<unsigned long long>(acked), leaving ? ", leaving" : "");
      if (heartbeat.next_within != 0 && heartbeat.next_within != heartbeat_interval)
        std::printf(", next in %lld", static_cast<long long>(heartbeat.next_within / 1'000'000));
      if (heartbeat.requested_interval > 0)
        std::printf(", requests one in %lld",
                    static_cast<long long>(heartbeat.requested_interval / 1'000'000));
      std::printf("%s\n", heartbeat.isolated ? ", isolated" : "");
    }
    return true;
  }
  void print_item(const char* text, std::string_view lease, std::uint64_t value, const char* suffix = "") {
    if (!quiet)
      std::printf("    %s %.*s %llu%s\n", text, static_cast<int>(lease.size()), lease.data(),
                  static_cast<unsigned long long>(value), suffix);
  }
  void voters(MemberId, Epoch on_file, const VoterList& list) override {
    print_item("voters", "of epoch", list.epoch.raw, on_file < list.epoch ? ", not on file" : ", on file");
  }
  void asked(MemberId, Incarnation, Epoch, std::string_view lease, AskNo n, Token, Nanos) override {
    print_item("ask", lease, n.raw);
  }
  void released(MemberId, Incarnation, std::string_view lease, AskNo n) override {
    print_item("release", lease, n.raw);
  }
  void granted(MemberId, Incarnation, std::string_view lease, AskNo n, bool wanted) override {
    print_item("grant", lease, n.raw, wanted ? ", wanted" : "");
  }
  void refused(MemberId, Incarnation, std::string_view lease, AskNo n, Token, Nanos) override {
    print_item("refuse", lease, n.raw);
  }
  void done(MemberId, std::string_view task, Token token, Nanos) override {
    print_item("done", task, token.raw);
  }
  void control(MemberId, Incarnation, std::string_view bytes) override {
    print_item("control", "bytes", bytes.size());
  }
};

inline peer_codec::Sender sender_of(std::uint32_t from, std::uint32_t to, std::uint64_t incarnation = 7) {
  return {"rig", MemberId{from}, MemberId{to}, Incarnation{incarnation}};
}

// Prints the actions, and the items of messages if `print_items`.
struct PrintedPeers final : PeerActions {
  std::uint32_t self = 1;
  Nanos now = 0;
  bool quiet = false, print_items = true;
  int messages = 0, dials = 0, disconnects = 0;
  void print(const char* text, MemberId member) const {
    if (!quiet) std::printf("  %6lld %s %u\n", static_cast<long long>(now / 1'000'000), text, member.raw);
  }
  void dial(MemberId to) override { ++dials, print("dial", to); }
  void disconnect(MemberId to) override { ++disconnects, print("disconnect", to); }
  void send(MemberId to, std::string frame) override {
    ++messages;
    print("send to", to);
    PrintedItems items;
    items.quiet = quiet || !print_items;
    if (!peer_codec::decode_message(std::string_view(frame).substr(9), sender_of(self, to.raw), items))
      std::printf("    can't be read\n");
  }
  void peer_state_changed(MemberId member, PeerState before, PeerState after) override {
    if (!quiet)
      std::printf("  %6lld member %u: %s, %s before\n", static_cast<long long>(now / 1'000'000), member.raw,
                  std::string(to_text(after)).c_str(), std::string(to_text(before)).c_str());
  }
  void duplicate_member(MemberId number) override { print("duplicate member number", number); }
};
