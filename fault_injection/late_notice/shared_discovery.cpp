#include "late_notice/shared_discovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace stoatrun::fault_injection {
namespace {

constexpr Micros kHeartbeatInterval = std::chrono::seconds(2);
constexpr Micros kFlushInterval = std::chrono::milliseconds(5);

}  // namespace

SharedDiscovery::SharedDiscovery(EventLoop& loop, SharedDiscoverySettings settings, ListText list,
                                 OnWritten on_written)
    : loop_(loop),
      settings_(settings),
      list_(std::move(list)),
      on_written_(std::move(on_written)),
      last_written_(settings.relays) {
  loop_.RunAfter(kHeartbeatInterval, [this] { SendHeartbeats(); });
  loop_.RunAfter(kFlushInterval, [this] { FlushOutput(); });
}

void SharedDiscovery::Listen(std::size_t relay, ServiceAddress address, const std::string& host, int port) {
  const int listen_fd = ListenTcp(host, port);
  listeners_.push_back(std::make_unique<DescriptorWatcher>(loop_, listen_fd, [=, this] {
    for (int fd = AcceptTcp(listen_fd); fd >= 0; fd = AcceptTcp(listen_fd)) Accept(relay, address, fd);
  }));
}

void SharedDiscovery::Accept(std::size_t relay, ServiceAddress address, int fd) {
  auto watch = std::make_shared<Watch>();
  watch->relay = relay;
  watch->address = address;
  // An empty line ends the header of the request.
  watch->stream = std::make_shared<LineConnection>(
      loop_, fd,
      [this, weak = std::weak_ptr(watch)](std::string_view line) {
        const WatchPtr caller = weak.lock();
        if (caller && line.empty() && caller->state == State::kRequesting) OnCall(caller);
      },
      [] {});
  watches_.push_back(std::move(watch));
}

void SharedDiscovery::OnCall(const WatchPtr& watch) {
  ++calls_;
  watch->called_at = loop_.Now();
  watch->state = State::kQueued;
  if (rejecting_) return Reject(watch);
  queue_.push_back(watch);
  if (down_ && !settings_.answers_queued_calls) {
    loop_.RunAfter(settings_.outage_timeout, [this, watch] {
      if (watch->state != State::kQueued) return;
      std::erase(queue_, watch);
      Reject(watch);
    });
  }
  ServeNext();
}

// A call whose caller has given up occupies the service like any other.
void SharedDiscovery::ServeNext() {
  if (serving_ || down_) return;
  while (!queue_.empty() && loop_.Now() - queue_.front()->called_at > settings_.queue_timeout) {
    Reject(queue_.front());
    queue_.pop_front();
  }
  if (queue_.empty()) return;
  serving_ = true;
  const WatchPtr watch = queue_.front();
  queue_.pop_front();
  loop_.RunAfter(settings_.service_time, [this, watch] {
    serving_ = false;
    if (settings_.extra_latency.count() == 0) {
      Answer(watch);
    } else {
      loop_.RunAfter(settings_.extra_latency, [this, watch] { Answer(watch); });
    }
    ServeNext();
  });
}

void SharedDiscovery::Answer(const WatchPtr& watch) {
  if (watch->state != State::kQueued || watch->stream->IsClosed()) return;
  if (down_) return Reject(watch);
  watch->state = State::kWatching;
  longest_answer_ = std::max(longest_answer_, loop_.Now() - watch->called_at);
  Write(*watch, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  if (watch->address == ServiceAddress::kNew || !original_frozen_) WriteList(*watch);
}

void SharedDiscovery::Reject(const WatchPtr& watch) {
  if (watch->stream->IsClosed()) return;
  ++rejected_calls_;
  watch->state = State::kBroken;
  Write(*watch, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
}

void SharedDiscovery::Publish() {
  for (const WatchPtr& watch : watches_) {
    const bool frozen = original_frozen_ && watch->address == ServiceAddress::kOriginal;
    if (watch->state == State::kWatching && !frozen) WriteList(*watch);
  }
}

void SharedDiscovery::BreakWatches(WatchBreak how) {
  for (const WatchPtr& watch : watches_) {
    if (watch->state != State::kWatching) continue;
    if (how == WatchBreak::kEnded) Write(*watch, "0\r\n\r\n");
    if (how == WatchBreak::kMalformed) WriteChunk(*watch, "]}\n");
    if (how == WatchBreak::kReset) watch->stream->Reset();
    watch->state = State::kBroken;
  }
}

void SharedDiscovery::BeginOutage() {
  down_ = true;
  // The watches at an agent stay open and silent.
  BreakWatches(settings_.answers_queued_calls ? WatchBreak::kSilent : WatchBreak::kReset);
}

void SharedDiscovery::EndOutage() {
  down_ = false;
  ServeNext();
}

std::size_t SharedDiscovery::WatchingRelays() const {
  std::set<std::size_t> relays;
  for (const WatchPtr& watch : watches_) {
    if (watch->state == State::kWatching && !watch->stream->IsClosed()) relays.insert(watch->relay);
  }
  return relays.size();
}

void SharedDiscovery::WriteList(Watch& watch) {
  WriteChunk(watch, list_() + "\n");
  on_written_(watch.relay);
}

void SharedDiscovery::WriteChunk(Watch& watch, const std::string& text) {
  Write(watch, fmt::format("{:x}\r\n{}\r\n", text.size(), text));
}

void SharedDiscovery::Write(Watch& watch, const std::string& text) {
  if (watch.stream->IsClosed()) return;
  last_written_[watch.relay] = loop_.Now();
  watch.unsent += text;
  watch.unsent.erase(0, watch.stream->SendSome(watch.unsent));
}

void SharedDiscovery::FlushOutput() {
  for (const WatchPtr& watch : watches_) {
    if (!watch->unsent.empty()) watch->unsent.erase(0, watch->stream->SendSome(watch->unsent));
  }
  std::erase_if(watches_, [](const WatchPtr& watch) { return watch->stream->IsClosed(); });
  loop_.RunAfter(kFlushInterval, [this] { FlushOutput(); });
}

void SharedDiscovery::SendHeartbeats() {
  for (const WatchPtr& watch : watches_) {
    if (watch->state == State::kWatching) WriteChunk(*watch, "\n");
  }
  loop_.RunAfter(kHeartbeatInterval, [this] { SendHeartbeats(); });
}

}  // namespace stoatrun::fault_injection
