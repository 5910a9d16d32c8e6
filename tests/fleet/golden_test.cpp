// The outer forms of the fleet against golden files: datagrams byte for byte, and the operators' status.
#include "golden.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/io/codec.h"
#include "fleet/io/status.h"
#include "fleet/node.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::GoldenText;

const std::string kFleetName = "golden";

struct Part {
  const char* file;
  std::function<void(Datagram&)> add;
};

// Each part of a datagram, every field other than its default.
std::vector<Part> Parts() {
  const Life lender{11, 0x1122334455667788}, borrower{12, 0x8877665544332211};
  return {
      {"echo",
       [](Datagram& d) {
         d.echo_run = 0xfedcba98;
         d.echo_seq = 41;
         d.echo_held = Micros(2500);
       }},
      {"look",
       [](Datagram& d) {
         d.look = Look{0x0123456789abcdef, 0};
       }},
      {"look-without-target",
       [](Datagram& d) {
         d.look = Look{77, std::nullopt};
       }},
      {"answer", [](Datagram& d) { d.answer = 0xfedcba9876543210; }},
      {"members",
       [=](Datagram& d) {
         d.members = {{1, lender, 3, Standing::kAlive},
                      {2, borrower, 4, Standing::kSuspected},
                      {3, {13, 1}, 5, Standing::kSilent},
                      {4095, {14, 2}, 6, Standing::kLeft}};
       }},
      {"counts",
       [=](Datagram& d) {
         d.counts = {{2,
                      lender,
                      900,
                      1,
                      3,
                      Micros(1'234'567),
                      false,
                      {{"coast", 1, {100, 40, 30, 20, 10}}, {"", 2, {5, 1, 1, 1, 2}}}},
                     {3, borrower, 901, 0, 1, std::nullopt, true, {{"*", 0, {7, 7, 0, 0, 0}}}}};
       }},
      {"have",
       [](Datagram& d) {
         d.have = {{1, 0xabcdef01, 55, Micros(0), true}, {2, 0, 0, std::nullopt, false}};
       }},
      {"roster-from", [](Datagram& d) { d.roster_from = 0; }},
      {"roster",
       [=](Datagram& d) {
         d.roster =
             RosterPage{64, 128, true, std::string("\x05\x00\xff", 3), {{65, lender}, {127, borrower}}};
       }},
      {"digest", [](Datagram& d) { d.digest = true; }},
      {"evidence",
       [=](Datagram& d) {
         d.evidence = {
             {1, lender, "s-1", 1'700'000'000'000, Verdict::kFailing, 9, 31, Micros(400'000), seconds(6)},
             {2, borrower, "s-2", -1, Verdict::kSlow, 8, 32, std::nullopt, seconds(5)},
             {3, lender, "s-3", 3, Verdict::kFull, 7, 33, Micros(0), seconds(4)},
             {4, borrower, "s-4", 4, Verdict::kFine, 6, 34, Micros(1), seconds(3)}};
       }},
      {"sent",
       [](Datagram& d) {
         d.sent = {{"s-1", 17}, {"s-2", 1}};
       }},
      {"asks",
       [](Datagram& d) {
         d.asks = {{21, "attempts", 5, 22}, {23, "cold:s-1", 6, 0}};
       }},
      {"grants",
       [=](Datagram& d) {
         d.grants = {{21, 24, "attempts", 4, seconds(2), borrower}};
       }},
      {"returns",
       [=](Datagram& d) {
         d.returns = {{24, lender, "quota:coast", 3}};
       }},
      {"settled",
       [=](Datagram& d) {
         d.settled = {{24, "quota:coast", 3, borrower}};
       }},
      {"held",
       [=](Datagram& d) {
         d.held = Held{lender, 25, {{"quota:coast", 24, 2}, {"quota:reef", 26, 1}}};
       }},
      {"who-holds", [](Datagram& d) { d.who_holds = true; }},
      {"idle",
       [](Datagram& d) {
         d.idle = {{"attempts", 12}, {"probes", 200}};
       }},
  };
}

Datagram Head() {
  Datagram d;
  d.from = 3;
  d.name = "n3";
  d.life = {1'764'000'000'000, 0x0f1e2d3c4b5a6978};
  d.incarnation = 2;
  d.seq = 300;
  d.slots = 100;
  return d;
}

// One datagram for each part, one with the head alone and one with all parts.
std::vector<std::pair<std::string, Datagram>> Datagrams() {
  std::vector<std::pair<std::string, Datagram>> all{{"head", Head()}};
  Datagram whole = Head();
  for (const Part& part : Parts()) {
    Datagram d = Head();
    part.add(d);
    all.emplace_back(part.file, d);
    part.add(whole);
  }
  all.emplace_back("all", whole);
  return all;
}

std::string HexOf(const std::string& bytes) {
  std::string text;
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(bytes[k]));
    if (k % 32 == 31 || k + 1 == bytes.size()) text += '\n';
  }
  return text;
}

