// A fleet that answers the relay as it is told, and keeps what it was told.
#ifndef STOATRUN_TESTS_NET_FLEET_TOLD_H_
#define STOATRUN_TESTS_NET_FLEET_TOLD_H_

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/peers.h"

namespace stoatrun {

class FleetTold : public Peers {
 public:
  Ticket Take(std::size_t /*class_index*/, std::string_view group) override {
    ++taken;
    groups.emplace_back(group);
    return {0, true, 0};
  }
  void Finish(Ticket& ticket, End end) override {
    CHECK(ticket.open);  // Each is finished once.
    ticket.open = false;
    ++ends[end];
    held -= ticket.quota != 0 ? 1 : 0;
  }
  bool Hold(Ticket& ticket, std::string_view /*group*/) override {
    if (held >= quota) return false;
    ++held;
    ticket.quota = 1;
    return true;
  }
  std::vector<std::pair<std::uint32_t, std::size_t>> Excess() override {
    if (held <= quota) return {};
    return {{1, static_cast<std::size_t>(held - quota)}};
  }
  bool MayAttemptAgain() override { return attempts-- > 0; }
  bool MayProbe() override { return probes-- > 0; }
  bool MaySendCold(std::string_view /*host*/) override { return cold-- > 0; }
  void OnSent(std::string_view host) override { ++sent[std::string(host)]; }
  void OnSaw(std::string_view host, Saw saw) override { saws.emplace_back(host, saw); }
  void OnListed(const std::vector<std::pair<std::string, std::int64_t>>& hosts) override {
    listed = hosts.size();
  }
  std::vector<Advice> Advise(const std::vector<std::string>& /*cold*/) override {
    return std::exchange(advice, {});
  }

  int taken = 0, held = 0, quota = 100, attempts = 100, probes = 1000, cold = 100;
  std::size_t listed = 0;
  std::vector<std::string> groups;
  std::map<End, int> ends;
  std::map<std::string, int> sent;
  std::vector<std::pair<std::string, Saw>> saws;
  std::vector<Advice> advice;
};

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_NET_FLEET_TOLD_H_
