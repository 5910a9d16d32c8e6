// Reads and checks the operator file (proto/operator.proto, protobuf text format).
#ifndef STOATRUN_CONFIG_OPERATOR_FILE_H_
#define STOATRUN_CONFIG_OPERATOR_FILE_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "operator.pb.h"

namespace stoatrun {

// All that is wrong with the file, one `FILE:LINE:COLUMN: FIELD: WHAT` a line.
class OperatorFileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws OperatorFileError. An empty path gives the defaults.
config::OperatorFile LoadOperatorFile(const std::string& path);
// `name` stands for the file in errors.
config::OperatorFile ParseOperatorText(std::string_view text, const std::string& name);

// The fields that differ, by their full names, split by whether a reload takes them up.
struct OperatorFileChange {
  std::vector<std::string> reloadable, restart_required;
};
OperatorFileChange CompareOperatorFiles(const config::OperatorFile& from, const config::OperatorFile& to);

// What is in force, defaults filled in, in the form of the file.
std::string FormatOperatorFile(const config::OperatorFile& file);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_OPERATOR_FILE_H_