std::string BytesOf(const std::string& hex) {
  std::string digits, bytes;
  for (const char c : hex) {
    if (std::isxdigit(static_cast<unsigned char>(c)) != 0) digits += c;
  }
  for (std::size_t k = 0; k + 1 < digits.size(); k += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(k, 2), nullptr, 16));
  }
  return bytes;
}

TEST_CASE("golden datagrams are read, and written again to the byte") {
  const auto datagrams = Datagrams();
  REQUIRE(datagrams.size() == 21);
  for (const auto& [name, datagram] : datagrams) {
    INFO(name);
    const std::string encoded = Encode(datagram, kFleetName);
    const std::string golden = GoldenText("datagrams/" + name + ".hex", HexOf(encoded));
    CHECK(HexOf(encoded) == golden);
    const auto decoded = Decode(BytesOf(golden), kFleetName);
    REQUIRE(std::holds_alternative<Datagram>(decoded));
    CHECK(HexOf(Encode(std::get<Datagram>(decoded), kFleetName)) == golden);
  }
}

TEST_CASE("the values of a golden datagram are those that were sent") {
  const std::string bytes =
      BytesOf(GoldenText("datagrams/all.hex", HexOf(Encode(Datagrams().back().second, kFleetName))));
  const auto decoded = Decode(bytes, kFleetName);
  REQUIRE(std::holds_alternative<Datagram>(decoded));
  const auto& d = std::get<Datagram>(decoded);
  CHECK(d.from == 3);
  CHECK(d.name == "n3");
  CHECK(d.life == Life{1'764'000'000'000, 0x0f1e2d3c4b5a6978});
  CHECK((d.incarnation == 2 && d.seq == 300 && d.slots == 100));
  CHECK((d.echo_run == 0xfedcba98 && d.echo_seq == 41 && d.echo_held == Micros(2500)));
  REQUIRE(d.look);
  CHECK((d.look->nonce == 77 && !d.look->target));
  CHECK(d.answer == 0xfedcba9876543210);
  REQUIRE(d.members.size() == 4);
  CHECK((d.members[3].slot == 4095 && d.members[3].standing == Standing::kLeft &&
         d.members[3].incarnation == 6));
  REQUIRE(d.counts.size() == 2);
  CHECK((d.counts[0].version == 900 && d.counts[0].part == 1 && d.counts[0].parts == 3 && !d.counts[0].over));
  CHECK(d.counts[0].age == Micros(1'234'567));
  REQUIRE(d.counts[0].rows.size() == 2);
  CHECK((d.counts[0].rows[0].group == "coast" && d.counts[0].rows[0].class_index == 1));
  CHECK(d.counts[0].rows[0].tally == Tally{100, 40, 30, 20, 10});
  CHECK((d.counts[1].over && !d.counts[1].age));
  REQUIRE(d.have.size() == 2);
  CHECK((d.have[0].run == 0xabcdef01 && d.have[0].age == Micros(0) && d.have[0].over));
  CHECK(d.roster_from == Slot{0});
  REQUIRE(d.roster);
  CHECK((d.roster->from == 64 && d.roster->next == 128 && d.roster->whole));
  CHECK(d.roster->basis == std::string("\x05\x00\xff", 3));
  CHECK((d.roster->lives.size() == 2 && d.roster->lives[1].first == 127));
  CHECK((d.digest && d.who_holds));
  REQUIRE(d.evidence.size() == 4);
  CHECK((d.evidence[1].verdict == Verdict::kSlow && d.evidence[1].server_start == -1 && !d.evidence[1].age));
  CHECK((d.evidence[0].observations == 9 && d.evidence[0].valid == seconds(6)));
  CHECK((d.sent.size() == 2 && d.sent[0].server == "s-1" && d.sent[0].count == 17));
  CHECK((d.asks.size() == 2 && d.asks[0].nonce == 21 && d.asks[0].renews == 22 && d.asks[1].units == 6));
  REQUIRE(d.grants.size() == 1);
  CHECK(
      (d.grants[0].lease == 24 && d.grants[0].length == seconds(2) && d.grants[0].borrower.generation == 12));
  REQUIRE((d.returns.size() == 1 && d.settled.size() == 1));
  CHECK((d.returns[0].lender.generation == 11 && d.returns[0].budget == "quota:coast" &&
         d.returns[0].units == 3));
  CHECK((d.settled[0].lease == 24 && d.settled[0].borrower.id == 0x8877665544332211));
  REQUIRE((d.held && d.held->items.size() == 2));
  CHECK((d.held->covers == 25 && d.held->items[1].lease == 26 && d.held->items[1].units == 1));
  CHECK((d.idle.size() == 2 && d.idle[1].budget == "probes" && d.idle[1].units == 200));
}

