#include "proxy/loopback_fixture.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <utility>

#include "base/log.h"
#include "config/config.h"

namespace stoatrun {
namespace {

constexpr std::string_view kSettings = R"(,"zone":0,"azs":["z"],
 "classes":[{"name":"watch","effect":"idempotent","group":"all","target":500000,"hardLimit":2000000},
 {"name":"sync","effect":"deduplicated","group":"all","repeatWindow":1000000,"target":500000,
  "hardLimit":2000000}],
 "familyInfo":{"messageAim":[50000],"groups":true},
 "stats":{"how":"on_probe","fields":["outstanding","errors_per_s","x0"]},
 "limits":{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000,"idleClose":10000000,
 "retryAfter":true,"maxRetryAfter":2000000},
 "invariants":{"stopSendingWithin":250000,"cold":9000000,"coldFrom":0.32,"fall":1000000,
 "fallMultiple":3.0}})";

}  // namespace

LoopbackFixture::LoopbackFixture(const std::vector<std::string>& endpoints, LoopbackOptions options)
    : options_(std::move(options)) {
  SetLogLevel(Level::kError);
  for (const char* name : {"discovery", "discovery2"}) discoveries_[name].Listen();
  for (const std::string& id : endpoints) endpoints_[id].Listen();
  StartProcess(discoveries_["discovery"]);
}

void LoopbackFixture::StartProcess(const LoopbackServer& discovery) {
  const SharedMemory& sent_ids = options_.sent_ids != nullptr ? *options_.sent_ids : sent_ids_;
  ProcessHandover handover{SentRequestIds(SentRequestIds::SlotsIn(sent_ids.Data())), {}};
  if (!options_.endpoint_list_path.empty()) handover.endpoint_list = {options_.endpoint_list_path, Origin()};
  Config config = ConfigWith(discovery);
  if (options_.accept_fd >= 0) config.accept_fd = dup(options_.accept_fd);

  auto process = std::make_unique<Process>();
  process->loop.clock.Advance(elapsed_);
  process->proxy = std::make_unique<Proxy>(process->loop, config, handover, nullptr, options_.fleet);
  process->proxy->Start();
  processes_.push_back(std::move(process));
}

void LoopbackFixture::AdvanceClocks(std::chrono::milliseconds duration) {
  elapsed_ += duration;
  for (const auto& process : processes_) process->loop.clock.Advance(duration);
}

// Closes the test's sockets before the proxy is destroyed.
LoopbackFixture::~LoopbackFixture() {
  clients_.clear();
  endpoints_.clear();
  discoveries_.clear();
}

Config LoopbackFixture::ConfigWith(const LoopbackServer& discovery) const {
  std::string members;
  for (const auto& [id, endpoint] : endpoints_) {
    members += (members.empty() ? "" : ",") + std::string(R"({"id":")") + id +
               R"(","host_port":"127.0.0.1:)" + std::to_string(endpoint.port) +
               R"(","locality":"z","phase":"ready","later_field":[1]})";
  }
  Config config = ParseConfig(
      R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" + std::to_string(discovery.port) +
      R"(","limits":{"sockets":)" + std::to_string(options_.descriptor_limit) + R"(},"seed":")" +
      std::to_string(options_.seed) + R"(","known":{"revision":1,"complete":true,"members":[)" + members +
      R"(]},"settings":{"balancers":)" + std::to_string(options_.fleet_size) + R"(,"discovery":")" +
      options_.discovery_mode + '"' + std::string(kSettings) + "}");
  return config;
}

void LoopbackFixture::ServeDiscovery(LoopbackServer& discovery) const {
  discovery.AcceptAll();
  for (auto& peer : discovery.unidentified) {
    peer->Read();
    if (peer->input.find("\r\n\r\n") == std::string::npos) continue;
    if (discovery_refuses_) {
      peer->Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    } else if (!discovery_mute_) {
      peer->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    discovery.connections.push_back(std::move(peer));
  }
  std::erase(discovery.unidentified, nullptr);
}

void LoopbackFixture::Turn() {
  // The newest first, so that it takes the clients.
  for (std::size_t k = processes_.size(); k-- > 0;) processes_[k]->loop.Poll();
  while (processes_.size() > 1 && processes_.front()->loop.Stopped()) {
    processes_.front()->proxy->Finish();
    processes_.erase(processes_.begin());
  }
  for (auto& [id, endpoint] : endpoints_) endpoint.ServeEndpoint();
  for (auto& [name, discovery] : discoveries_) ServeDiscovery(discovery);
}

void LoopbackFixture::Turns(int count) {
  for (int k = 0; k < count; ++k) Turn();
}

LoopbackPeer& LoopbackFixture::FindOrConnectPeer(const std::string& name) {
  const std::size_t separator = name.find('#');
  if (const auto endpoint = endpoints_.find(name.substr(0, separator)); endpoint != endpoints_.end()) {
    auto& attempts = endpoint->second.connections;
    const std::size_t number = separator == std::string::npos ? 1 : std::stoul(name.substr(separator + 1));
    REQUIRE(Until([&] { return attempts.size() >= number; }));
    return *attempts[number - 1];
  }
  auto& client = clients_[name];
  if (!client) {
    client = std::make_unique<LoopbackPeer>();
    client->socket = NonBlocking(ConnectToLoopback(Newest().proxy->Port()));
  }
  return *client;
}

void LoopbackFixture::Play(std::string_view script) {
  std::istringstream lines{std::string(script)};
  for (std::string line; std::getline(lines, line);) {
    line.erase(0, line.find_first_not_of(' '));
    if (!line.empty()) PlayStep(ParseStep(line));
  }
}

LoopbackFixture::Step LoopbackFixture::ParseStep(const std::string& line) {
  Step step{line, {}, {}, {}};
  std::istringstream words(line);
  words >> step.subject >> step.verb >> std::ws;
  std::getline(words, step.argument);
  return step;
}

void LoopbackFixture::PlayStep(const Step& step) {
  INFO(step.line);
  if (const auto command = FixtureCommands().find(step.subject); command != FixtureCommands().end()) {
    (this->*command->second)(step);
  } else if (const auto discovery = discoveries_.find(step.subject); discovery != discoveries_.end()) {
    const auto discovery_command = DiscoveryCommands().find(step.verb);
    REQUIRE(discovery_command != DiscoveryCommands().end());
    (this->*discovery_command->second)(discovery->second, step);
    if (turns_after_step_ > 0) Turns(5);
  } else if (const auto server = EndpointCommands().find(step.verb); server != EndpointCommands().end()) {
    (this->*server->second)(endpoints_.at(step.subject), step);
  } else {
    const auto peer_command = PeerCommands().find(step.verb);
    REQUIRE(peer_command != PeerCommands().end());
    (this->*peer_command->second)(FindOrConnectPeer(step.subject), step);
    Turns(turns_after_step_);
  }
}

}  // namespace stoatrun
