#include "config/operator_file.h"

#include <fmt/format.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

#include "base/name.h"
#include "base/tcp_connection.h"

namespace stoatrun {
namespace {

namespace pb = google::protobuf;

// Protobuf counts lines and columns from 0.
class Faults : public pb::io::ErrorCollector {
 public:
  Faults(const std::string& name, std::string_view text) : name_(name), text_(text) {}
  void AddError(int line, int column, const std::string& what) override {
    all_.push_back({line, column, what});
    // The parser is one token further when it misses a value; the operator wants the value's place.
    constexpr std::string_view kValue = "Unknown enumeration value of \"";
    if (!what.starts_with(kValue)) return;
    const std::string_view value =
        std::string_view(what).substr(kValue.size(), what.find('"', kValue.size()) - kValue.size());
    std::size_t end = 0;
    for (int k = 0; k < line; ++k) end = text_.find('\n', end) + 1;
    const std::size_t at = text_.rfind(value, end + static_cast<std::size_t>(column));
    if (at == std::string_view::npos) return;
    const std::string_view before = text_.substr(0, at);
    all_.back().line = static_cast<int>(std::count(before.begin(), before.end(), '\n'));
    all_.back().column = static_cast<int>(at - (before.rfind('\n') + 1));
  }
  void AddWarning(int /*line*/, int /*column*/, const std::string& /*what*/) override {}
  void Throw() {
    if (all_.empty()) return;
    std::stable_sort(all_.begin(), all_.end(), [](const Fault& a, const Fault& b) {
      return std::pair(a.line, a.column) < std::pair(b.line, b.column);
    });
    std::string text;
    for (const Fault& f : all_) {
      if (!text.empty()) text += '\n';
      text += fmt::format("{}:{}:{}: {}", name_, f.line + 1, f.column + 1, f.what);
    }
    throw OperatorFileError(text);
  }

