// Reconciling exports that are whole, and finding each way in which they are not.
#include "ledger/reconcile.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "ledger/delivery.h"

namespace stoatrun::ledger {
namespace {

constexpr std::int64_t kHour = 1'800'000'000;

wire::Record UseRecord(const std::string& relay, std::uint64_t seq, std::int64_t start_s,
                       const std::string& group) {
  wire::Record r;
  r.set_relay(relay);
  r.set_book("b");
  r.set_seq(seq);
  wire::Use& u = *r.mutable_use();
  u.set_period_start_s(start_s);
  u.set_period_s(3600);
  u.set_group(group);
  u.set_use_us(900);
  u.set_within_us(600);
  u.set_beyond_us(300);
  wire::ClassUse& c = *u.add_classes();
  c.set_name("feed");
  c.set_use_us(900);
  return r;
}

struct Export {
  std::vector<std::string> lines;
  std::string prev = FirstHash();
  void Add(const wire::Record& r) {
    const Line line = MakeLine(r, prev);
    lines.push_back(line.text);
    prev = line.hash;
  }
  std::string End(std::uint64_t from, std::uint64_t to) const {
    return MakeTrailer({"n0", "b", from, to, prev});
  }
};

// Four records of two periods and a correction.
Export Sound() {
  Export e;
  e.Add(UseRecord("n0", 1, kHour, "coast"));
  e.Add(UseRecord("n0", 2, kHour, "wetland"));
  e.Add(UseRecord("n0", 3, kHour + 3600, "coast"));
  wire::Record c;
  c.set_relay("n0");
  c.set_book("b");
  c.set_seq(4);
  c.mutable_correction()->set_period_start_s(kHour);
  c.mutable_correction()->set_group("coast");
  c.mutable_correction()->set_seconds(-7);
  c.mutable_correction()->set_original_seq(1);
  e.Add(c);
  return e;
}

ReconcileReport Read(const std::vector<std::vector<std::string>>& files) {
  ReconcileReport out;
  ExportReader reader("n0", "b", out);
  int number = 0;
  for (const auto& lines : files) {
    reader.BeginFile("f" + std::to_string(++number));
    for (const std::string& line : lines) {
      const std::string padded = line + std::string(simdjson::SIMDJSON_PADDING, '\0');
      reader.ReadLine(std::string_view(padded).substr(0, line.size()));
    }
    reader.EndFile();
  }
  out.Complete();
  return out;
}

std::string Faults(const ReconcileReport& r) {
  std::string all;
  for (const Fault& f : r.faults)
    all += f.file + ":" + std::to_string(f.line) + ":" + std::to_string(f.seq) + " " + f.what + "\n";
  return all;
}

TEST_CASE("a sound export adds up, in one part or in several") {
  const Export e = Sound();
  const auto& l = e.lines;
  const Line third =
      MakeLine(UseRecord("n0", 3, kHour + 3600, "coast"),
               SplitLine(l[1])->hash.data() != nullptr ? std::string(SplitLine(l[1])->hash) : "");
  CHECK(third.text == l[2]);  // The same record after the same hash is the same line.
  const std::string end2 = MakeTrailer({"n0", "b", 1, 2, std::string(SplitLine(l[1])->hash)});
  for (const auto& files : std::vector<std::vector<std::vector<std::string>>>{
           {{l[0], l[1], l[2], l[3], e.End(1, 4)}}, {{l[0], l[1], end2}, {l[2], l[3], e.End(3, 4)}}}) {
    const ReconcileReport r = Read(files);
    CHECK(Faults(r).empty());
    CHECK(r.records == 4);
    CHECK(r.totals.at({kHour, "coast"}).use_us == 900);
    CHECK(r.totals.at({kHour, "coast"}).corrected_s == -7);
    CHECK(r.totals.at({kHour + 3600, "coast"}).beyond_us == 300);
    CHECK(r.corrections.size() == 1);
  }
}

TEST_CASE("each fault is named with its file and record") {
  const Export e = Sound();
  const auto& l = e.lines;
  const std::string end = e.End(1, 4);
  using Files = std::vector<std::vector<std::string>>;
  const auto told = [](const Files& files) { return Faults(Read(files)); };
  CHECK(told({{l[0], l[2], l[3], end}}) == "f1:2:3 gap: records 2 to 2 are missing\n");
  CHECK_THAT(told({{l[0], l[1], l[2], l[3]}}), Catch::StartsWith("f1:4:0 cut short after record 4"));
  CHECK_THAT(told({{l[0], l[1], l[2], l[3].substr(0, 99)}}),
             Catch::StartsWith("f1:4:4 cut short within a record"));
  CHECK_THAT(told({{l[0], l[1], l[2], end}}), Catch::StartsWith("f1:4:0 records are missing"));
  CHECK_THAT(told({{l[0], l[1], l[1], l[2], l[3], end}}), Catch::Contains("f1:3:2 duplicate"));
  CHECK_THAT(told({{l[2], l[3], e.End(3, 4)}}), Catch::StartsWith("f1:1:3 gap: records 1 to 2"));
  CHECK_THAT(told({{l[0], l[1], l[2], l[3], end}, {l[1], l[2], l[3], e.End(2, 4)}}),
             Catch::Contains("f2:1:2 duplicate: the same record"));
  const ReconcileReport twice = Read({{l[0], l[1], l[2], l[3], end}, {l[1], l[2], l[3], e.End(2, 4)}});
  CHECK(twice.duplicates == 3);
  CHECK(twice.totals.at({kHour, "wetland"}).use_us == 900);

  Export fork;
  fork.Add(UseRecord("n0", 1, kHour, "garden"));
  CHECK_THAT(told({{l[0], l[1], l[2], l[3], end}, {fork.lines[0], fork.End(1, 1)}}),
             Catch::Contains("f2:1:1 fork"));
  Export other;
  other.Add(UseRecord("n0", 1, kHour, "garden"));
  other.Add(UseRecord("n0", 2, kHour, "wetland"));
  CHECK_THAT(told({{l[0], other.lines[1], l[2], l[3], end}}), Catch::Contains("f1:2:2 broken chain"));
  Export overlap;
  overlap.Add(UseRecord("n0", 1, kHour, "coast"));
  overlap.Add(UseRecord("n0", 2, kHour, "coast"));
  overlap.Add(UseRecord("n0", 3, kHour + 1800, "coast"));
  const std::string faults =
      told({{overlap.lines[0], overlap.lines[1], overlap.lines[2], overlap.End(1, 3)}});
  CHECK_THAT(faults, Catch::Contains("f1:2:2 overlapping periods: group coast has a record"));
  CHECK_THAT(faults, Catch::Contains("begins before the one from 1800000000 ends"));
  Export stranger;
  stranger.Add(UseRecord("n7", 1, kHour, "coast"));
  CHECK_THAT(told({{stranger.lines[0]}}), Catch::Contains("it is of n7 book b"));
}

TEST_CASE("a flipped byte anywhere in an export is found") {
  const Export e = Sound();
  std::string text;
  for (const std::string& line : e.lines) text += line;
  text += e.End(1, 4);
  for (std::size_t at = 0; at < text.size(); ++at) {
    for (const char bit : {1, 32}) {
      std::string broken = text;
      broken[at] = static_cast<char>(broken[at] ^ bit);
      std::vector<std::string> lines;
      for (std::size_t from = 0; from < broken.size();) {
        const std::size_t end = std::min(broken.find('\n', from), broken.size() - 1) + 1;
        lines.push_back(broken.substr(from, end - from));
        from = end;
      }
      if (Read({lines}).faults.empty()) FAIL("byte " << at << " bit " << int{bit});
    }
  }
}

TEST_CASE("delivery waits longer after each failure, with chance in it, and asks at once after progress") {
  Delivery d({std::chrono::seconds(1), std::chrono::seconds(60), 10});
  Micros now(0);
  d.UpdateState(now, 25, 0);
  REQUIRE(d.NextAttemptAt() == now);
  const Delivery::Batch first = d.StartBatch();
  CHECK((first.from == 1 && first.to == 10));
  CHECK_FALSE(d.NextAttemptAt());
  Micros last(0);
  for (int k = 0; k < 12; ++k) {
    CHECK(d.OnResponse(now, {}, 0.5) == Delivery::Verdict::kRetry);
    const Micros wait = *d.NextAttemptAt() - now;
    CHECK(wait >= last);
    CHECK(wait <= std::chrono::seconds(60));
    last = wait;
    now = *d.NextAttemptAt();
    const Delivery::Batch again = d.StartBatch();
    CHECK((again.from == 1 && again.to == 10));
  }
  CHECK(last == std::chrono::seconds(45));
  CHECK(d.OnResponse(now, {200, 10, "h", Micros(0)}, 0.5) == Delivery::Verdict::kVerify);
  CHECK(d.OnVerified(now, 10, true, 0.5) == Delivery::Verdict::kRetry);
  CHECK(d.NextAttemptAt() == now);
  CHECK(d.Backlog() == 15);
  CHECK(d.StartBatch().from == 11);
  CHECK(d.OnResponse(now, {200, 99, "h", Micros(0)}, 0.5) == Delivery::Verdict::kConflict);
  CHECK(d.Backlog() == 15);
  d.StartBatch();
  CHECK(d.OnResponse(now, {503, std::nullopt, "", std::chrono::hours(5)}, 0.0) == Delivery::Verdict::kRetry);
  CHECK(*d.NextAttemptAt() - now ==
        std::chrono::seconds(60));  // Not longer than the longest wait, whatever it asks.
  d.StartBatch();
  CHECK(d.OnResponse(now, {200, 4, "h", Micros(0)}, 0.0) == Delivery::Verdict::kVerify);
  d.OnVerified(now, 4, true, 0.0);
  CHECK(d.Rewinds() == 1);
  CHECK(d.StartBatch().from == 5);
}

}  // namespace
}  // namespace stoatrun::ledger
