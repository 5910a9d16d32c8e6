// Rows of text printed as an aligned table for people, or as JSON or CSV for programs.
//
// Errors of the output stream are left to the stream. Not thread-safe.
#ifndef STOATRUN_CLI_TABLE_H_
#define STOATRUN_CLI_TABLE_H_

#include <cstddef>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace stoatrun::cli {

// How a table is printed.
enum class OutputFormat {
  kTable,  // Aligned columns.
  kJson,   // An array of objects whose values are strings.
  kCsv,    // RFC 4180.
};

// The format that a --format option names: "json", "csv", anything else kTable. The option's own check has
// rejected other names before.
OutputFormat ParseOutputFormat(const std::string& name);

// Named columns and rows of text.
class Table {
 public:
  // In OutputFormat::kTable the columns from index `first_right_aligned` on are aligned to the right.
  Table(std::vector<std::string> columns, std::size_t first_right_aligned)
      : columns_(std::move(columns)), first_right_aligned_(first_right_aligned) {}
  // Appends a row with as many cells as there are columns.
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  // Whether there are no rows.
  bool Empty() const { return rows_.empty(); }
  // Prints the column names and all rows.
  void Print(std::ostream& out, OutputFormat format) const;

 private:
  void PrintJson(std::ostream& out) const;
  void PrintCsv(std::ostream& out) const;
  void PrintAligned(std::ostream& out) const;

  std::vector<std::string> columns_;
  std::size_t first_right_aligned_;
  std::vector<std::vector<std::string>> rows_;
};

// A table under a title.
struct NamedTable {
  std::string name;
  const Table* table = nullptr;
};

// Prints several tables: in JSON as one object with a member each, else one after the other below their
// names.
void PrintAll(std::ostream& out, OutputFormat format, const std::vector<NamedTable>& tables);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_TABLE_H_
