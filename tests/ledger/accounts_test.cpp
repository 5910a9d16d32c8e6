// Compares the accounting with a naive model over random histories, and tests its edge cases.
#include "ledger/accounts.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace stoatrun::ledger {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kStart(5'000'000);
constexpr Micros kWall = seconds(1'800'000'000);  // A period boundary for all period lengths used here.

AccountsSetup MakeSetup() {
  return {seconds(60), {{"wetland", 1500}, {"coast", 0}, {"garden", std::nullopt}}, {"feed", "watch"}, 2};
}

// Sums of all postings by period and row.
struct Totals {
  std::map<std::tuple<std::int64_t, std::string, std::string>, std::int64_t> rows;
  std::map<std::pair<std::int64_t, std::string>, std::int64_t> within, use;
  std::int64_t connection_time_us = 0;
  std::uint64_t begun = 0, steps = 0;

  void Add(const std::vector<Posting>& postings) {
    for (const Posting& posting : postings) {
      std::int64_t posted = 0;
      for (const GroupUse& group : posting.groups) {
        use[{posting.period_start_s, group.name}] += group.use_us;
        within[{posting.period_start_s, group.name}] += group.within_us;
        for (const ClassUse& use_by_class : group.classes) {
          rows[{posting.period_start_s, group.name, use_by_class.name}] += use_by_class.use_us;
          posted += use_by_class.use_us;
          begun += use_by_class.begun;
        }
      }
      CHECK(posted == posting.connection_time_us);
      CHECK(posted == posting.UseUs());
      connection_time_us += posting.connection_time_us;
      steps += posting.steps.size();
    }
  }
};

// Computes the usage interval by interval: between two events only the period changes.
class NaiveModel {
 public:
  void AdvanceTo(std::int64_t to_us, std::int64_t wall_offset) {
    while (now_ < to_us) {
      const std::int64_t wall = now_ + wall_offset;
      const std::int64_t start = wall / 60'000'000 * 60;
      const std::int64_t next = std::min(to_us, (start + 60) * 1'000'000 - wall_offset);
      std::map<std::string, std::int64_t> open;
      for (const auto& [group, class_name] : open_) {
        rows[{start, group, class_name}] += next - now_;
        ++open[group];
      }
      for (const auto& [group, count] : open) {
        const std::int64_t quota_milli = group == "wetland" ? 1500 : group == "coast" ? 0 : count * 1000;
        within_milli[{start, group}] += std::min(quota_milli, count * 1000) * (next - now_);
      }
      now_ = next;
    }
  }
  void Open(const std::string& group, const std::string& class_name) {
    open_.emplace_back(group, class_name);
  }
  void Close(std::size_t k) { open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(k)); }

  std::map<std::tuple<std::int64_t, std::string, std::string>, std::int64_t> rows;
  std::map<std::pair<std::int64_t, std::string>, std::int64_t> within_milli;

 private:
  std::int64_t now_ = kStart.count();
  std::vector<std::pair<std::string, std::string>> open_;
};

// Applies the same random events to the accounting and to the naive model.
class RandomHistory {
 public:
  // Advances the time by a random interval, then applies one random event.
  void Step() {
    now_ +=
        Micros(*rc::gen::weightedOneOf<std::int64_t>({{5, rc::gen::inRange<std::int64_t>(0, 3'000'000)},
                                                      {1, rc::gen::inRange<std::int64_t>(0, 200'000'000)}}));
    naive_.AdvanceTo(now_.count(), wall_offset_us_);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        Open();
        break;
      case 2:
        if (!handles_.empty()) Close(*rc::gen::inRange<std::size_t>(0, handles_.size()));
        break;
      case 3:
        totals_.Add(accounts_.TakePostings(now_, Accounts::CurrentPeriod::kContinues));
        break;
      default:
        StepClock();
        break;
    }
    RC_ASSERT(accounts_.ComputeSums(now_).AreBalanced());
  }

  void CheckAgreement() {
    totals_.Add(accounts_.TakePostings(now_, Accounts::CurrentPeriod::kEnds));
    std::erase_if(totals_.rows, [](const auto& row) { return row.second == 0; });
    std::erase_if(naive_.rows, [](const auto& row) { return row.second == 0; });
    RC_ASSERT(totals_.rows == naive_.rows);
    // A remainder below a microsecond is carried over into the group's next period.
    std::map<std::string, std::int64_t> accounted, expected_milli;
    for (const auto& [key, value] : totals_.within) {
      RC_ASSERT(std::abs(value * 1000 - naive_.within_milli[key]) < 1000);
      RC_ASSERT(value <= totals_.use[key]);
      accounted[key.second] += value;
    }
    for (const auto& [key, value] : naive_.within_milli) expected_milli[key.second] += value;
    for (const auto& [group, value] : accounted) RC_ASSERT(value == expected_milli[group] / 1000);
  }

 private:
  void Open() {
    const std::string group = *rc::gen::elementOf(groups_);
    const std::size_t class_index = *rc::gen::inRange<std::size_t>(0, 2);
    handles_.push_back(accounts_.Begin(now_, group == "(missing)" ? "" : group, class_index));
    naive_.Open(group, MakeSetup().classes[class_index]);
  }

  void Close(std::size_t index) {
    accounts_.End(now_, handles_[index]);
    handles_.erase(handles_.begin() + static_cast<std::ptrdiff_t>(index));
    naive_.Close(index);
  }

  // Steps by up to three hours in either direction, and by more than the threshold below which it is drift.
  void StepClock() {
    constexpr std::int64_t kThresholdUs = Accounts::kClockStepThreshold.count();
    std::int64_t step_us = *rc::gen::inRange<std::int64_t>(-10'800'000'000, 10'800'000'000);
    if (step_us <= kThresholdUs && step_us >= -kThresholdUs) step_us = 1'000'000;
    wall_offset_us_ += step_us;
    accounts_.OnClockReading(now_, Micros(now_.count() + wall_offset_us_));
  }

  const std::vector<std::string> groups_{"wetland", "coast", "garden", "(missing)"};
  Accounts accounts_{MakeSetup(), kStart, kWall};
  NaiveModel naive_;
  Totals totals_;
  std::vector<UsageHandle> handles_;
  Micros now_ = kStart;
  std::int64_t wall_offset_us_ = (kWall - kStart).count();
};

