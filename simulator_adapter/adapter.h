// Connects the simulator's JSON wire protocol to the balancer library: translates messages to events and
// actions to commands. Contains no balancing logic.
//
// The protocol has one JSON object per line in each direction: a batch of messages with a timestamp, and the
// commands that answer it. Not thread-safe.
#ifndef STOATRUN_SIMULATOR_ADAPTER_ADAPTER_H_
#define STOATRUN_SIMULATOR_ADAPTER_ADAPTER_H_

#include <simdjson.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancer/balancer.h"
#include "config/json.h"
#include "config/site_settings.h"
#include "simulator_adapter/message_reader.h"

namespace stoatrun {

// Thrown for a line that violates the wire protocol. what() names the field.
using WireError = JsonError;

// Hosts any number of independent balancer instances; they share only the JSON parser.
class SimulatorAdapter {
 public:
  SimulatorAdapter() = default;
  SimulatorAdapter(const SimulatorAdapter&) = delete;
  SimulatorAdapter& operator=(const SimulatorAdapter&) = delete;

  // Handles one batch and returns the reply, both without a line terminator. Throws WireError; the adapter's
  // state is then unspecified, because part of the batch may have been handled.
  std::string HandleLine(std::string_view line);

 private:
  struct Instance {
    explicit Instance(const SiteSettings& settings)
        : balancer(settings.balancer), report_fields(settings.report_fields) {}
    ::balancer::Balancer balancer;
    std::vector<ReportField> report_fields;
  };

  void HandleMessage(MessageReader& message, std::string& reply);
  void Attach(std::uint64_t instance_id, MessageReader& message);

  simdjson::dom::parser parser_;
  balancer::Micros now_{0};
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances_;  // Never iterated.
  std::vector<balancer::Action> actions_;                                   // Reused between messages.
};

}  // namespace stoatrun

#endif  // STOATRUN_SIMULATOR_ADAPTER_ADAPTER_H_
