#include "config/operator_file_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>

#include "base/name.h"
#include "base/tcp_connection.h"
#include "config/operator_file.h"

namespace stoatrun {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;

constexpr int kNotRepeated = -1;  // Protobuf's index for a singular field.

// The value of an unsigned field; nullopt for a field of another type.
std::optional<std::uint64_t> UnsignedValue(const Message& message, const FieldDescriptor* field, int index) {
  const auto* reflection = message.GetReflection();
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return field->is_repeated() ? reflection->GetRepeatedUInt32(message, field, index)
                                  : reflection->GetUInt32(message, field);
    case FieldDescriptor::CPPTYPE_UINT64:
      return field->is_repeated() ? reflection->GetRepeatedUInt64(message, field, index)
                                  : reflection->GetUInt64(message, field);
    default:
      return std::nullopt;
  }
}

// Describes how `text` violates the format `form`; empty if it is valid.
std::string FormProblem(config::Form form, const std::string& text) {
  if (form == config::ADDRESS && !Address::Parse(text)) return "expected IP:PORT, got '" + text + "'";
  if (form == config::FOLDER && (text.empty() || text.front() != '/')) {
    return "expected an absolute path, got '" + text + "'";
  }
  if (form == config::NAME && !IsName(text)) {
    return "expected a name of letters, digits and -_.:/, got '" + text + "'";
  }
  return {};
}

// Validates a message and its nested messages against the schema's options.
class SchemaChecker {
 public:
  explicit SchemaChecker(OperatorFileProblems& problems) : problems_(problems) {}

  void Check(const Message& message, const TextFormat::ParseInfoTree& locations, const std::string& path,
             TextFormat::ParseLocation location) {
    const auto* descriptor = message.GetDescriptor();
    for (int number = 0; number < descriptor->field_count(); ++number) {
      const FieldDescriptor* field = descriptor->field(number);
      const std::string name = FieldPath(path, field->name());
      const int count = CountValues(message, field);
      if (count == 0 && field->options().GetExtension(config::needed)) {
        problems_.AddError(location.line, location.column, name + ": missing");
      }
      for (int index = 0; index < count; ++index) CheckValue(message, locations, field, index, name);
    }
  }

 private:
  static int CountValues(const Message& message, const FieldDescriptor* field) {
    if (field->is_repeated()) return message.GetReflection()->FieldSize(message, field);
    return message.GetReflection()->HasField(message, field) ? 1 : 0;
  }

  void CheckValue(const Message& message, const TextFormat::ParseInfoTree& locations,
                  const FieldDescriptor* field, int index, const std::string& name) {
    const int location_index = field->is_repeated() ? index : kNotRepeated;
    const TextFormat::ParseLocation location = locations.GetLocation(field, location_index);
    if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
      CheckRange(message, field, index, name, location);
      CheckForm(message, field, index, name, location);
      return;
    }
    const auto* reflection = message.GetReflection();
    const Message& inner = field->is_repeated() ? reflection->GetRepeatedMessage(message, field, index)
                                                : reflection->GetMessage(message, field);
    const auto* inner_locations = locations.GetTreeForNested(field, location_index);
    if (inner_locations != nullptr) Check(inner, *inner_locations, name, location);
  }

  void CheckRange(const Message& message, const FieldDescriptor* field, int index, const std::string& name,
                  TextFormat::ParseLocation location) {
    if (!field->options().HasExtension(config::range)) return;
    const auto value = UnsignedValue(message, field, index);
    const config::Range& range = field->options().GetExtension(config::range);
    if (!value || (*value >= range.min() && *value <= range.max())) return;
    problems_.AddError(
        location.line, location.column,
        fmt::format("{}: {} is out of range, {} to {}", name, *value, range.min(), range.max()));
  }

  void CheckForm(const Message& message, const FieldDescriptor* field, int index, const std::string& name,
                 TextFormat::ParseLocation location) {
    if (field->cpp_type() != FieldDescriptor::CPPTYPE_STRING) return;
    const auto* reflection = message.GetReflection();
    const std::string text = field->is_repeated() ? reflection->GetRepeatedString(message, field, index)
                                                  : reflection->GetString(message, field);
    const std::string problem = FormProblem(field->options().GetExtension(config::form), text);
    if (!problem.empty()) problems_.AddError(location.line, location.column, name + ": " + problem);
  }

  OperatorFileProblems& problems_;
};

