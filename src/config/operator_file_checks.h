// Validates a parsed operator file against the options of its schema and against rules that span several
// fields. Pure functions.
#ifndef STOATRUN_CONFIG_OPERATOR_FILE_CHECKS_H_
#define STOATRUN_CONFIG_OPERATOR_FILE_CHECKS_H_

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <string>
#include <string_view>
#include <vector>

#include "operator.pb.h"

namespace stoatrun {

// Collects the problems in one file, from protobuf's parser and from the checks below. Lines and columns are
// zero-based here, as in protobuf, and one-based in the error message.
class OperatorFileProblems : public google::protobuf::io::ErrorCollector {
 public:
  // `text`: the contents of the file; `name`: its name for error messages. Both must outlive this object.
  OperatorFileProblems(const std::string& name, std::string_view text) : name_(name), text_(text) {}

  // Adds a problem at a position in the file.
  void AddError(int line, int column, const std::string& message) override;
  // Warnings are ignored.
  void AddWarning(int /*line*/, int /*column*/, const std::string& /*message*/) override {}
  // If there are problems, throws OperatorFileError with all of them in the order of their positions.
  void ThrowIfAny();

 private:
  struct Problem {
    int line = 0;
    int column = 0;
    std::string message;
  };
  void MoveToValue(Problem& problem) const;

  const std::string& name_;
  std::string_view text_;
  std::vector<Problem> problems_;
};

// Checks all fields of `file`; `locations` are the positions of its fields in the text.
void CheckOperatorFile(const config::OperatorFile& file,
                       const google::protobuf::TextFormat::ParseInfoTree& locations,
                       OperatorFileProblems& problems);

// The full name of a field of the message at `path`; `path` is empty for top-level fields.
std::string FieldPath(const std::string& path, const std::string& field_name);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_OPERATOR_FILE_CHECKS_H_
