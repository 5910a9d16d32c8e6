// The program's exception type, with an error code for the handler and a message for the operator.
//
// Thrown only where the caller can't continue: at start-up, on reload, in command-line tools and in the
// simulator adapter. Nothing on the request path throws. Modules derive their own exception types, so that
// callers can catch them separately.
#ifndef STOATRUN_BASE_ERROR_H_
#define STOATRUN_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace stoatrun {

// Categories of errors, by how they are handled.
enum class ErrorCode {
  kMalformedInput,       // A document or message doesn't have the expected structure.
  kInvalidConfig,        // The environment or the configuration file is invalid.
  kInvalidOperatorFile,  // The operator file is invalid.
  kUnavailable,          // The operating system or another process doesn't provide a required resource.
};

// The base class of the program's exceptions.
class Error : public std::runtime_error {
 public:
  // `message` is shown to the operator unchanged; it must name the file, setting or field.
  Error(ErrorCode code, const std::string& message) : std::runtime_error(message), code_(code) {}

  ErrorCode Code() const { return code_; }

 private:
  ErrorCode code_;
};

// The environment or the configuration file is invalid.
class ConfigError : public Error {
 public:
  // `message` must name the setting.
  explicit ConfigError(const std::string& message) : Error(ErrorCode::kInvalidConfig, message) {}
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_ERROR_H_
