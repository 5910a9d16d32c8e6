// The checks of a parsed operator file against the options of its schema, and of the rules between fields.
// Pure.
#ifndef STOATRUN_CONFIG_OPERATOR_FILE_CHECKS_H_
#define STOATRUN_CONFIG_OPERATOR_FILE_CHECKS_H_

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <string>
#include <string_view>
#include <vector>

#include "operator.pb.h"

namespace stoatrun {

// Collects the problems of one file, from protobuf's parser and from the checks. Lines and columns count from
// 0 here, as in protobuf, and from 1 in the message.
class OperatorFileProblems : public google::protobuf::io::ErrorCollector {
 public:
  // `text`: the file, called `name` in the message. Both must outlive this object.
  OperatorFileProblems(const std::string& name, std::string_view text) : name_(name), text_(text) {}

  // Adds a problem at a place of the file.
  void AddError(int line, int column, const std::string& message) override;
  // Warnings are ignored.
  void AddWarning(int /*line*/, int /*column*/, const std::string& /*message*/) override {}
  // Throws OperatorFileError with all problems in the order of their places, if there are any.
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

// Checks all fields of `file`; `locations` are the places of its fields in the text.
void CheckOperatorFile(const config::OperatorFile& file,
                       const google::protobuf::TextFormat::ParseInfoTree& locations,
                       OperatorFileProblems& problems);

// The full name of a field within the message at `path`, which is empty for the file itself.
std::string FieldPath(const std::string& path, const std::string& field_name);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_OPERATOR_FILE_CHECKS_H_
