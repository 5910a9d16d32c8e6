// What the list of another process of the relay shows about the own one.
#include "endpoint/update_deadline.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace stoatrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kStart = seconds(1000);

TEST_CASE("the list of another process postpones the deadline to that of its last event") {
  UpdateDeadline deadline(kStart, ListSource::kSharedService);
  deadline.OnOtherProcess({kStart - seconds(1), false, {}});
  CHECK_FALSE(deadline.IsOverdue(kStart + milliseconds(4999)));
  CHECK(deadline.IsOverdue(kStart + seconds(5)));
  deadline.OnOtherProcess({kStart + seconds(2), false, {}});
  deadline.OnOtherProcess({kStart + seconds(1), false, {}});  // Older: says nothing.
  CHECK_FALSE(deadline.IsOverdue(kStart + milliseconds(7999)));
  CHECK(deadline.IsOverdue(kStart + seconds(8)));
}

// Guards against a process that takes a silent watch of another one for a sound one.
TEST_CASE("doubts of another process about its list are shared") {
  UpdateDeadline deadline(kStart, ListSource::kSharedService);
  deadline.OnOtherProcess({kStart, false, {}});
  deadline.OnOtherProcess({kStart, true, kStart + seconds(3)});
  CHECK(deadline.Freshness() == ListFreshness{kStart, true, kStart + seconds(3)});
  CHECK_FALSE(deadline.IsOverdue(kStart + milliseconds(2999)));
  CHECK(deadline.IsOverdue(kStart + seconds(3)));
}

// Guards against a reload whose deadline is lost to an event from before it.
TEST_CASE("only an event after a reload ends the deadline of the reload") {
  UpdateDeadline deadline(kStart, ListSource::kSharedService);
  deadline.OnReload(kStart + seconds(1));
  deadline.OnOtherProcess({kStart + milliseconds(900), false, {}});
  CHECK(deadline.IsOverdue(kStart + seconds(5)));
  deadline.OnOtherProcess({kStart + milliseconds(1100), false, {}});
  CHECK_FALSE(deadline.IsOverdue(kStart + seconds(5)));
}

// Guards against an outage, real or not, that excuses the use of a list that nothing has confirmed.
TEST_CASE("a list without evidence is overdue two seconds after the process is ready, also in an outage") {
  UpdateDeadline deadline(kStart, ListSource::kSharedService);
  deadline.OnReady(kStart + seconds(4));
  deadline.OnCallFailed(kStart + seconds(5), kStart + seconds(5), CallFailure::kRefused);
  CHECK_FALSE(deadline.IsOverdue(kStart + milliseconds(5999)));
  CHECK(deadline.IsOverdue(kStart + seconds(6)));
  CHECK(deadline.IsOverdue(kStart + seconds(35)));
  CHECK_FALSE(deadline.IsOverdue(kStart + seconds(36)));
  deadline.OnEvent(kStart + seconds(37));
  CHECK_FALSE(deadline.IsOverdue(kStart + seconds(42)));
}

}  // namespace
}  // namespace stoatrun
