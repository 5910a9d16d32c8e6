// Throws the errors of system calls.
#ifndef STOATRUN_BASE_SYSTEM_ERROR_H_
#define STOATRUN_BASE_SYSTEM_ERROR_H_

#include <string>
#include <system_error>

namespace stoatrun {

// Throws std::system_error for an error number. `subject`: the file or the operation, for the message.
[[noreturn]] inline void ThrowSystemError(int error, const std::string& subject) {
  throw std::system_error(error, std::generic_category(), subject);
}

}  // namespace stoatrun

#endif  // STOATRUN_BASE_SYSTEM_ERROR_H_
