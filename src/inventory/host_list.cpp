#include "inventory/host_list.h"

#include <string>
#include <utility>

#include "settings/json.h"

namespace stoatrun {

using simdjson::dom::element;
using simdjson::dom::object;
using namespace arrowhatch::settings;  // NOLINT(google-build-using-namespace): the shared JSON helpers.

HostList ReadHostList(const element& e) {
  const object o = AsObject(e, "list");
  HostList list;
  if (const auto revision = Get(o, "revision")) list.revision = AsUnsigned(*revision, "revision");
  list.complete = BoolOr(o, "complete", false);
  const auto members = Get(o, "members");
  if (!members) return list;
  for (const element m : AsArray(*members, "members")) {
    const object entry = AsObject(m, "members");
    HostEntry h;
    h.id = std::string(TextOr(entry, "id", ""));
    h.address = std::string(TextOr(entry, "host_port", ""));
    h.locality = std::string(TextOr(entry, "locality", ""));
    const std::string_view phase = TextOr(entry, "phase", "ready");
    // A phase of a later protocol is no promise that new work is welcome.
    h.phase = phase == "ready"  ? HostPhase::kReady
              : phase == "gone" ? HostPhase::kGone
                                : HostPhase::kDraining;
    h.cell = static_cast<std::uint64_t>(NumberOr(entry, "cell", 0));
    h.size = NumberOr(entry, "size", 1.0);
    h.up_since_ms = static_cast<std::int64_t>(NumberOr(entry, "up_since_ms", 0));
    if (!h.id.empty()) list.entries.push_back(std::move(h));
  }
  return list;
}

}  // namespace stoatrun
