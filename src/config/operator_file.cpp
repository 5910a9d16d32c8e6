#include "config/operator_file.h"

#include <google/protobuf/text_format.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "config/operator_file_checks.h"

namespace stoatrun {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;

// Formats the field's value as text; empty for a message. An unset field yields the text of its default.
std::string ValueText(const Message& message, const FieldDescriptor* field) {
  std::string text;
  TextFormat::Printer printer;
  printer.SetSingleLineMode(true);
  if (field->is_repeated()) {
    for (int index = 0; index < message.GetReflection()->FieldSize(message, field); ++index) {
      std::string value;
      printer.PrintFieldValueToString(message, field, index, &value);
      text += value + '\n';
    }
  } else if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
    printer.PrintFieldValueToString(message, field, -1, &text);
  }
  return text;
}

void CompareMessages(const Message& before, const Message& after, const std::string& path,
                     OperatorFileChange& change) {
  const auto* reflection = before.GetReflection();
  const auto* descriptor = before.GetDescriptor();
  for (int number = 0; number < descriptor->field_count(); ++number) {
    const FieldDescriptor* field = descriptor->field(number);
    const std::string name = FieldPath(path, field->name());
    const bool reloadable = field->options().GetExtension(config::at_reload);
    if (!field->is_repeated() && field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      if (!reloadable && reflection->HasField(before, field) != reflection->HasField(after, field)) {
        change.restart_required.push_back(name);
      } else {
        CompareMessages(reflection->GetMessage(before, field), reflection->GetMessage(after, field), name,
                        change);
      }
    } else if (ValueText(before, field) != ValueText(after, field)) {
      (reloadable ? change.reloadable : change.restart_required).push_back(name);
    }
  }
}

// Sets an unset singular field to its default.
void SetToDefault(Message& message, const FieldDescriptor* field) {
  const auto* reflection = message.GetReflection();
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      reflection->SetUInt32(&message, field, field->default_value_uint32());
      break;
    case FieldDescriptor::CPPTYPE_UINT64:
      reflection->SetUInt64(&message, field, field->default_value_uint64());
      break;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection->SetBool(&message, field, field->default_value_bool());
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection->SetEnum(&message, field, field->default_value_enum());
      break;
    case FieldDescriptor::CPPTYPE_STRING:
      reflection->SetString(&message, field, field->default_value_string());
      break;
    default:  // The schema has no fields of other types.
      break;
  }
}

// Fills in the defaults of `message` and of the nested messages that are set.
void FillInDefaults(Message& message) {
  const auto* reflection = message.GetReflection();
  const auto* descriptor = message.GetDescriptor();
  for (int number = 0; number < descriptor->field_count(); ++number) {
    const FieldDescriptor* field = descriptor->field(number);
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      const int count = field->is_repeated() ? reflection->FieldSize(message, field) : 0;
      for (int index = 0; index < count; ++index) {
        FillInDefaults(*reflection->MutableRepeatedMessage(&message, field, index));
      }
      if (!field->is_repeated() && reflection->HasField(message, field)) {
        FillInDefaults(*reflection->MutableMessage(&message, field));
      }
    } else if (!field->is_repeated() && field->has_default_value() && !reflection->HasField(message, field)) {
      SetToDefault(message, field);
    }
  }
}

}  // namespace

config::OperatorFile ParseOperatorText(std::string_view text, const std::string& name) {
  config::OperatorFile file;
  OperatorFileProblems problems(name, text);
  TextFormat::ParseInfoTree locations;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&problems);
  parser.WriteLocationsTo(&locations);
  const bool parsed = parser.ParseFromString(std::string(text), &file);
  if (parsed) CheckOperatorFile(file, locations, problems);
  problems.ThrowIfAny();
  if (!parsed) throw OperatorFileError(name + ":1:1: not a valid operator file");
  return file;
}

config::OperatorFile LoadOperatorFile(const std::string& path) {
  if (path.empty()) return {};
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf() || file.peek() == std::ifstream::traits_type::eof())) {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): called on the main thread only.
    throw OperatorFileError(path + ": " + std::strerror(errno));
  }
  return ParseOperatorText(text.str(), path);
}

OperatorFileChange CompareOperatorFiles(const config::OperatorFile& before,
                                        const config::OperatorFile& after) {
  OperatorFileChange change;
  CompareMessages(before, after, {}, change);
  return change;
}

std::string FormatOperatorFile(const config::OperatorFile& file) {
  config::OperatorFile filled = file;
  filled.mutable_log();
  FillInDefaults(filled);
  std::string text;
  TextFormat::PrintToString(filled, &text);
  return text;
}

}  // namespace stoatrun
