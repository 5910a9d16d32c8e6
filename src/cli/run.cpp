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
  SetLogForm(log.form() == config::Log::JSON ? LogForm::kJson : LogForm::kText);
}

class Service : private AdminHandler {
 public:
  Service(const Common& common, const Config& config, const config::OperatorFile& file)
      : common_(common), file_(file) {
    if (file.has_ledger()) {
      keeper_.emplace(loop_, KeeperSetupOf(config, file.ledger()), [] {
        return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
      });
      if (file.ledger().has_receiver()) {
        courier_.emplace(loop_, *keeper_, CourierSetupOf(file.ledger().receiver(), config.site.module.seed));
      }
    }
    if (file.has_fleet()) {
      transport_.emplace(loop_, FleetSetupOf(config, file.fleet()));
      seat_.emplace(loop_, *transport_, QuotasOf(config, file.fleet()));
    }
    proxy_.emplace(loop_, config, keeper_ ? &*keeper_ : nullptr, seat_ ? &*seat_ : nullptr);
    if (config.management) admin_server_.emplace(loop_, static_cast<AdminHandler&>(*this));
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
    proxy_->Start();
    if (admin_server_) {
      admin_server_->Listen(*config.management);
      LogLine(Level::kInfo, "management").Field("address", config.management_text);
    }
    LogLine(Level::kInfo, "ready").Field("name", config.name).Field("port", proxy_->Port());
    loop_.Run();
    if (transport_) transport_->Leave();
    const bool kept = !keeper_ || keeper_->Finish(kLedgerEnd);
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
  static void OnEnd(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) { Of(w).proxy_->Drain(); }
  static void OnPrint(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) { Of(w).Print(); }
  static void OnReload(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) {
    try {
      Of(w).Reload();
    } catch (const std::exception& e) {  // None may pass through the loop's C frames.
      Of(w).proxy_->ReloadFailed(e.what());
    }
  }

  // Both files are read before either is taken up: a fault in one leaves both as they were.
  void Reload() {
    const Config config = LoadConfig(LoadAt::kReload);
    const config::OperatorFile file = LoadOperatorFile(common_.operator_path);
    const OperatorChange change = CompareOperatorFiles(file_, file);
    // Made before anything is taken up, for it may find the file in error.
    const std::optional<fleet::GossipTransportSetup> fleet =
        transport_ && file.has_fleet() ? std::optional(FleetSetupOf(config, file.fleet())) : std::nullopt;
    for (const auto& field : change.need_restart)
      LogLine(Level::kWarn, "reload takes a restart").Field("changed", field);
    for (const auto& field : change.taken_up) LogLine(Level::kInfo, "reload").Field("operator", field);
    SetUpLog(file.log(), config.log_level);
    proxy_->Reload(config);
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
  AdminResponse OnCall(AdminCall call) override {
    switch (call) {
      case AdminCall::kReady:
        return proxy_->Ready() ? AdminResponse{200, "ready"} : AdminResponse{503, "not ready"};
      case AdminCall::kMetrics: {
        const Metrics metrics{proxy_->ClassNames(), proxy_->Counts().classes, proxy_->Outstanding(),
                              proxy_->Discovered(), proxy_->Ejected()};
        return {200, FormatMetrics(metrics)};
      }
      case AdminCall::kDrain:
        proxy_->DrainByCall();
        return {200, "draining"};
      case AdminCall::kActivate:
        proxy_->Activate();
        return proxy_->Ready() ? AdminResponse{200, "active"} : AdminResponse{503, "ending"};
      case AdminCall::kFleet: {
        const fleet::GossipTransportCounts& c = transport_->Counts();
        return {200, fleet::StatusJson(
                         transport_->LocalNode(), transport_->Name(), proxy_->ClassNames(), loop_.Now(),
                         {c.not_ours + c.other_schema + c.damaged + c.malformed, c.wrong_address})};
      }
    }
    return {500, "unknown call"};
  }

  void Print() {
    if (keeper_) keeper_->CheckNow();
    LogLine record(Level::kInfo, "counters");
    AddFields(record, proxy_->Counts());
    if (keeper_) keeper_->AddFields(record);
    if (courier_) courier_->AddFields(record);
    if (transport_) {
      record.Field("legs_held_back", proxy_->Counts().legs_held_back);
      transport_->AddFields(record);
    }
  }

  const Common& common_;
  config::OperatorFile file_;
  EventLoop loop_;
  std::optional<ledger::Keeper> keeper_;
  std::optional<ledger::Courier> courier_;
  std::optional<fleet::GossipTransport> transport_;
  std::optional<fleet::FleetMember> seat_;
  std::optional<Proxy> proxy_;  // Ends before what it tells.
  std::optional<AdminServer> admin_server_;
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
