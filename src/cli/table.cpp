#include "cli/table.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.h"

namespace stoatrun::cli {
namespace {

std::string Quoted(const std::string& text) {
  fmt::memory_buffer out;
  out.push_back('"');
  AppendJsonEscaped(out, text);
  out.push_back('"');
  return fmt::to_string(out);
}

// As RFC 4180 has it.
std::string Field(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
  std::string quoted = "\"";
  for (const char c : text) quoted.append(c == '"' ? 2 : 1, c);
  return quoted + '"';
}

}  // namespace

void Table::Print(std::ostream& out, const std::string& format) const {
  if (format == "json") {
    out << '[';
    for (std::size_t r = 0; r < rows_.size(); ++r) {
      out << (r == 0 ? "\n" : ",\n") << '{';
      for (std::size_t k = 0; k < columns_.size(); ++k) {
        out << (k == 0 ? "" : ",") << Quoted(columns_[k]) << ':' << Quoted(rows_[r][k]);
      }
      out << '}';
    }
    out << "\n]\n";
    return;
  }
  if (format == "csv") {
    const auto line = [&](const std::vector<std::string>& row) {
      for (std::size_t k = 0; k < row.size(); ++k) out << (k == 0 ? "" : ",") << Field(row[k]);
      out << "\r\n";
    };
    line(columns_);
    for (const auto& row : rows_) line(row);
    return;
  }
  std::vector<std::size_t> width;
  for (const std::string& c : columns_) width.push_back(c.size());
  for (const auto& row : rows_) {
    for (std::size_t k = 0; k < row.size(); ++k) width[k] = std::max(width[k], row[k].size());
  }
  const auto line = [&](const std::vector<std::string>& row) {
    std::string text;
    for (std::size_t k = 0; k < row.size(); ++k) {
      if (k > 0) text += "  ";
      const std::string blanks(width[k] - row[k].size(), ' ');
      text += k >= right_from_ ? blanks + row[k] : row[k] + blanks;
    }
    text.erase(text.find_last_not_of(' ') + 1);
    out << text << '\n';
  };
  line(columns_);
  for (const auto& row : rows_) line(row);
}

void PrintAll(std::ostream& out, const std::string& format,
              const std::vector<std::pair<std::string, const Table*>>& tables) {
  const bool json = format == "json";
  if (json) out << "{\n";
  for (std::size_t k = 0; k < tables.size(); ++k) {
    const auto& [name, table] = tables[k];
    if (json) {
      out << (k == 0 ? "" : ",") << Quoted(name) << ":\n";
    } else if (format == "csv") {
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
