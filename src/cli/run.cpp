// `stoatrun run`: environment, signals and wiring of the relay.
#include <ev.h>
#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <optional>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "cli/cli.h"
#include "cli/fleet_setup.h"
#include "cli/ledger_setup.h"
#include "config/config.h"
#include "config/operator_file.h"
#include "fleet/io/fleet_member.h"
#include "fleet/io/gossip_transport.h"
#include "fleet/io/status.h"
#include "proxy/proxy.h"

namespace stoatrun::cli {
namespace {

// For the last checkpoint: a planned end has 0.2 s left before SIGKILL.
constexpr std::chrono::milliseconds kLedgerEnd(150);

// STOATRUN_LOG goes before the operator file.
void SetUpLog(const config::Log& log, const std::optional<Level>& given) {
  SetLogLevel(given.value_or(static_cast<Level>(log.level())));
  SetLogFormat(log.form() == config::Log::JSON ? LogFormat::kJson : LogFormat::kText);
}

class Service : private ManagementEvents {
 public:
  Service(const Common& common, const Config& config, const config::OperatorFile& file)
      : common_(common), file_(file) {
    if (file.has_ledger()) {
      usage_recorder_.emplace(loop_, MakeUsageRecorderSetup(config, file.ledger()), [] {
        return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
      });
      if (file.ledger().has_receiver()) {
        export_client_.emplace(loop_, *usage_recorder_,
                               MakeExportClientSetup(file.ledger().receiver(), config.settings.balancer.seed));
      }
    }
    if (file.has_fleet()) {
      transport_.emplace(loop_, FleetSetupOf(config, file.fleet()));
      seat_.emplace(loop_, *transport_, QuotasOf(config, file.fleet()));
    }
    relay_.emplace(loop_, config, usage_recorder_ ? &*usage_recorder_ : nullptr, seat_ ? &*seat_ : nullptr);
    if (config.management) management_.emplace(loop_, static_cast<ManagementEvents&>(*this));
    Watch(term_, SIGTERM, OnEnd);
    Watch(interrupt_, SIGINT, OnEnd);
    Watch(usr1_, SIGUSR1, OnPrint);
    Watch(hangup_, SIGHUP, OnReload);
    // A peer that is gone is told by the write's result, not by the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
  }

  void Serve(const Config& config) {
    if (transport_) {
      transport_->Start();
      LogLine(Level::kInfo, "fleet").Field("name", file_.fleet().name()).Field("port", transport_->Port());
    }
    relay_->Start();
    if (management_) {
      management_->Listen(*config.management);
      LogLine(Level::kInfo, "management").Field("address", config.management_text);
    }
    LogLine(Level::kInfo, "ready").Field("name", config.proxy_name).Field("port", relay_->Port());
    loop_.Run();
    if (transport_) transport_->Leave();
    const bool kept = !usage_recorder_ || usage_recorder_->Finish(kLedgerEnd);
    Print();
    // A thread that hangs in a call to the disk can't be waited for, nor may its objects go.
    if (!kept) std::_Exit(kDone);
  }

 private:
  void Watch(ev_signal& w, int number, void (*callback)(struct ev_loop*, ev_signal*, int)) {
    ev_signal_init(&w, callback, number);
    w.data = this;
    ev_signal_start(loop_.native_handle(), &w);
  }
  static Service& Of(ev_signal* w) { return *static_cast<Service*>(w->data); }
  static void OnEnd(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) {
    Of(w).relay_->BeginGracefulShutdown();
  }
  static void OnPrint(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) { Of(w).Print(); }
  static void OnReload(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) {
    try {
      Of(w).Reload();
    } catch (const std::exception& e) {  // None may pass through the loop's C frames.
      Of(w).relay_->OnReloadFailed(e.what());
    }
  }

