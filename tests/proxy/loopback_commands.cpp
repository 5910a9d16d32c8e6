// The script commands of LoopbackFixture.
#include <fcntl.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <sstream>
#include <utility>

#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

// Replaces the escape sequences \r and \n.
std::string Unescape(std::string text) {
  for (const auto& [from, to] : {std::pair("\\r", "\r"), std::pair("\\n", "\n")}) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;) text.replace(at, 2, to);
  }
  return text;
}

}  // namespace

// ---- fixture commands ----

const std::map<std::string_view, LoopbackFixture::Handler>& LoopbackFixture::FixtureCommands() {
  static const std::map<std::string_view, Handler> kCommands{
      {"wait", &LoopbackFixture::Wait},
      {"stall", &LoopbackFixture::Stall},
      {"turns", &LoopbackFixture::SetTurns},
      {"turn", &LoopbackFixture::PlayTurn},
      {"connect-idle", &LoopbackFixture::ConnectIdleClients},
      {"expect-idle", &LoopbackFixture::CheckIdleClients},
      {"drain", &LoopbackFixture::BeginShutdown},
      {"drain-call", &LoopbackFixture::StartDrain},
      {"activate", &LoopbackFixture::Activate},
      {"exhaust", &LoopbackFixture::ExhaustDescriptors},
      {"stopped", &LoopbackFixture::AwaitStopped},
      {"reload", &LoopbackFixture::Reload},
      {"replace", &LoopbackFixture::Replace},
      {"drain-old", &LoopbackFixture::DrainOldest},
      {"kill-old", &LoopbackFixture::KillOldest},
  };
  return kCommands;
}

// Advances the clock in steps of 5 ms, so that timers expire at their own times.
void LoopbackFixture::Wait(const Step& step) {
  for (int remaining = std::stoi(step.verb); remaining > 0; remaining -= 5) {
    AdvanceClocks(std::chrono::milliseconds(std::min(remaining, 5)));
    Turns(3);
  }
}

void LoopbackFixture::Stall(const Step& step) {
  const int turns = std::exchange(turns_after_step_, 0);
  PlayStep(ParseStep(step.argument));
  turns_after_step_ = turns;
  AdvanceClocks(std::chrono::milliseconds(std::stoi(step.verb)));
  Turns(3);
}

void LoopbackFixture::SetTurns(const Step& step) { turns_after_step_ = std::stoi(step.verb); }

void LoopbackFixture::PlayTurn(const Step& /*step*/) { Turn(); }

void LoopbackFixture::ConnectIdleClients(const Step& step) {
  for (int k = std::stoi(step.verb); k > 0; --k) FindOrConnectPeer("idle" + std::to_string(k));
  Turns(5);
}

void LoopbackFixture::CheckIdleClients(const Step& step) {
  const auto connected = std::count_if(clients_.begin(), clients_.end(), [](const auto& client) {
    client.second->Read();
    return client.first.starts_with("idle") && !client.second->ended;
  });
  CHECK(connected == std::stoi(step.verb));
}

void LoopbackFixture::BeginShutdown(const Step& /*step*/) { Newest().proxy->BeginGracefulShutdown(); }

void LoopbackFixture::StartDrain(const Step& /*step*/) {
  Newest().proxy->StartDrain();
  Turns(3);
}

void LoopbackFixture::Activate(const Step& /*step*/) {
  Newest().proxy->Activate();
  Turns(3);
}

// Uses up all file descriptors before the proxy accepts the client's connection.
void LoopbackFixture::ExhaustDescriptors(const Step& step) {
  FindOrConnectPeer(step.verb);
  std::vector<UniqueFd> taken;
  for (int fd = 0; (fd = open("/dev/null", O_RDONLY | O_CLOEXEC)) >= 0;) taken.emplace_back(fd);
  if (step.argument.empty()) {
    Turns(5);
  } else {
    PlayStep(ParseStep(step.argument));
  }
}

void LoopbackFixture::AwaitStopped(const Step& /*step*/) {
  REQUIRE(Until([&] { return Newest().loop.Stopped(); }));
}

void LoopbackFixture::Reload(const Step& step) {
  Newest().proxy->Reload(ConfigWith(discoveries_.at(step.verb)));
  Turns(5);
}

void LoopbackFixture::Replace(const Step& step) {
  StartProcess(discoveries_.at(step.verb));
  Turns(5);
}

