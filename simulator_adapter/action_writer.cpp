#include "simulator_adapter/action_writer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <type_traits>

namespace stoatrun {
namespace {

constexpr std::size_t kMaxDigits = 24;  // Of a 64-bit number.

// The number of a typed id.
template <typename Id>
std::uint64_t NumberOf(Id id) {
  static_assert(std::is_enum_v<Id>);
  return static_cast<std::uint64_t>(id);
}

// A duration on the wire: microseconds, none below 0.
std::uint64_t MicrosOf(balancer::Micros duration) {
  return static_cast<std::uint64_t>(std::max<balancer::Micros::rep>(duration.count(), 0));
}

}  // namespace

void ActionWriter::operator()(const balancer::SendAttempt& action) {
  AppendCommand("Send", {NumberOf(action.id), NumberOf(action.endpoint), MicrosOf(action.timeout)});
}

void ActionWriter::operator()(const balancer::CancelAttempt& action) {
  AppendCommand("CallOff", {NumberOf(action.id), action.attempt});
}

void ActionWriter::operator()(const balancer::RejectRequest& action) {
  AppendCommand("NotNow", {NumberOf(action.id), MicrosOf(action.retry_after)});
}

void ActionWriter::operator()(const balancer::FailRequest& action) {
  AppendCommand("Surrender", {NumberOf(action.id)});
}

void ActionWriter::operator()(const balancer::MigrateConnection& action) {
  AppendCommand("Migrate", {NumberOf(action.id)});
}

void ActionWriter::operator()(const balancer::ProbeEndpoint& action) {
  AppendCommand("AskLoad", {NumberOf(action.endpoint)});
}

void ActionWriter::operator()(const balancer::StartTimer& action) {
  constexpr std::uint64_t kNonce = 0;  // The balancer has one timer; the simulator echoes this.
  AppendCommand("SetTimer", {MicrosOf(action.delay), kNonce});
}

void ActionWriter::operator()(const balancer::WatchEndpoints& /*action*/) {
  BeginCommand("Watch");
  reply_ += ",true]";
}

void ActionWriter::BeginCommand(std::string_view name) {
  if (reply_.back() != '[') reply_ += ',';
  reply_ += "[\"";
  reply_ += name;
  reply_ += '"';
  AppendNumber(instance_id_);
}

void ActionWriter::AppendNumber(std::uint64_t value) {
  std::array<char, kMaxDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  reply_ += ',';
  reply_.append(digits.data(), end);
}

void ActionWriter::AppendCommand(std::string_view name, std::initializer_list<std::uint64_t> values) {
  BeginCommand(name);
  for (const std::uint64_t value : values) AppendNumber(value);
  reply_ += ']';
}

}  // namespace stoatrun