// Relays at the first `started` of some places. They talk to each other without loss.
class SmallFleet {
 public:
  SmallFleet(Slot places, Slot started) : places_(places) {
    for (Slot slot = 0; slot < started; ++slot) Start(slot, {100 + slot, 1000 + slot});
  }
  static std::string NameOf(Slot slot) { return slot == 3 ? "n\"3\"" : fmt::format("n{}", slot); }
  Node& At(Slot slot) { return *nodes_.at(slot); }
  Micros Now() const { return now_; }

  void Start(Slot slot, const Life& life) {
    Settings s;
    s.fleet = kFleetName;
    s.self = slot;
    s.slots = places_;
    for (Slot k = 0; k < places_; ++k) {
      if (k != slot) s.peers.push_back({k, NameOf(k)});
    }
    s.budgets = {{"attempts", 40, seconds(1)}, {"quota:coast", 20, Micros(0)}};
    s.each = {{"cold", 15, seconds(1)}};
    s.stale = seconds(5);
    s.taken_per_s = 10;
    s.most_open = 100;
    nodes_[slot] = std::make_unique<Node>(s, NameOf(slot), life, 7 + slot, now_);
    nodes_[slot]->Servers().Listed({{"s-1", 1}, {"s-2", 2}, {"s-3", 3}, {"s-4", 4}, {"s-5", 5}});
  }
  void Stop(Slot slot) { nodes_.erase(slot); }
  void Leave(Slot slot) {
    At(slot).Leave(now_, out_);
    Carry();
    Stop(slot);
  }
  void Hear(Slot to, const Datagram& d) {
    At(to).OnDatagram(now_, d, out_);
    Carry();
  }
  void Spend(Slot slot, const std::string& budget, int times) {
    for (int k = 0; k < times; ++k) {
      At(slot).Spend(now_, budget, out_);
      Carry();
    }
  }
  // Each 250 ms: a tick of every relay, then `each`.
  void Run(Micros span, const std::function<void()>& each) {
    for (const Micros end = now_ + span; now_ < end;) {
      now_ += milliseconds(250);
      for (Slot slot = 0; slot < places_; ++slot) {
        if (!nodes_.contains(slot)) continue;
        At(slot).Tick(now_, out_);
        Carry();
      }
      each();
    }
  }

 private:
  // Brings what was sent to those it is for, and their answers, until all is quiet.
  void Carry() {
    std::deque<Outgoing> queue;
    const auto take = [&] {
      for (Outgoing& o : out_) queue.push_back(std::move(o));
      out_.clear();
    };
    take();
    while (!queue.empty()) {
      const Outgoing next = std::move(queue.front());
      queue.pop_front();
      if (!nodes_.contains(next.to)) continue;
      At(next.to).OnDatagram(now_, next.datagram, out_);
      take();
    }
    CHECK(out_.empty());
  }

  const Slot places_;
  Micros now_ = seconds(1000);
  std::map<Slot, std::unique_ptr<Node>> nodes_;
  Out out_;
};

std::string StatusOf(SmallFleet& fleet, Slot slot, const StatusExtra& extra = {}) {
  return StatusJson(fleet.At(slot), SmallFleet::NameOf(slot), {"chat", "fe\\ed"}, fleet.Now(), extra) + '\n';
}

// Gives `actual`, too.
std::string CheckStatus(const std::string& name, const std::string& actual) {
  INFO(name);
  CHECK(actual == GoldenText("status/" + name + ".json", actual));
  return actual;
}

void CheckHolds(const std::string& all, const std::vector<const char*>& texts) {
  for (const char* text : texts) {
    INFO(text);
    CHECK(all.find(text) != std::string::npos);
  }
}

// One connection with each end, and one that stays open.
void Connect(SmallFleet& fleet, Slot slot) {
  Accounts& accounts = fleet.At(slot).Own();
  const char* group = slot % 2 == 0 ? "coast" : "";
  for (const auto end : {Accounts::End::kServed, Accounts::End::kRefused, Accounts::End::kFailed}) {
    auto ticket = accounts.Take(slot % 3, group);
    accounts.Finish(ticket, end);
  }
  accounts.Take(slot % 3, group);
}