void LoopbackFixture::DrainOldest(const Step& /*step*/) {
  REQUIRE(processes_.size() > 1);
  processes_.front()->proxy->BeginGracefulShutdown();
  Turns(3);
}

void LoopbackFixture::KillOldest(const Step& /*step*/) {
  REQUIRE_FALSE(processes_.empty());
  processes_.erase(processes_.begin());
  Turns(3);
}

// ---- endpoint commands ----

const std::map<std::string_view, LoopbackFixture::ServerHandler>& LoopbackFixture::EndpointCommands() {
  static const std::map<std::string_view, ServerHandler> kCommands{
      {"down", &LoopbackFixture::TakeDown},         {"full", &LoopbackFixture::FillQueue},
      {"break", &LoopbackFixture::EndUnidentified}, {"idle-end", &LoopbackFixture::EndUnidentified},
      {"load", &LoopbackFixture::SetLoad},          {"legs", &LoopbackFixture::CheckAttempts},
  };
  return kCommands;
}

void LoopbackFixture::TakeDown(LoopbackServer& endpoint, const Step& /*step*/) { endpoint.listener.Reset(); }

void LoopbackFixture::BringUp(LoopbackServer& server, const Step& /*step*/) { server.Listen(); }

void LoopbackFixture::FillQueue(LoopbackServer& endpoint, const Step& /*step*/) { endpoint.FillQueue(); }

void LoopbackFixture::EndUnidentified(LoopbackServer& endpoint, const Step& step) {
  const CloseMode mode = step.verb == "break" ? CloseMode::kReset : CloseMode::kOrderly;
  if (mode == CloseMode::kReset) endpoint.AcceptAll();
  for (auto& peer : endpoint.unidentified) peer->Close(mode);
  endpoint.unidentified.clear();
}

void LoopbackFixture::SetLoad(LoopbackServer& endpoint, const Step& step) { endpoint.load = step.argument; }

void LoopbackFixture::CheckAttempts(LoopbackServer& endpoint, const Step& step) {
  REQUIRE(endpoint.connections.size() == std::stoul(step.argument));
}

// ---- discovery commands ----

const std::map<std::string_view, LoopbackFixture::ServerHandler>& LoopbackFixture::DiscoveryCommands() {
  static const std::map<std::string_view, ServerHandler> kCommands{
      {"refuse", &LoopbackFixture::SetDiscoveryMode},
      {"down", &LoopbackFixture::TakeDown},
      {"up", &LoopbackFixture::BringUp},
      {"serve", &LoopbackFixture::SetDiscoveryMode},
      {"mute", &LoopbackFixture::SetDiscoveryMode},
      {"send", &LoopbackFixture::SendChunk},
      {"raw", &LoopbackFixture::SendChunk},
      {"send-first", &LoopbackFixture::SendChunk},
      {"raw-first", &LoopbackFixture::SendChunk},
      {"plain", &LoopbackFixture::SendPlain},
      {"plain-first", &LoopbackFixture::SendPlain},
      {"watches", &LoopbackFixture::AwaitWatches},
      {"asked", &LoopbackFixture::CheckWatchRequest},
      {"expect-end", &LoopbackFixture::AwaitWatchEnd},
      {"close", &LoopbackFixture::CloseWatch},
      {"reset", &LoopbackFixture::CloseWatch},
  };
  return kCommands;
}

LoopbackPeer& LoopbackFixture::LastWatch(LoopbackServer& discovery) {
  REQUIRE(Until([&] { return !discovery.connections.empty(); }));
  return *discovery.connections.back();
}

void LoopbackFixture::SetDiscoveryMode(LoopbackServer& /*discovery*/, const Step& step) {
  discovery_refuses_ = step.verb == "refuse";
  discovery_mute_ = step.verb == "mute";
}

void LoopbackFixture::SendChunk(LoopbackServer& discovery, const Step& step) {
  const bool is_line = step.verb.starts_with("send");
  const std::string body = is_line ? step.argument + "\n" : Unescape(step.argument);
  std::ostringstream chunk;
  chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
  LoopbackPeer& last = LastWatch(discovery);
  (step.verb.ends_with("-first") ? *discovery.connections.front() : last).Send(chunk.str());
}

void LoopbackFixture::SendPlain(LoopbackServer& discovery, const Step& step) {
  LoopbackPeer& last = LastWatch(discovery);
  (step.verb == "plain-first" ? *discovery.connections.front() : last).Send(Unescape(step.argument));
}

