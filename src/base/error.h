// The error type of the program: an exception with a code for the code that handles it and a message for the
// operator.
//
// Thrown only where a caller can't go on: at start-up, at a reload, in command-line tools and in the
// simulator adapter. Nothing on the path of a request throws. A module with errors of its own kind derives
// its type, so that callers can catch it alone.
#ifndef STOATRUN_BASE_ERROR_H_
#define STOATRUN_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace stoatrun {

// Kinds of errors, by how they are handled.
enum class ErrorCode {
  kMalformedInput,       // A document or message doesn't have the expected form.
  kInvalidConfig,        // The environment or the configuration file is wrong.
  kInvalidOperatorFile,  // The operator file is wrong.
  kUnavailable,          // The operating system or another process doesn't provide what is needed.
};

// The base of the program's own errors.
class Error : public std::runtime_error {
 public:
  // `message` is shown to the operator as it is; it names the file, setting or field concerned.
  Error(ErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}

  // What kind of error it is.
  ErrorCode Code() const { return code_; }

 private:
  ErrorCode code_;
};

// The environment or the configuration file is wrong.
class ConfigError : public Error {
 public:
  // `message` names the setting.
  explicit ConfigError(const std::string& message) : Error(ErrorCode::kInvalidConfig, message) {}
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_ERROR_H_
