// Reads, checks, compares and prints the operator file (proto/operator.proto in protobuf text format).
//
// The schema's options say what is checked: ranges, forms, required fields, and whether a reload applies a
// change. Pure apart from LoadOperatorFile; used at start-up and at reloads on the main thread.
#ifndef STOATRUN_CONFIG_OPERATOR_FILE_H_
#define STOATRUN_CONFIG_OPERATOR_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "operator.pb.h"

namespace stoatrun {

// All that is wrong with the file, one `FILE:LINE:COLUMN: FIELD: PROBLEM` a line.
class OperatorFileError : public Error {
 public:
  // `message` lists the problems.
  explicit OperatorFileError(const std::string& message) : Error(ErrorCode::kInvalidOperatorFile, message) {}
};

// Reads and checks the file at `path`; an empty path gives the defaults. Throws OperatorFileError, also if
// the file can't be read.
config::OperatorFile LoadOperatorFile(const std::string& path);

// Reads and checks a text; errors call it `name`. Throws OperatorFileError.
config::OperatorFile ParseOperatorText(std::string_view text, const std::string& name);

// The fields in which two files differ, by their full names.
struct OperatorFileChange {
  std::vector<std::string> reloadable;        // A reload applies these.
  std::vector<std::string> restart_required;  // These take effect at the next start.
};

// A field that is not set equals one that is set to its default.
OperatorFileChange CompareOperatorFiles(const config::OperatorFile& before,
                                        const config::OperatorFile& after);

// The file's text with all defaults filled in.
std::string FormatOperatorFile(const config::OperatorFile& file);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_OPERATOR_FILE_H_
