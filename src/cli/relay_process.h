// Creates and connects the components of a serving relay.
//
// This is the only place that depends on all modules: the usage ledger, the fleet, the proxy and the admin
// server. It dispatches signals and admin calls to them. Everything runs on the event loop's thread, except
// for disk access, for which the usage recorder has its own thread.
#ifndef STOATRUN_CLI_RELAY_PROCESS_H_
#define STOATRUN_CLI_RELAY_PROCESS_H_

#include <memory>
#include <optional>
#include <string>

#include "admin/admin_server.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/shared_memory.h"
#include "cli/signal_handler.h"
#include "config/config.h"
#include "config/operator_file.h"
#include "fleet/io/fleet_member.h"
#include "fleet/io/gossip_transport.h"
#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "proxy/proxy.h"

namespace stoatrun::cli {

// Applies the log settings. `level_override` comes from STOATRUN_LOG and takes precedence over the operator
// file's level.
void ConfigureLog(const config::Log& log, std::optional<Level> level_override);

// Owns the components. They are declared in dependency order, so that each is destroyed before those that it
// refers to.
class RelayProcess : private AdminHandler {
 public:
  // Creates the components and installs the signal handlers. `operator_path` is read again on each reload;
  // `config` must outlive this object. Throws OperatorFileError if the operator file's fleet section does not
  // name this relay.
  RelayProcess(std::string operator_path, const Config& config, config::OperatorFile operator_file);

  // Starts the components, serves until SIGTERM or SIGINT, and shuts down. Throws std::system_error if an
  // address cannot be bound.
  void Serve();

 private:
  void CreateLedger();
  void CreateFleet();
  void CreateProxy();
  void Start();
  void Shutdown();

  // On SIGHUP: reads the configuration and the operator file again and applies the settings that can change
  // without a restart. If either file is invalid, the settings of both stay unchanged. Throws the loading
  // error.
  void Reload();
  void ReloadFleet(const config::Fleet& section, const fleet::GossipTransportSetup& setup);
  void LogCounters();

  // AdminHandler
  bool HasFleet() const override { return gossip_transport_.has_value(); }
  AdminResponse OnCall(AdminCall call) override;
  AdminResponse MetricsResponse();
  AdminResponse FleetResponse();

  const std::string operator_path_;
  const Config& config_;
  config::OperatorFile operator_file_;  // The effective settings.
  EventLoop loop_;
  std::optional<ledger::UsageRecorder> usage_recorder_;     // Set if there is a ledger section.
  std::optional<ledger::ExportClient> export_client_;       // Set if the ledger has a receiver.
  std::optional<fleet::GossipTransport> gossip_transport_;  // Set if there is a fleet section.
  std::optional<fleet::FleetMember> fleet_member_;          // Set if there is a fleet section.
  std::unique_ptr<SharedMemory> sent_ids_;                  // See SentRequestIds.
  std::optional<Proxy> proxy_;  // Calls the usage recorder and the fleet member until it is destroyed.
  std::optional<AdminServer> admin_server_;
  std::optional<SignalHandler> on_terminate_, on_interrupt_, on_print_counters_, on_reload_;
};

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_RELAY_PROCESS_H_
