#include "cli/table.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.h"

namespace stoatrun::cli {
namespace {

std::string JsonString(const std::string& text) {
  fmt::memory_buffer out;
  out.push_back('"');
  AppendJsonEscaped(out, text);
  out.push_back('"');
  return fmt::to_string(out);
}

// Returns `text` as an RFC 4180 field, quoted only if necessary.
std::string CsvField(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
  std::string quoted = "\"";
  for (const char character : text) quoted.append(character == '"' ? 2 : 1, character);
  return quoted + '"';
}

void PrintCsvLine(std::ostream& out, const std::vector<std::string>& row) {
  for (std::size_t k = 0; k < row.size(); ++k) out << (k == 0 ? "" : ",") << CsvField(row[k]);
  out << "\r\n";
}

}  // namespace

OutputFormat ParseOutputFormat(const std::string& name) {
  if (name == "json") return OutputFormat::kJson;
  if (name == "csv") return OutputFormat::kCsv;
  return OutputFormat::kTable;
}

void Table::Print(std::ostream& out, OutputFormat format) const {
  switch (format) {
    case OutputFormat::kJson:
      return PrintJson(out);
    case OutputFormat::kCsv:
      return PrintCsv(out);
    case OutputFormat::kTable:
      return PrintAligned(out);
  }
}

void Table::PrintJson(std::ostream& out) const {
  out << '[';
  const char* separator = "\n";
  for (const auto& row : rows_) {
    out << separator << '{';
    for (std::size_t k = 0; k < columns_.size(); ++k) {
      out << (k == 0 ? "" : ",") << JsonString(columns_[k]) << ':' << JsonString(row[k]);
    }
    out << '}';
    separator = ",\n";
  }
  out << "\n]\n";
}

void Table::PrintCsv(std::ostream& out) const {
  PrintCsvLine(out, columns_);
  for (const auto& row : rows_) PrintCsvLine(out, row);
}

void Table::PrintAligned(std::ostream& out) const {
  std::vector<std::size_t> widths;
  for (const std::string& column : columns_) widths.push_back(column.size());
  for (const auto& row : rows_) {
    for (std::size_t k = 0; k < row.size(); ++k) widths[k] = std::max(widths[k], row[k].size());
  }
  const auto print_line = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t k = 0; k < row.size(); ++k) {
      if (k > 0) line += "  ";
      const std::string padding(widths[k] - row[k].size(), ' ');
      line += k >= first_right_aligned_ ? padding + row[k] : row[k] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  };
  print_line(columns_);
  for (const auto& row : rows_) print_line(row);
}

void PrintTables(std::ostream& out, OutputFormat format, const std::vector<NamedTable>& tables) {
  const bool json = format == OutputFormat::kJson;
  if (json) out << "{\n";
  for (std::size_t k = 0; k < tables.size(); ++k) {
    const auto& [name, table] = tables[k];
    if (json) {
      out << (k == 0 ? "" : ",") << JsonString(name) << ":\n";
    } else if (format == OutputFormat::kCsv) {
      out << (k == 0 ? "" : "\r\n") << '#' << name << "\r\n";
    } else if (table->Empty()) {
      continue;
    } else {
      out << (k == 0 ? "" : "\n") << name << '\n';
    }
    table->Print(out, format);
  }
  if (json) out << "}\n";
}

}  // namespace stoatrun::cli