TEST_CASE("the operators' status of a relay is the golden text") {
  SmallFleet fleet(5, 4);  // Nobody ever sits at the last place.
  std::string all = CheckStatus("start", StatusOf(fleet, 0));
  for (Slot slot = 0; slot < 4; ++slot) Connect(fleet, slot);
  fleet.Run(seconds(12), [] {});
  for (int k = 0; k < 8; ++k) {
    fleet.Spend(0, "attempts", 9);
    fleet.Spend(1, "quota:coast", 6);
    fleet.Spend(2, "quota:coast", 6);
    fleet.Spend(2, "cold:s-5", 4);
    fleet.Run(milliseconds(250), [&] {
      for (const Slot slot : {1, 2}) fleet.At(slot).Servers().Observe(fleet.Now(), "s-1", Verdict::kFailing);
      fleet.At(0).Servers().Observe(fleet.Now(), "s-2", Verdict::kSlow);
      fleet.At(2).Servers().Observe(fleet.Now(), "s-2", Verdict::kFull);
    });
  }
  all += CheckStatus("busy-0", StatusOf(fleet, 0, {31, 32}));
  all += CheckStatus("busy-1", StatusOf(fleet, 1));
  all += CheckStatus("busy-2", StatusOf(fleet, 2));

  // One witness finds most servers bad which the others find fine.
  fleet.Run(seconds(9), [&] {
    for (const char* server : {"s-3", "s-4", "s-5"}) {
      fleet.At(3).Servers().Observe(fleet.Now(), server, Verdict::kFailing);
      fleet.At(0).Servers().Observe(fleet.Now(), server, Verdict::kFine);
    }
  });
  all += CheckStatus("distrust", StatusOf(fleet, 0));

  // One relay restarts, one falls silent, one leaves; strangers and a former run speak.
  fleet.Start(1, {200, 2000});
  fleet.Stop(2);
  std::string suspicion;
  fleet.Run(seconds(8), [&] {
    const auto* member = fleet.At(0).Members().Find(2);
    if (suspicion.empty() && member->standing == Standing::kSuspected) suspicion = StatusOf(fleet, 0);
  });
  all += CheckStatus("suspicion", suspicion);
  fleet.Leave(3);
  Datagram stranger = Head();
  stranger.from = 99;
  fleet.Hear(0, stranger);
  stranger.from = 1;
  stranger.name = "n1";
  stranger.life = {101, 1001};
  fleet.Hear(0, stranger);
  fleet.Run(milliseconds(2500), [] {});
  all += CheckStatus("left", StatusOf(fleet, 0));
  fleet.Run(seconds(20), [] {});
  all += CheckStatus("changed-0", StatusOf(fleet, 0));
  all += CheckStatus("changed-1", StatusOf(fleet, 1));

  CheckHolds(all, {R"("standing":"alive")", R"("standing":"suspected")", R"("standing":"silent")",
                   R"("standing":"left")", R"("standing":"unheard")", R"("way":"out")", R"("way":"in")",
                   R"("own":"slow")", R"("verdict":"failing")", R"("verdict":"slow")", R"("verdict":"full")",
                   R"("avoided":true)", R"("class":"fe\\ed")", R"("class":"class 2")", R"("name":"n\"3\"")",
                   R"("whole":false)", R"("over":true)", R"("distrusted":[{"name":)",
                   R"("unreadable":31,"wrong_address":32)"});
}

TEST_CASE("the operators' status of a whole fleet is the golden text") {
  SmallFleet fleet(3, 3);
  for (Slot slot = 0; slot < 3; ++slot) Connect(fleet, slot);
  fleet.Run(seconds(6), [] {});
  for (int k = 0; k < 8; ++k) {
    fleet.Spend(1, "quota:coast", 9);
    fleet.Run(milliseconds(250), [] {});
  }
  std::string all = CheckStatus("whole-0", StatusOf(fleet, 0));
  all += CheckStatus("whole-1", StatusOf(fleet, 1));
  fleet.Stop(1);
  fleet.Run(seconds(8), [] {});
  all += CheckStatus("whole-silent", StatusOf(fleet, 0));
  CheckHolds(all, {R"("taken":[12,12])", R"("ended":true)", R"("widened":1)", R"("whole":true)"});
}

}  // namespace
}  // namespace stoatrun::fleet