void LoopbackFixture::AwaitWatches(LoopbackServer& discovery, const Step& step) {
  LastWatch(discovery);
  REQUIRE(Until([&] { return discovery.connections.size() >= std::stoul(step.argument); }));
}

void LoopbackFixture::CheckWatchRequest(LoopbackServer& discovery, const Step& step) {
  REQUIRE(LastWatch(discovery).input.find(step.argument) != std::string::npos);
}

void LoopbackFixture::AwaitWatchEnd(LoopbackServer& discovery, const Step& /*step*/) {
  LoopbackPeer& watch = LastWatch(discovery);
  REQUIRE(Until([&] {
    watch.Read();
    return watch.ended;
  }));
}

void LoopbackFixture::CloseWatch(LoopbackServer& discovery, const Step& step) {
  LastWatch(discovery).Close(step.verb == "reset" ? CloseMode::kReset : CloseMode::kOrderly);
}

// ---- commands of clients and of attempts at endpoints ----

const std::map<std::string_view, LoopbackFixture::PeerHandler>& LoopbackFixture::PeerCommands() {
  static const std::map<std::string_view, PeerHandler> kCommands{
      {"send", &LoopbackFixture::SendLine},
      {"both", &LoopbackFixture::SendTwoLines},
      {"raw", &LoopbackFixture::SendRaw},
      {"expect", &LoopbackFixture::ExpectLine},
      {"answered", &LoopbackFixture::ExpectAnswer},
      {"expect-end", &LoopbackFixture::ExpectEnd},
      {"expect-reset", &LoopbackFixture::ExpectEnd},
      {"send-bytes", &LoopbackFixture::SendBytes},
      {"flood", &LoopbackFixture::Flood},
      {"expect-flood", &LoopbackFixture::ExpectFlood},
      {"expect-moved", &LoopbackFixture::ExpectMigrated},
      {"expect-all-moved", &LoopbackFixture::ExpectFloodAndMigrated},
      {"read", &LoopbackFixture::ReadBytes},
      {"pings", &LoopbackFixture::SendPings},
      {"expect-pongs", &LoopbackFixture::ExpectPongs},
      {"half", &LoopbackFixture::HalfClose},
      {"close", &LoopbackFixture::Close},
      {"reset", &LoopbackFixture::Close},
  };
  return kCommands;
}

void LoopbackFixture::SendLine(LoopbackPeer& peer, const Step& step) { peer.Send(step.argument + "\r\n"); }

void LoopbackFixture::SendTwoLines(LoopbackPeer& peer, const Step& step) {
  const std::size_t separator = step.argument.find(" | ");
  peer.Send(step.argument.substr(0, separator) + "\r\n" + step.argument.substr(separator + 3) + "\r\n");
}

void LoopbackFixture::SendRaw(LoopbackPeer& peer, const Step& step) { peer.Send(step.argument); }

void LoopbackFixture::ExpectLineOf(LoopbackPeer& peer, const std::string& pattern) {
  const bool line_received = Until([&] {
    peer.Read();
    return peer.HasLineOrEnded();
  });
  INFO("received: " << peer.input);
  REQUIRE(line_received);
  const std::string line = peer.input.substr(0, peer.input.find("\r\n"));
  peer.input.erase(0, line.size() + 2);
  if (!pattern.empty() && pattern.back() == '*') {
    REQUIRE(line.substr(0, pattern.size() - 1) == pattern.substr(0, pattern.size() - 1));
  } else {
    REQUIRE(line == pattern);
  }
}

void LoopbackFixture::ExpectLine(LoopbackPeer& peer, const Step& step) { ExpectLineOf(peer, step.argument); }

void LoopbackFixture::ExpectAnswer(LoopbackPeer& peer, const Step& /*step*/) {
  Until([&] {
    peer.Read();
    return peer.HasLineOrEnded();
  });
  REQUIRE(peer.input.find("\r\n") != std::string::npos);
  ExpectLineOf(peer, "*");
}

void LoopbackFixture::ExpectEnd(LoopbackPeer& peer, const Step& step) {
  REQUIRE(Until([&] {
    peer.Read();
    return peer.ended;
  }));
  CHECK(peer.input.empty());
  CHECK(peer.reset == (step.verb == "expect-reset"));
}

