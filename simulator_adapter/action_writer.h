// Serializes the balancer's actions as commands of the simulator's wire protocol.
#ifndef STOATRUN_SIMULATOR_ADAPTER_ACTION_WRITER_H_
#define STOATRUN_SIMULATOR_ADAPTER_ACTION_WRITER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "balancer/balancer.h"

namespace stoatrun {

// A visitor for balancer::Action. Each call appends one command to `reply`, which must end with the opening
// `[` of the command list or with a complete command.
class ActionWriter {
 public:
  ActionWriter(std::string& reply, std::uint64_t instance_id) : reply_(reply), instance_id_(instance_id) {}

  void operator()(const balancer::SendAttempt& action);
  void operator()(const balancer::CancelAttempt& action);
  void operator()(const balancer::RejectRequest& action);
  void operator()(const balancer::FailRequest& action);
  void operator()(const balancer::MigrateConnection& action);
  void operator()(const balancer::ProbeEndpoint& action);
  void operator()(const balancer::StartTimer& action);
  void operator()(const balancer::WatchEndpoints& action);

 private:
  void BeginCommand(std::string_view name);
  void AppendNumber(std::uint64_t value);
  void AppendCommand(std::string_view name, std::initializer_list<std::uint64_t> values);

  std::string& reply_;
  std::uint64_t instance_id_;
};

}  // namespace stoatrun

#endif  // STOATRUN_SIMULATOR_ADAPTER_ACTION_WRITER_H_
