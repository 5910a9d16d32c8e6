#include "simulator_adapter/adapter.h"

#include <cstddef>
#include <optional>
#include <variant>

#include "simulator_adapter/action_writer.h"
#include "simulator_adapter/event_reader.h"

namespace stoatrun {

std::string SimulatorAdapter::HandleLine(std::string_view line) {
  json::element root;
  const auto error = parser_.parse(simdjson::padded_string(line)).get(root);
  if (error != simdjson::SUCCESS) {
    json::Fail("line", "not JSON: " + std::string(simdjson::error_message(error)));
  }
  const json::object batch = json::AsObject(root, "line");
  const auto time = json::Find(batch, "atTime");
  if (!time) json::Fail("atTime", "missing");
  now_ = balancer::Micros(json::AsSigned(*time, "atTime"));
  const auto input = json::Find(batch, "input");
  if (!input) json::Fail("input", "missing");
  std::string reply = "{\"cmds\":[";
  std::size_t index = 0;
  for (const json::element element : json::AsArray(*input, "input")) {
    MessageReader message(element, std::string("input[").append(std::to_string(index++)).append(1, ']'));
    HandleMessage(message, reply);
  }
  reply += "]}";
  return reply;
}

void SimulatorAdapter::HandleMessage(MessageReader& message, std::string& reply) {
  const std::string_view type = message.Text("type");
  message.SetPath(std::string(type));
  const std::uint64_t instance_id = message.Unsigned("balancerId");
  if (type == "Attach") return Attach(instance_id, message);
  if (type == "CrashNow") {
    instances_.erase(instance_id);
    return;
  }
  const auto found = instances_.find(instance_id);
  Instance* instance = found == instances_.end() ? nullptr : found->second.get();
  static const std::vector<ReportField> kNoFields;
  // Messages to unknown instances are parsed too, so that a malformed message is always an error.
  const std::optional<balancer::Event> event =
      ReadEvent(type, message, instance == nullptr ? kNoFields : instance->report_fields);
  if (!event || instance == nullptr) return;
  actions_.clear();
  instance->balancer.Handle(now_, *event, actions_);
  ActionWriter writer(reply, instance_id);
  for (const balancer::Action& action : actions_) std::visit(writer, action);
}

void SimulatorAdapter::Attach(std::uint64_t instance_id, MessageReader& message) {
  const std::uint64_t seed = message.Unsigned("prng");
  const json::element& facts = message.Required("facts");
  instances_[instance_id] = std::make_unique<Instance>(ParseSiteSettings(facts, seed));
}

}  // namespace stoatrun