// The peer reads only after it has sent everything, so a reset in the meantime would lose the answer.
void LoopbackFixture::SendBytes(LoopbackPeer& peer, const Step& step) {
  const std::string bytes(1 << 16, 'k');
  std::size_t remaining = std::stoul(step.argument);
  REQUIRE(Until([&] {
    const ssize_t n = send(peer.socket.Get(), bytes.data(), std::min(remaining, bytes.size()), MSG_NOSIGNAL);
    REQUIRE((n > 0 || errno == EAGAIN));
    if (n > 0) remaining -= static_cast<std::size_t>(n);
    return remaining == 0;
  }));
  peer.HalfClose();
}

// Sends numbered lines, so that missing ones are recognized. A line that the socket does not accept is
// retried, then skipped.
void LoopbackFixture::Flood(LoopbackPeer& peer, const Step& step) {
  constexpr int kMaxTries = 50;
  std::string text(999, '.');
  for (std::size_t k = 0; k < std::stoul(step.argument); ++k) {
    text.replace(0, 8, std::to_string(10'000'000 + k));
    const std::string line = text + '\n';
    for (int tries = 0; tries < kMaxTries; ++tries) {
      const ssize_t n = send(peer.socket.Get(), line.data(), line.size(), MSG_NOSIGNAL);
      if (n > 0) {
        flood_ += line.substr(0, static_cast<std::size_t>(n));
        break;
      }
      Turn();
    }
  }
  REQUIRE_FALSE(flood_.empty());
}

void LoopbackFixture::ExpectFlood(LoopbackPeer& peer, const Step& /*step*/) {
  Until([&] {
    peer.Read();
    return peer.input.size() >= flood_.size() || peer.ended;
  });
  CHECK(peer.input.size() == flood_.size());
  CHECK((peer.input == flood_));
  peer.input.clear();
}

void LoopbackFixture::ExpectMigrated(LoopbackPeer& peer, const Step& /*step*/) {
  REQUIRE(Until([&] {
    peer.Read();
    return peer.ended;
  }));
  const std::size_t size = peer.input.rfind("MOVE\r\n");
  REQUIRE(size + 6 == peer.input.size());
  CHECK(peer.input.substr(0, size) == flood_.substr(0, size));
  CHECK((size > TcpConnection::kHighWatermark && flood_[size - 1] == '\n'));
}

// The client reads all the time. A line that the flood could send only in part does not count.
void LoopbackFixture::ExpectFloodAndMigrated(LoopbackPeer& peer, const Step& /*step*/) {
  constexpr std::chrono::milliseconds kReadInterval(1);
  REQUIRE(Until([&] {
    peer.Read();
    AdvanceClocks(kReadInterval);
    return peer.ended;
  }));
  const std::string expected = flood_.substr(0, flood_.rfind('\n') + 1) + "MOVE\r\n";
  CHECK(peer.input.size() == expected.size());
  CHECK((peer.input == expected));
}

void LoopbackFixture::SendPings(LoopbackPeer& peer, const Step& step) {
  std::string pings;
  for (int k = std::stoi(step.argument); k > 0; --k) pings += "PING\r\n";
  peer.Send(pings);
}

void LoopbackFixture::ExpectPongs(LoopbackPeer& peer, const Step& step) {
  std::string pongs;
  for (int k = std::stoi(step.argument); k > 0; --k) pongs += "PONG\r\n";
  REQUIRE(Until([&] {
    peer.Read();
    return peer.input.size() >= pongs.size() || peer.ended;
  }));
  CHECK((peer.input == pongs));
  peer.input.clear();
  tcp_info info{};
  socklen_t size = sizeof info;
  REQUIRE(getsockopt(peer.socket.Get(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0);
  CHECK(info.tcpi_data_segs_in <= std::stoul(step.argument) / 100);
}

void LoopbackFixture::ReadBytes(LoopbackPeer& peer, const Step& step) {
  const std::size_t size = peer.input.size() + std::stoul(step.argument);
  REQUIRE(Until([&] {
    peer.ReadAtMost(size - peer.input.size());
    return peer.input.size() == size || peer.ended;
  }));
}

void LoopbackFixture::HalfClose(LoopbackPeer& peer, const Step& /*step*/) { peer.HalfClose(); }

void LoopbackFixture::Close(LoopbackPeer& peer, const Step& step) {
  peer.Close(step.verb == "reset" ? CloseMode::kReset : CloseMode::kOrderly);
}

}  // namespace stoatrun
