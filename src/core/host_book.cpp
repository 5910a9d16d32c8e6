#include "core/host_book.h"

namespace stoatrun {
namespace {

constexpr double kDrainPart = 0.6;  // Of the grace after a drain was told; the rest is for a busy machine.

}  // namespace

HostBook::HostBook(Loop& loop, Micros stop_sending) : loop_(loop), stop_sending_(stop_sending) {
  loop_.AddSweeper([this] { drains_.Sweep(); });
}

HostNumber HostBook::NumberOf(const std::string& id) {
  const auto [it, fresh] = numbers_.try_emplace(id, static_cast<HostNumber>(hosts_.size()));
  if (fresh) {
    hosts_.emplace_back();
    hosts_.back().id = id;
  }
  return it->second;
}

std::optional<HostNumber> HostBook::Known(const std::string& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? std::nullopt : std::optional(it->second);
}

void HostBook::TakeList(const HostList& list) {
  std::vector<bool> named(hosts_.size() + list.entries.size());
  for (const HostEntry& e : list.entries) {
    const HostNumber n = NumberOf(e.id);
    named[n] = true;
    Host& h = hosts_[n];
    if (const auto address = Address::Parse(e.address)) h.address = address;
    h.phase = e.phase;
  }
  for (HostNumber n = 0; n < hosts_.size(); ++n) {
    Host& h = hosts_[n];
    if (list.complete && !named[n]) h.phase = HostPhase::kGone;
    if (h.phase == HostPhase::kReady) {
      h.watched_drain = false;
    } else if (!h.watched_drain) {
      // Guards the rule of careful drains: a leg that still connects would send its first byte too late.
      h.watched_drain = true;
      const auto grace =
          Micros(static_cast<std::int64_t>(static_cast<double>(stop_sending_.count()) * kDrainPart));
      drains_.Add(*this, n).deadline.Set(loop_.Now() + grace);
    }
  }
}

void HostBook::StopSending(HostNumber host) {
  if (hosts_[host].phase == HostPhase::kReady) return;
  for (HostWatcher* watcher : watchers_) watcher->StopSending(host);
}

}  // namespace stoatrun
