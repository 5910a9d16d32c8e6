// The relay with its sides, as the platform's configuration wants it. What `run` starts, and the tests.
#ifndef STOATRUN_CLI_SERVICE_H_
#define STOATRUN_CLI_SERVICE_H_

#include <string_view>

#include "base/deadlines.h"
#include "core/counters.h"
#include "core/host_book.h"
#include "core/relay.h"
#include "fronts/line/acquirer.h"
#include "hosts/line/issuer.h"
#include "hosts/line/prober.h"
#include "inventory/discovery.h"
#include "ledger/meter.h"
#include "ops/config.h"

namespace stoatrun {

class Service {
 public:
  // `meter` outlives it; null: nobody is told of standing connections.
  Service(Loop& loop, const Config& config, ledger::Meter* meter = nullptr);

  void Start();  // Throws std::system_error if the address can't be had.
  void Drain() { relay_.Drain(); }
  // Takes up a replaced configuration: moves the watch. What else changed is logged and waits for a restart.
  void Reload(const Config& config);
  void ReloadFailed(std::string_view why);  // What is in force stays so.
  int Port() const { return acquirer_.Port(); }
  const Counters& Counts() const { return counters_; }

 private:
  const Config start_;  // As the relay was started.
  Counters counters_;
  HostBook book_;
  Relay relay_;
  Issuer issuer_;
  Prober prober_;
  Acquirer acquirer_;
  Discovery discovery_;
};

}  // namespace stoatrun

#endif  // STOATRUN_CLI_SERVICE_H_
