// Records printed as a table for people, or as JSON or CSV for programs.
#ifndef STOATRUN_CLI_TABLE_H_
#define STOATRUN_CLI_TABLE_H_

#include <cstddef>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace stoatrun::cli {

class Table {
 public:
  // In a table for people the columns from `right_from` on stand to the right.
  Table(std::vector<std::string> columns, std::size_t right_from)
      : columns_(std::move(columns)), right_from_(right_from) {}
  // As many as there are columns.
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  bool Empty() const { return rows_.empty(); }
  // `format`: table, json or csv.
  void Print(std::ostream& out, const std::string& format) const;

 private:
  std::vector<std::string> columns_;
  std::size_t right_from_;
  std::vector<std::vector<std::string>> rows_;
};

// Several by name: in JSON one object, else one after the other with its name before it.
void PrintAll(std::ostream& out, const std::string& format,
              const std::vector<std::pair<std::string, const Table*>>& tables);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_TABLE_H_