 private:
  struct Fault {
    int line, column;
    std::string what;
  };
  const std::string& name_;
  std::string_view text_;
  std::vector<Fault> all_;
};

std::string Joined(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

std::optional<std::uint64_t> Amount(const pb::Message& m, const pb::FieldDescriptor* f, int k) {
  const pb::Reflection* r = m.GetReflection();
  switch (f->cpp_type()) {
    case pb::FieldDescriptor::CPPTYPE_UINT32:
      return f->is_repeated() ? r->GetRepeatedUInt32(m, f, k) : r->GetUInt32(m, f);
    case pb::FieldDescriptor::CPPTYPE_UINT64:
      return f->is_repeated() ? r->GetRepeatedUInt64(m, f, k) : r->GetUInt64(m, f);
    default:
      return std::nullopt;
  }
}

std::string FormFault(config::Form form, const std::string& text) {
  if (form == config::ADDRESS && !Address::Parse(text)) return "expected IP:PORT, got '" + text + "'";
  if (form == config::FOLDER && (text.empty() || text.front() != '/'))
    return "expected an absolute path, got '" + text + "'";
  if (form == config::NAME && !IsName(text))
    return "expected a name of letters, digits and -_.:/, got '" + text + "'";
  return {};
}

class Checker {
 public:
  explicit Checker(Faults& faults) : faults_(faults) {}

  void Check(const pb::Message& m, const pb::TextFormat::ParseInfoTree& tree, const std::string& path,
             pb::TextFormat::ParseLocation at) {
    const pb::Reflection* r = m.GetReflection();
    const pb::Descriptor* d = m.GetDescriptor();
    for (int n = 0; n < d->field_count(); ++n) {
      const pb::FieldDescriptor* f = d->field(n);
      const std::string name = Joined(path, f->name());
      const int count = f->is_repeated() ? r->FieldSize(m, f) : r->HasField(m, f) ? 1 : 0;
      if (count == 0 && f->options().GetExtension(config::needed)) {
        faults_.AddError(at.line, at.column, name + ": missing");
      }
      for (int k = 0; k < count; ++k) {
        const int index = f->is_repeated() ? k : -1;
        const pb::TextFormat::ParseLocation here = tree.GetLocation(f, index);
        if (f->cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
          const pb::Message& inner = f->is_repeated() ? r->GetRepeatedMessage(m, f, k) : r->GetMessage(m, f);
          if (const auto* below = tree.GetTreeForNested(f, index)) Check(inner, *below, name, here);
          continue;
        }
        CheckValue(m, f, k, name, here);
      }
    }
  }

 private:
  void CheckValue(const pb::Message& m, const pb::FieldDescriptor* f, int k, const std::string& name,
                  pb::TextFormat::ParseLocation at) {
    if (const auto amount = Amount(m, f, k); amount && f->options().HasExtension(config::range)) {
      const config::Range& range = f->options().GetExtension(config::range);
      if (*amount < range.min() || *amount > range.max()) {
        faults_.AddError(
            at.line, at.column,
            fmt::format("{}: {} is out of range, {} to {}", name, *amount, range.min(), range.max()));
      }
    }
    if (f->cpp_type() == pb::FieldDescriptor::CPPTYPE_STRING) {
      const pb::Reflection* r = m.GetReflection();
      const std::string text = f->is_repeated() ? r->GetRepeatedString(m, f, k) : r->GetString(m, f);
      const std::string fault = FormFault(f->options().GetExtension(config::form), text);
      if (!fault.empty()) faults_.AddError(at.line, at.column, name + ": " + fault);
    }
  }

  Faults& faults_;
};

// What no field can tell by itself: places and names are there once, and budgets of one kind.
void CheckFleet(const config::Fleet& fleet, const pb::TextFormat::ParseInfoTree* tree, Faults& faults) {
  if (tree == nullptr) return;
  const pb::Descriptor* d = fleet.GetDescriptor();
  const auto fault = [&](const char* list, int k, const std::string& what) {
    const auto at = tree->GetLocation(d->FindFieldByName(list), k);
    faults.AddError(at.line, at.column, "fleet." + std::string(list) + "." + what);
  };
  for (int k = 0; k < fleet.peer_size(); ++k) {
    const auto& p = fleet.peer(k);
    if (p.place() >= fleet.places()) {
      fault("peer", k,
            fmt::format("place: {} is out of range, the fleet has {} places", p.place(), fleet.places()));
    }
    for (int before = 0; before < k; ++before) {
      const auto& q = fleet.peer(before);
      if (p.place() == q.place())
        fault("peer", k, fmt::format("place: {} is {}'s already", p.place(), q.name()));
      if (p.name() == q.name()) fault("peer", k, "name: '" + p.name() + "' is there twice");
      if (p.address() == q.address())
        fault("peer", k, "address: " + p.address() + " is " + q.name() + "'s already");
    }
  }
  for (int k = 0; k < fleet.budget_size(); ++k) {
    for (int before = 0; before < k; ++before) {
      if (fleet.budget(k).kind() == fleet.budget(before).kind()) {
        fault("budget", k,
              "kind: " + config::FleetBudget::Kind_Name(fleet.budget(k).kind()) + " is there twice");
      }
    }
  }
}

// A field that is not set and one that is set to its default are the same.
std::string ValueText(const pb::Message& m, const pb::FieldDescriptor* f) {
  std::string text;
  pb::TextFormat::Printer printer;
  printer.SetSingleLineMode(true);
  if (f->is_repeated()) {
    for (int k = 0; k < m.GetReflection()->FieldSize(m, f); ++k) {
      std::string one;
      printer.PrintFieldValueToString(m, f, k, &one);
      text += one + '\n';
    }
  } else if (f->cpp_type() != pb::FieldDescriptor::CPPTYPE_MESSAGE) {
    printer.PrintFieldValueToString(m, f, -1, &text);
  }
  return text;
}

void Compare(const pb::Message& a, const pb::Message& b, const std::string& path,
             OperatorFileChange& change) {
  const pb::Descriptor* d = a.GetDescriptor();
  for (int n = 0; n < d->field_count(); ++n) {
    const pb::FieldDescriptor* f = d->field(n);
    const std::string name = Joined(path, f->name());
    if (!f->is_repeated() && f->cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
      const pb::Reflection* r = a.GetReflection();
      if (r->HasField(a, f) != r->HasField(b, f) && !f->options().GetExtension(config::at_reload)) {
        change.restart_required.push_back(name);
      } else {
        Compare(r->GetMessage(a, f), r->GetMessage(b, f), name, change);
      }
    } else if (ValueText(a, f) != ValueText(b, f)) {
      (f->options().GetExtension(config::at_reload) ? change.reloadable : change.restart_required)
          .push_back(name);
    }
  }
}

void FillIn(pb::Message& m) {
  const pb::Reflection* r = m.GetReflection();
  const pb::Descriptor* d = m.GetDescriptor();
  for (int n = 0; n < d->field_count(); ++n) {
    const pb::FieldDescriptor* f = d->field(n);
    if (f->cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
      const int count = f->is_repeated() ? r->FieldSize(m, f) : 0;
      for (int k = 0; k < count; ++k) FillIn(*r->MutableRepeatedMessage(&m, f, k));
      if (!f->is_repeated() && r->HasField(m, f)) FillIn(*r->MutableMessage(&m, f));
    } else if (!f->is_repeated() && f->has_default_value() && !r->HasField(m, f)) {
      switch (f->cpp_type()) {
        case pb::FieldDescriptor::CPPTYPE_UINT32:
          r->SetUInt32(&m, f, f->default_value_uint32());
          break;
        case pb::FieldDescriptor::CPPTYPE_UINT64:
          r->SetUInt64(&m, f, f->default_value_uint64());
          break;
        case pb::FieldDescriptor::CPPTYPE_BOOL:
          r->SetBool(&m, f, f->default_value_bool());
          break;
        case pb::FieldDescriptor::CPPTYPE_ENUM:
          r->SetEnum(&m, f, f->default_value_enum());
          break;
        case pb::FieldDescriptor::CPPTYPE_STRING:
          r->SetString(&m, f, f->default_value_string());
          break;
        default:
          break;
      }
    }
  }
}

}  // namespace

config::OperatorFile ParseOperatorText(std::string_view text, const std::string& name) {
  config::OperatorFile file;
  Faults faults(name, text);
  pb::TextFormat::ParseInfoTree tree;
  pb::TextFormat::Parser parser;
  parser.RecordErrorsTo(&faults);
  parser.WriteLocationsTo(&tree);
  const bool parsed = parser.ParseFromString(std::string(text), &file);
  if (parsed) {
    Checker(faults).Check(file, tree, {}, {0, 0});
    if (file.has_fleet()) {
      CheckFleet(file.fleet(), tree.GetTreeForNested(file.GetDescriptor()->FindFieldByName("fleet"), -1),
                 faults);
    }
  }
  faults.Throw();
  if (!parsed) throw OperatorFileError(name + ":1:1: not of the form");
  return file;
}

config::OperatorFile LoadOperatorFile(const std::string& path) {
  if (path.empty()) return {};
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf() || in.peek() == std::ifstream::traits_type::eof())) {
    throw OperatorFileError(path + ": " +
                            std::strerror(errno));  // NOLINT(concurrency-mt-unsafe): at the start.
  }
  return ParseOperatorText(text.str(), path);
}

OperatorFileChange CompareOperatorFiles(const config::OperatorFile& from, const config::OperatorFile& to) {
  OperatorFileChange change;
  Compare(from, to, {}, change);
  return change;
}

std::string FormatOperatorFile(const config::OperatorFile& file) {
  config::OperatorFile filled = file;
  filled.mutable_log();
  FillIn(filled);
  std::string text;
  pb::TextFormat::PrintToString(filled, &text);
  return text;
}

}  // namespace stoatrun
