#include "relay_settings.h"

#include <fmt/format.h>

#include <fstream>
#include <numeric>
#include <stdexcept>

namespace stoatrun::fault_injection {
namespace {

// `host`: the IP address on which the process listens.
std::string ConfigText(const Harness& harness, const ManagedRelay& relay, const std::string& host) {
  std::string groups, group_quotas;
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    groups += fmt::format(R"({}{{"name":"{}"}})", group > 0 ? "," : "", GroupName(group));
    group_quotas += fmt::format("{}{}", group > 0 ? "," : "", harness.setup.group_units);
  }
  return fmt::format(
      R"({{"name":"{}","listen":"{}:{}","discovery":"{}:{}","seed":"{:016x}","management":"{}:{}",)"
      R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":2048}},)"
      R"("known":{{"revision":1,"complete":true,"members":[{}]}},)"
      R"("settings":{{"balancers":{},"zone":0,"azs":["here"],"discovery":"subscribe","accounts":[{}],)"
      R"("classes":[{{"name":"chat","effect":"idempotent","group":"all","target":500000,)"
      R"("hardLimit":2000000}}],)"
      R"("familyInfo":{{"messageAim":[50000],"tenantQuotaConnections":[{}]}},)"
      R"("stats":{{"how":"on_probe","fields":["outstanding","errors_per_s","x0"]}},)"
      R"("limits":{{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000,"idleClose":10000000,)"
      R"("retryAfter":true,"maxRetryAfter":2000000}},)"
      R"("invariants":{{"askWithin":10000000,"cold":{},"coldFrom":0.32,"fall":1000000,"fallMultiple":3.0,)"
      R"("stopSendingWithin":250000}}}}}})",
      relay.name, host, kClientPort, harness.network.DiscoveryIp(relay.index), kDiscoveryPort,
      harness.schedule.seed + relay.index + 1, host, kManagementPort,
      ServerListJson(harness, relay, AllServers(harness)), harness.schedule.relays, groups, group_quotas,
      kSlowStart.count());
}

std::string OperatorText(const Harness& harness, const ManagedRelay& relay, const std::string& host) {
  std::string text = fmt::format("fleet {{\n  name: \"rig\"\n  places: {}\n", harness.schedule.relays);
  for (const auto& peer : harness.relays) {
    const bool self = peer->index == relay.index;
    if (peer->removed && !self) continue;
    text += fmt::format(R"(  peer {{ place: {} name: "{}" address: "{}:{}")", peer->index, peer->name,
                        harness.network.PeerIp(peer->index), kGossipPort);
    if (self) text += fmt::format(R"( listen: "{}:{}")", host, kGossipPort);
    text += " }\n";
  }
  text += fmt::format("  budget {{ kind: COLD_SENDS units: {} }}\n", harness.setup.slow_start_units);
  text += fmt::format("  budget {{ kind: ATTEMPTS units: {} }}\n", harness.setup.attempt_units);
  return text + "  quotas: true\n  most_taken_per_s: 100\n  most_open: 1000\n}\n";
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  if (!(out << text) || !out.flush()) throw std::runtime_error("can't write " + path);
}

RelayProcess::Files FilesNamed(const Harness& harness, const std::string& name) {
  const std::string base = fmt::format("{}/{}", harness.setup.folder, name);
  return {base + ".json", base + ".txtpb", base + ".log"};
}

void WriteFiles(const Harness& harness, const ManagedRelay& relay, const std::string& host,
                const RelayProcess::Files& files) {
  WriteFile(files.config, ConfigText(harness, relay, host));
  WriteFile(files.operator_file, OperatorText(harness, relay, host));
}

}  // namespace

RelayProcess::Files FilesOfRelay(const Harness& harness, const ManagedRelay& relay) {
  return FilesNamed(harness, relay.name);
}

RelayProcess::Files FilesOfDuplicate(const Harness& harness, const ManagedRelay& relay) {
  return FilesNamed(harness, relay.name + ".twin");
}

void WriteRelayFiles(const Harness& harness, const ManagedRelay& relay) {
  WriteFiles(harness, relay, harness.network.RelayIp(relay.index), FilesOfRelay(harness, relay));
}

void WriteDuplicateFiles(const Harness& harness, const ManagedRelay& relay) {
  WriteFiles(harness, relay, harness.network.DuplicateIp(relay.index), FilesOfDuplicate(harness, relay));
}

std::string ServerListJson(const Harness& harness, const ManagedRelay& relay,
                           const std::vector<std::size_t>& servers) {
  std::string list;
  for (const std::size_t index : servers) {
    list += fmt::format(
        R"({}{{"id":"{}","host_port":"{}:{}","locality":"here","flavor":"x","cell":0,"phase":"ready",)"
        R"("size":1.0,"up_since_ms":{}}})",
        list.empty() ? "" : ",", harness.servers[index].name, harness.network.ServerIp(index, relay.index),
        kServerPort, harness.servers[index].started_at_ms);
  }
  return list;
}

std::vector<std::size_t> AllServers(const Harness& harness) {
  std::vector<std::size_t> all(harness.servers.size());
  std::iota(all.begin(), all.end(), std::size_t{0});
  return all;
}

}  // namespace stoatrun::fault_injection