TEST_CASE("accounts agree with a naive model over random histories with clock steps") {
  const bool holds = rc::check([] {
    RandomHistory history;
    const auto count = *rc::gen::inRange(1, 60);
    for (int k = 0; k < count; ++k) history.Step();
    history.CheckAgreement();
  });
  CHECK(holds);
}

TEST_CASE("a connection that spans several periods is split at their boundaries, to the microsecond") {
  Accounts accounts(MakeSetup(), kStart, kWall + seconds(30));
  UsageHandle handle = accounts.Begin(kStart, "garden", 0);
  accounts.End(kStart + seconds(100) + Micros(7), handle);
  const auto postings =
      accounts.TakePostings(kStart + seconds(100) + Micros(7), Accounts::CurrentPeriod::kContinues);
  REQUIRE(postings.size() == 3);
  CHECK(postings[0].UseUs() == 30'000'000);
  CHECK(postings[0].period_ended);
  CHECK(postings[1].UseUs() == 60'000'000);
  CHECK(postings[2].UseUs() == 10'000'007);
  CHECK_FALSE(postings[2].period_ended);
  CHECK(postings[2].period_start_s == 1'800'000'120);
}

TEST_CASE("a clock step neither loses nor duplicates usage, and is recorded") {
  const auto step = GENERATE(hours(3), hours(-3), hours(24 * 400));
  Accounts accounts(MakeSetup(), kStart, kWall + seconds(10));
  UsageHandle handle = accounts.Begin(kStart, "garden", 1);
  accounts.OnClockReading(kStart + seconds(20), kWall + seconds(30) + step);
  accounts.End(kStart + seconds(25), handle);
  const auto postings = accounts.TakePostings(kStart + seconds(25), Accounts::CurrentPeriod::kContinues);
  REQUIRE(postings.size() == 2);
  CHECK(postings[0].period_start_s == 1'800'000'000);
  CHECK(postings[0].UseUs() == 20'000'000);
  CHECK(postings[1].period_start_s == 1'800'000'000 + seconds(step).count());
  CHECK(postings[1].UseUs() == 5'000'000);
  REQUIRE(postings[0].steps.size() == 1);
  CHECK(postings[0].steps[0].to_wall_us - postings[0].steps[0].from_wall_us == Micros(step).count());
}

TEST_CASE("a drifting clock shifts the period boundaries and is not recorded as a step") {
  Accounts accounts(MakeSetup(), kStart, kWall);
  UsageHandle handle = accounts.Begin(kStart, "garden", 0);
  for (int k = 1; k <= 600; ++k) {
    accounts.OnClockReading(kStart + milliseconds(100 * k), kWall + milliseconds(99 * k));
  }
  accounts.End(kStart + seconds(60), handle);
  Totals totals;
  totals.Add(accounts.TakePostings(kStart + seconds(60), Accounts::CurrentPeriod::kContinues));
  CHECK(totals.steps == 0);
  CHECK(totals.connection_time_us == 60'000'000);
  CHECK(totals.use[{1'800'000'000, "garden"}] == 60'000'000);  // 59.4 s of wall-clock time.
}

TEST_CASE("a limited number of unlisted groups is accounted separately, and no usage is dropped") {
  Accounts accounts(MakeSetup(), kStart, kWall);
  std::vector<UsageHandle> handles;
  const std::string long_name(500, 'x');
  for (const char* name : {"raptor", "", "bad name", "owls", "third", "fourth"}) {
    handles.push_back(accounts.Begin(kStart, name, 0));
  }
  handles.push_back(accounts.Begin(kStart, long_name, 0));
  Totals totals;
  totals.Add(accounts.TakePostings(kStart + seconds(1), Accounts::CurrentPeriod::kContinues));
  CHECK(totals.use[{1'800'000'000, "raptor"}] == 1'000'000);
  CHECK(totals.use[{1'800'000'000, "owls"}] == 1'000'000);
  CHECK(totals.use[{1'800'000'000, kMissingGroup}] == 1'000'000);
  CHECK(totals.use[{1'800'000'000, kOtherGroups}] == 4'000'000);
  CHECK(accounts.RowCount() == 4);
}

TEST_CASE("the comparison of sums detects a handle that was ended twice through a copy") {
  Accounts accounts(MakeSetup(), kStart, kWall);
  UsageHandle handle = accounts.Begin(kStart, "garden", 0);
  UsageHandle copy = handle;
  accounts.End(kStart + seconds(1), handle);
  accounts.End(kStart + seconds(2), handle);  // Ignored: the handle is no longer open.
  CHECK(accounts.ComputeSums(kStart + seconds(3)).AreBalanced());
  UsageHandle other = accounts.Begin(kStart + seconds(3), "garden", 1);
  accounts.End(kStart + seconds(5), copy);  // Ends the first connection a second time.
  accounts.End(kStart + seconds(6), other);
  CHECK_FALSE(accounts.ComputeSums(kStart + seconds(7)).AreBalanced());
}

}  // namespace
}  // namespace stoatrun::ledger
