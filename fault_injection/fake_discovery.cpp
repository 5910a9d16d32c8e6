#include "fake_discovery.h"

#include <fmt/format.h>

#include "relay_settings.h"

namespace stoatrun::fault_injection {
namespace {

constexpr Micros kKeepAliveInterval = std::chrono::seconds(2);

}  // namespace

FakeDiscovery::FakeDiscovery(Harness& harness) : harness_(harness), watches_(harness.relays.size()) {
  for (std::size_t relay = 0; relay < watches_.size(); ++relay) {
    Listen(relay);
    SendKeepAlive(relay);
  }
}

void FakeDiscovery::Listen(std::size_t relay) {
  const int listen_fd = ListenTcp(harness_.network.DiscoveryIp(relay), kDiscoveryPort);
  listeners_.push_back(
      std::make_unique<DescriptorWatcher>(harness_.loop, listen_fd, [this, relay, listen_fd] {
        if (const int fd = AcceptTcp(listen_fd); fd >= 0) Accept(relay, fd);
      }));
}

void FakeDiscovery::Accept(std::size_t relay, int fd) {
  if (watches_[relay]) harness_.closer.Close(watches_[relay]);
  watches_[relay] = std::make_shared<LineConnection>(
      harness_.loop, fd, [this, relay](std::string_view line) { OnLine(relay, line); }, [] {});
}

// An empty line ends the request's header; every request is answered with the watch stream.
void FakeDiscovery::OnLine(std::size_t relay, std::string_view line) {
  if (!line.empty() || !watches_[relay]) return;
  watches_[relay]->Send(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  Push(relay, AllServers(harness_), true);
}

void FakeDiscovery::PushChange(std::size_t server) {
  for (std::size_t relay = 0; relay < watches_.size(); ++relay) Push(relay, {server}, false);
}

void FakeDiscovery::Push(std::size_t relay, const std::vector<std::size_t>& servers, bool complete) {
  const std::string list = ServerListJson(harness_, *harness_.relays[relay], servers);
  SendChunk(
      relay,
      fmt::format(R"({{"revision":{},"complete":{},"members":[{}]}})", ++revision_, complete, list) + "\n");
}

void FakeDiscovery::SendChunk(std::size_t relay, const std::string& text) {
  if (watches_[relay]) watches_[relay]->Send(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
}

void FakeDiscovery::SendKeepAlive(std::size_t relay) {
  SendChunk(relay, "\n");
  harness_.loop.RunAfter(kKeepAliveInterval, [this, relay] { SendKeepAlive(relay); });
}

}  // namespace stoatrun::fault_injection