// Validates the fleet section across entries: no two peers may have the same place, name or address, no place
// may exceed the fleet's size, and no two quotas may be of the same kind.
class FleetChecker {
 public:
  FleetChecker(const config::Fleet& fleet, const TextFormat::ParseInfoTree& locations,
               OperatorFileProblems& problems)
      : fleet_(fleet), locations_(locations), problems_(problems) {}

  void Check() {
    for (int index = 0; index < fleet_.peer_size(); ++index) CheckPeer(index);
    for (int index = 0; index < fleet_.budget_size(); ++index) CheckBudget(index);
  }

 private:
  void CheckPeer(int index) {
    const auto& peer = fleet_.peer(index);
    if (peer.place() >= fleet_.places()) {
      AddProblem(
          "peer", index,
          fmt::format("place: {} is out of range; the fleet has {} places", peer.place(), fleet_.places()));
    }
    for (int other = 0; other < index; ++other) ComparePeers(index, peer, fleet_.peer(other));
  }

  void ComparePeers(int index, const config::FleetPeer& peer, const config::FleetPeer& other) {
    if (peer.place() == other.place()) {
      AddProblem("peer", index, fmt::format("place: {} is already used by {}", peer.place(), other.name()));
    }
    if (peer.name() == other.name()) {
      AddProblem("peer", index, "name: duplicate name '" + peer.name() + "'");
    }
    if (peer.address() == other.address()) {
      AddProblem("peer", index, "address: " + peer.address() + " is already used by " + other.name());
    }
  }

  void CheckBudget(int index) {
    const auto kind = fleet_.budget(index).kind();
    for (int other = 0; other < index; ++other) {
      if (kind != fleet_.budget(other).kind()) continue;
      AddProblem("budget", index, "kind: duplicate entry for " + config::FleetBudget::Kind_Name(kind));
    }
  }

  void AddProblem(const char* list, int index, const std::string& message) {
    const auto location = locations_.GetLocation(config::Fleet::descriptor()->FindFieldByName(list), index);
    problems_.AddError(location.line, location.column, "fleet." + std::string(list) + "." + message);
  }

  const config::Fleet& fleet_;
  const TextFormat::ParseInfoTree& locations_;
  OperatorFileProblems& problems_;
};

}  // namespace

void OperatorFileProblems::AddError(int line, int column, const std::string& message) {
  problems_.push_back({line, column, message});
  MoveToValue(problems_.back());
}

// When protobuf's parser rejects an enum value, it reports the position of the next token. This moves the
// problem to the value itself.
void OperatorFileProblems::MoveToValue(Problem& problem) const {
  constexpr std::string_view kUnknownValue = "Unknown enumeration value of \"";
  const std::string_view message = problem.message;
  if (!message.starts_with(kUnknownValue)) return;
  const std::string_view value =
      message.substr(kUnknownValue.size(), message.find('"', kUnknownValue.size()) - kUnknownValue.size());
  std::size_t line_begin = 0;
  for (int line = 0; line < problem.line; ++line) line_begin = text_.find('\n', line_begin) + 1;
  const std::size_t position = text_.rfind(value, line_begin + static_cast<std::size_t>(problem.column));
  if (position == std::string_view::npos) return;
  const std::string_view before = text_.substr(0, position);
  problem.line = static_cast<int>(std::count(before.begin(), before.end(), '\n'));
  problem.column = static_cast<int>(position - (before.rfind('\n') + 1));
}

void OperatorFileProblems::ThrowIfAny() {
  if (problems_.empty()) return;
  std::stable_sort(problems_.begin(), problems_.end(), [](const Problem& left, const Problem& right) {
    return std::tie(left.line, left.column) < std::tie(right.line, right.column);
  });
  std::string text;
  for (const Problem& problem : problems_) {
    if (!text.empty()) text += '\n';
    text += fmt::format("{}:{}:{}: {}", name_, problem.line + 1, problem.column + 1, problem.message);
  }
  throw OperatorFileError(text);
}

void CheckOperatorFile(const config::OperatorFile& file, const TextFormat::ParseInfoTree& locations,
                       OperatorFileProblems& problems) {
  SchemaChecker(problems).Check(file, locations, {}, {0, 0});
  if (!file.has_fleet()) return;
  const auto* fleet_field = config::OperatorFile::descriptor()->FindFieldByName("fleet");
  const auto* fleet_locations = locations.GetTreeForNested(fleet_field, kNotRepeated);
  if (fleet_locations != nullptr) FleetChecker(file.fleet(), *fleet_locations, problems).Check();
}

std::string FieldPath(const std::string& path, const std::string& field_name) {
  return path.empty() ? field_name : path + "." + field_name;
}

}  // namespace stoatrun
