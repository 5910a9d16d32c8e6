// Loads, validates, compares and formats the operator file (proto/operator.proto in protobuf text format).
//
// The schema's options define the validation (ranges, formats, required fields) and which changes a reload
// applies. All functions except LoadOperatorFile are pure. Used on the main thread, at start-up and on
// reload.
#ifndef STOATRUN_CONFIG_OPERATOR_FILE_H_
#define STOATRUN_CONFIG_OPERATOR_FILE_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "operator.pb.h"

namespace stoatrun {

// The operator file is invalid. what() lists all problems, one per line: `FILE:LINE:COLUMN: FIELD: PROBLEM`.
class OperatorFileError : public Error {
 public:
  // `message` must list the problems.
  explicit OperatorFileError(const std::string& message) : Error(ErrorCode::kInvalidOperatorFile, message) {}
};

// Loads and validates the file at `path`; an empty path yields the defaults. Throws OperatorFileError if the
// file can't be read or is invalid.
config::OperatorFile LoadOperatorFile(const std::string& path);

// Parses and validates `text`; `name` is the file name for error messages. Throws OperatorFileError.
config::OperatorFile ParseOperatorText(std::string_view text, const std::string& name);

// The full names of the fields in which two files differ.
struct OperatorFileChange {
  std::vector<std::string> reloadable;        // Applied by a reload.
  std::vector<std::string> restart_required;  // Take effect at the next start.
};

// Compares two files. An unset field is equal to a field set to its default.
OperatorFileChange CompareOperatorFiles(const config::OperatorFile& before,
                                        const config::OperatorFile& after);

// Formats the file as text, with all defaults filled in.
std::string FormatOperatorFile(const config::OperatorFile& file);

}  // namespace stoatrun

#endif  // STOATRUN_CONFIG_OPERATOR_FILE_H_
