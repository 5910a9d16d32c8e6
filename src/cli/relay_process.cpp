#include "cli/relay_process.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include "admin/metrics.h"
#include "cli/cli.h"
#include "cli/fleet_setup.h"
#include "cli/ledger_setup.h"
#include "config/site_settings.h"
#include "fleet/io/status.h"

namespace stoatrun::cli {
namespace {

// Limit for the last checkpoint: after the drain, 0.2 s of the graceful shutdown remain before SIGKILL.
constexpr std::chrono::milliseconds kLedgerFinishTimeout(150);

Micros WallClock() {
  return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
}

// Identifies the relay to all its processes.
std::string RelayIdentity(const Config& config) { return config.proxy_name + ' ' + config.listen_text; }

// The path of a file that the relay's processes share: in the folder for temporary files, if the platform
// passes the listening socket from each process to the next, which then runs beside it for a while. nullopt
// otherwise.
std::optional<std::string> SharedFilePath(const Config& config, std::string_view name) {
  const char* const folder = std::getenv("TMPDIR");
  if (!config.accept_fd || folder == nullptr) return std::nullopt;
  return fmt::format("{}/stoatrun-{}-{:016x}", folder, name, HashName(RelayIdentity(config)));
}

// The memory of SentRequestIds, which the relay's processes share if they can.
std::unique_ptr<SharedMemory> SentIdMemory(const Config& config) {
  constexpr std::size_t kSize = SentRequestIds::kMemorySize;
  const auto path = SharedFilePath(config, "sent-ids");
  if (!path) return std::make_unique<SharedMemory>(kSize);
  try {
    return std::make_unique<SharedMemory>(*path, kSize);
  } catch (const std::system_error& error) {
    LogLine(Level::kWarn, "sent request ids are not shared with another process").Reason(error.what());
    return std::make_unique<SharedMemory>(kSize);
  }
}

// A random text that is new with each start of the machine; empty if it can't be read.
std::string ReadBootId() {
  std::string id;
  std::ifstream("/proc/sys/kernel/random/boot_id") >> id;
  return id;
}

std::optional<EndpointListFile> SharedEndpointList(const Config& config) {
  const auto path = SharedFilePath(config, "endpoints");
  if (!path) return std::nullopt;
  return EndpointListFile{*path, {RelayIdentity(config), ReadBootId()}};
}

template <typename T>
T* PointerOrNull(std::optional<T>& component) {
  return component ? &*component : nullptr;
}

}  // namespace

void ConfigureLog(const config::Log& log, std::optional<Level> level_override) {
  SetLogLevel(level_override.value_or(static_cast<Level>(log.level())));
  SetLogFormat(log.form() == config::Log::JSON ? LogFormat::kJson : LogFormat::kText);
}

RelayProcess::RelayProcess(std::string operator_path, const Config& config,
                           config::OperatorFile operator_file)
    : operator_path_(std::move(operator_path)), config_(config), operator_file_(std::move(operator_file)) {
  if (operator_file_.has_ledger()) CreateLedger();
  if (operator_file_.has_fleet()) CreateFleet();
  CreateProxy();
  if (config_.management) admin_server_.emplace(loop_, static_cast<AdminHandler&>(*this));
  on_terminate_.emplace(loop_, SIGTERM, [this] { proxy_->BeginGracefulShutdown(); });
  on_interrupt_.emplace(loop_, SIGINT, [this] { proxy_->BeginGracefulShutdown(); });
  on_print_counters_.emplace(loop_, SIGUSR1, [this] { LogCounters(); });
  on_reload_.emplace(loop_, SIGHUP, [this] {
    try {
      Reload();
    } catch (const std::exception& e) {
      proxy_->OnReloadFailed(e.what());
    }
  });
  // A write to a closed connection must return EPIPE instead of terminating the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void RelayProcess::CreateLedger() {
  const config::Ledger& section = operator_file_.ledger();
  usage_recorder_.emplace(loop_, MakeUsageRecorderSetup(config_, section), WallClock);
  if (section.has_receiver()) {
    export_client_.emplace(loop_, *usage_recorder_,
                           MakeExportClientSetup(section.receiver(), config_.settings.balancer.seed));
  }
}

void RelayProcess::CreateFleet() {
  const config::Fleet& section = operator_file_.fleet();
  gossip_transport_.emplace(loop_, MakeGossipTransportSetup(config_, section));
  fleet_member_.emplace(loop_, *gossip_transport_, FleetQuotaGroups(config_, section));
}

void RelayProcess::CreateProxy() {
  sent_ids_ = SentIdMemory(config_);
  const ProcessHandover handover{SentRequestIds(SentRequestIds::SlotsIn(sent_ids_->Data())),
                                 SharedEndpointList(config_)};
  proxy_.emplace(loop_, config_, handover, PointerOrNull(usage_recorder_), PointerOrNull(fleet_member_));
}

void RelayProcess::Serve() {
  Start();
  loop_.Run();
  Shutdown();
}

void RelayProcess::Start() {
  if (gossip_transport_) {
    gossip_transport_->Start();
    LogLine(Level::kInfo, "fleet")
        .Field("name", operator_file_.fleet().name())
        .Field("port", gossip_transport_->Port());
  }
  proxy_->Start();
  if (admin_server_) {
    admin_server_->Listen(*config_.management);
    LogLine(Level::kInfo, "management").Field("address", config_.management_text);
  }
  LogLine(Level::kInfo, "ready").Field("name", config_.proxy_name).Field("port", proxy_->Port());
}

void RelayProcess::Shutdown() {
  proxy_->Finish();
  if (gossip_transport_) gossip_transport_->Leave();
  const bool recorder_finished = !usage_recorder_ || usage_recorder_->Finish(kLedgerFinishTimeout);
  LogCounters();
  // A thread blocked in a system call on the disk can't be joined, and the objects that it uses must not be
  // destroyed. The process therefore exits without running destructors.
  if (!recorder_finished) std::_Exit(kSuccess);
}

void RelayProcess::Reload() {
  // Everything that may throw precedes the first change, so that a failed reload changes nothing.
  const Config config = LoadConfig(LoadAt::kReload);
  const config::OperatorFile new_file = LoadOperatorFile(operator_path_);
  const OperatorFileChange change = CompareOperatorFiles(operator_file_, new_file);
  std::optional<fleet::GossipTransportSetup> fleet_setup;
  if (gossip_transport_ && new_file.has_fleet()) {
    fleet_setup = MakeGossipTransportSetup(config, new_file.fleet());
  }

  for (const auto& field : change.restart_required) {
    LogLine(Level::kWarn, "reload takes a restart").Field("changed", field);
  }
  for (const auto& field : change.reloadable) LogLine(Level::kInfo, "reload").Field("operator", field);
  ConfigureLog(new_file.log(), config.log_level);
  proxy_->Reload(config);
  // Fields that need a restart keep their effective values, so that the next reload reports them again.
  *operator_file_.mutable_log() = new_file.log();
  if (fleet_setup) ReloadFleet(new_file.fleet(), *fleet_setup);
}

void RelayProcess::ReloadFleet(const config::Fleet& section, const fleet::GossipTransportSetup& setup) {
  if (setup.settings.self != gossip_transport_->LocalNode().GetSettings().self) {
    LogLine(Level::kWarn, "reload takes a restart").Field("changed", "fleet.peer.place");
    return;
  }
  gossip_transport_->SetPeers(setup.settings.peers, setup.addresses);
  *operator_file_.mutable_fleet()->mutable_peer() = section.peer();
}

void RelayProcess::LogCounters() {
  if (usage_recorder_) usage_recorder_->CheckBalance();
  LogLine record(Level::kInfo, "counters");
  AddFields(record, proxy_->Counts());
  if (usage_recorder_) usage_recorder_->AddFields(record);
  if (export_client_) export_client_->AddFields(record);
  if (gossip_transport_) {
    record.Field("attempts_denied_by_quota", proxy_->Counts().attempts_denied_by_quota);
    gossip_transport_->AddFields(record);
  }
}

AdminResponse RelayProcess::OnCall(AdminCall call) {
  switch (call) {
    case AdminCall::kReady:
      return proxy_->Ready() ? AdminResponse{200, "ready"} : AdminResponse{503, "not ready"};
    case AdminCall::kMetrics:
      return MetricsResponse();
    case AdminCall::kDrain:
      proxy_->StartDrain();
      return {200, "draining"};
    case AdminCall::kActivate:
      proxy_->Activate();
      return proxy_->Ready() ? AdminResponse{200, "active"} : AdminResponse{503, "ending"};
    case AdminCall::kFleet:
      return FleetResponse();
  }
  return {500, "unknown call"};
}

AdminResponse RelayProcess::MetricsResponse() {
  const Metrics metrics{.class_names = proxy_->ClassNames(),
                        .classes = proxy_->Counts().classes,
                        .outstanding = proxy_->SessionCount(),
                        .discovered = proxy_->EndpointCount(),
                        .ejected = proxy_->EjectedCount()};
  return {200, FormatMetrics(metrics)};
}

AdminResponse RelayProcess::FleetResponse() {
  const fleet::GossipTransportCounts& counts = gossip_transport_->Counts();
  return {200,
          fleet::StatusJson(gossip_transport_->LocalNode(), gossip_transport_->Name(), proxy_->ClassNames(),
                            loop_.Now(), {counts.Undecodable(), counts.wrong_address})};
}

}  // namespace stoatrun::cli
