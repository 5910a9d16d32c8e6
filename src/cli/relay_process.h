// The parts of a serving relay, wired together.
//
// The only place that knows all modules: the usage ledger, the fleet, the proxy and the admin server. Signals
// and admin calls act on the parts here. Everything runs on the thread of the event loop; the usage recorder
// has a thread of its own for the disk.
#ifndef STOATRUN_CLI_RELAY_PROCESS_H_
#define STOATRUN_CLI_RELAY_PROCESS_H_

#include <optional>
#include <string>

#include "admin/admin_server.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "cli/signal_handler.h"
#include "config/config.h"
#include "config/operator_file.h"
#include "fleet/io/fleet_member.h"
#include "fleet/io/gossip_transport.h"
#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "proxy/proxy.h"

namespace stoatrun::cli {

// Puts the log settings in force. `level_override`: from STOATRUN_LOG; it takes precedence over the operator
// file.
void ConfigureLog(const config::Log& log, std::optional<Level> level_override);

// Owns the parts in the order of their lifetimes; each is destroyed before those it refers to.
class RelayProcess : private AdminHandler {
 public:
  // Creates the parts and installs the signal handlers. `operator_path` is read again on a reload; `config`
  // outlives the process object. Throws OperatorFileError if the operator file does not name this relay.
  RelayProcess(std::string operator_path, const Config& config, config::OperatorFile operator_file);

  // Starts the parts, serves until a signal ends the relay, and shuts down. Throws std::system_error if an
  // address is not available.
  void Serve();

 private:
  void CreateLedger();
  void CreateFleet();
  void Start();
  void Shutdown();

  // On SIGHUP: reads both files again and takes up what can change without a restart. If either file is in
  // error, both stay as they are in force.
  void Reload();
  void ReloadFleet(const config::Fleet& file, const fleet::GossipTransportSetup& setup);
  void LogCounters();

  // AdminHandler
  bool HasFleet() const override { return gossip_transport_.has_value(); }
  AdminResponse OnCall(AdminCall call) override;
  AdminResponse MetricsResponse();
  AdminResponse FleetResponse();

  const std::string operator_path_;
  const Config& config_;
  config::OperatorFile operator_file_;  // As it is in force.
  EventLoop loop_;
  std::optional<ledger::UsageRecorder> usage_recorder_;     // Without a ledger section: none.
  std::optional<ledger::ExportClient> export_client_;       // Without a receiver: none.
  std::optional<fleet::GossipTransport> gossip_transport_;  // Without a fleet section: none.
  std::optional<fleet::FleetMember> fleet_member_;          // Likewise.
  std::optional<Proxy> proxy_;  // Notifies the usage recorder and the fleet member until it ends.
  std::optional<AdminServer> admin_server_;
  std::optional<SignalHandler> on_terminate_, on_interrupt_, on_print_counters_, on_reload_;
};

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_RELAY_PROCESS_H_
