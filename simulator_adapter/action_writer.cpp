#include "simulator_adapter/action_writer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <type_traits>

namespace stoatrun {
namespace {

constexpr std::size_t kMaxDigits = 24;  // Holds any 64-bit number.

// The underlying integer of a strongly typed id.
template <typename Id>
std::uint64_t ToNumber(Id id) {
  static_assert(std::is_enum_v<Id>);
  return static_cast<std::uint64_t>(id);
}

// The wire protocol has unsigned durations in microseconds; negative ones become 0.
std::uint64_t ToWireMicros(balancer::Micros duration) {
  return static_cast<std::uint64_t>(std::max<balancer::Micros::rep>(duration.count(), 0));
}

}  // namespace

void ActionWriter::operator()(const balancer::SendAttempt& action) {
  AppendCommand("Send", {ToNumber(action.id), ToNumber(action.endpoint), ToWireMicros(action.timeout)});
}

void ActionWriter::operator()(const balancer::CancelAttempt& action) {
  AppendCommand("CallOff", {ToNumber(action.id), action.attempt});
}

void ActionWriter::operator()(const balancer::RejectRequest& action) {
  AppendCommand("NotNow", {ToNumber(action.id), ToWireMicros(action.retry_after)});
}

void ActionWriter::operator()(const balancer::FailRequest& action) {
  AppendCommand("Surrender", {ToNumber(action.id)});
}

void ActionWriter::operator()(const balancer::MigrateConnection& action) {
  AppendCommand("Migrate", {ToNumber(action.id)});
}

void ActionWriter::operator()(const balancer::ProbeEndpoint& action) {
  AppendCommand("AskLoad", {ToNumber(action.endpoint)});
}

void ActionWriter::operator()(const balancer::StartTimer& action) {
  // The simulator echoes the nonce. It identifies nothing, because the balancer has a single timer.
  constexpr std::uint64_t kNonce = 0;
  AppendCommand("SetTimer", {ToWireMicros(action.delay), kNonce});
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
