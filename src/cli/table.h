// Tables of text cells, printed as aligned columns, JSON or CSV.
//
// Output errors are only recorded in the state of the stream. Not thread-safe.
#ifndef STOATRUN_CLI_TABLE_H_
#define STOATRUN_CLI_TABLE_H_

#include <cstddef>
#include <limits>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace stoatrun::cli {

// The output format of a table.
enum class OutputFormat {
  kTable,  // Aligned columns.
  kJson,   // An array of objects whose values are strings.
  kCsv,    // RFC 4180.
};

// Parses the value of a --format option: "json" and "csv" by name, any other text as kTable. The option's
// validator has already rejected unknown names.
OutputFormat ParseOutputFormat(const std::string& name);

// A table with named columns and text cells.
class Table {
 public:
  // A value of `first_right_aligned` that leaves all columns left-aligned.
  static constexpr std::size_t kNoRightAligned = std::numeric_limits<std::size_t>::max();

  // In OutputFormat::kTable the columns from index `first_right_aligned` on are right-aligned.
  Table(std::vector<std::string> columns, std::size_t first_right_aligned)
      : columns_(std::move(columns)), first_right_aligned_(first_right_aligned) {}
  // Appends a row, which must have as many cells as there are columns.
  void AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  bool Empty() const { return rows_.empty(); }
  // Prints the header and all rows.
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

// Prints several tables: in JSON as one object with a member for each table; in the other formats one after
// another, each below its name. OutputFormat::kTable omits empty tables.
void PrintTables(std::ostream& out, OutputFormat format, const std::vector<NamedTable>& tables);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_TABLE_H_