  // Both files are read before either is taken up: a fault in one leaves both as they were.
  void Reload() {
    const Config config = LoadConfig(LoadAt::kReload);
    const config::OperatorFile file = LoadOperatorFile(common_.operator_path);
    const OperatorFileChange change = CompareOperatorFiles(file_, file);
    // Made before anything is taken up, for it may find the file in error.
    const std::optional<fleet::GossipTransportSetup> fleet =
        transport_ && file.has_fleet() ? std::optional(FleetSetupOf(config, file.fleet())) : std::nullopt;
    for (const auto& field : change.restart_required)
      LogLine(Level::kWarn, "reload takes a restart").Field("changed", field);
    for (const auto& field : change.reloadable) LogLine(Level::kInfo, "reload").Field("operator", field);
    SetUpLog(file.log(), config.log_level);
    relay_->Reload(config);
    // What takes a restart stays as it is in force, so that the next reload tells of it again.
    *file_.mutable_log() = file.log();
    if (fleet && fleet->settings.self != transport_->LocalNode().Setup().self) {
      LogLine(Level::kWarn, "reload takes a restart").Field("changed", "fleet.peer.place");
    } else if (fleet) {
      transport_->Follow(fleet->settings.peers, fleet->addresses);
      *file_.mutable_fleet()->mutable_peer() = file.fleet().peer();
    }
  }

  bool HasFleet() const override { return transport_.has_value(); }
  ManagementAnswer OnCall(ManagementCall call) override {
    switch (call) {
      case ManagementCall::kReady:
        return relay_->Ready() ? ManagementAnswer{200, "ready"} : ManagementAnswer{503, "not ready"};
      case ManagementCall::kMetrics: {
        const Figures figures{relay_->ClassNames(), relay_->Counts().classes, relay_->SessionCount(),
                              relay_->EndpointCount(), relay_->EjectedCount()};
        return {200, FormatFigures(figures)};
      }
      case ManagementCall::kDrain:
        relay_->StartDrain();
        return {200, "draining"};
      case ManagementCall::kActivate:
        relay_->Activate();
        return relay_->Ready() ? ManagementAnswer{200, "active"} : ManagementAnswer{503, "ending"};
      case ManagementCall::kFleet: {
        const fleet::GossipTransportCounts& c = transport_->Counts();
        return {200, fleet::StatusJson(
                         transport_->LocalNode(), transport_->Name(), relay_->ClassNames(), loop_.Now(),
                         {c.not_ours + c.other_schema + c.damaged + c.malformed, c.wrong_address})};
      }
    }
    return {500, "unknown call"};
  }

  void Print() {
    if (usage_recorder_) usage_recorder_->CheckBalance();
    LogLine record(Level::kInfo, "counters");
    AddFields(record, relay_->Counts());
    if (usage_recorder_) usage_recorder_->AddFields(record);
    if (export_client_) export_client_->AddFields(record);
    if (transport_) {
      record.Field("legs_held_back", relay_->Counts().attempts_denied_by_quota);
      transport_->AddFields(record);
    }
  }

  const Common& common_;
  config::OperatorFile file_;
  EventLoop loop_;
  std::optional<ledger::UsageRecorder> usage_recorder_;
  std::optional<ledger::ExportClient> export_client_;
  std::optional<fleet::GossipTransport> transport_;
  std::optional<fleet::FleetMember> seat_;
  std::optional<Proxy> relay_;  // Ends before what it tells.
  std::optional<Management> management_;
  ev_signal term_{}, interrupt_{}, usr1_{}, hangup_{};
};

}  // namespace

int Run(const Common& common) {
  // Its default action would end the relay that is asked to read its file again.
  std::signal(SIGHUP, SIG_IGN);
  // Each client takes two descriptors; the shell's soft limit is often far under what is allowed.
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < files.rlim_max) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  const config::OperatorFile file = LoadOperatorFile(common.operator_path);
  const Config config = LoadConfig(LoadAt::kStart);
  SetUpLog(file.log(), config.log_level);
  Service(common, config, file).Serve(config);
  return kDone;
}

}  // namespace stoatrun::cli
