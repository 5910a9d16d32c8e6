// One exported record as a line, and the chain that the lines form. Pure.
#ifndef STOATRUN_LEDGER_RECORD_H_
#define STOATRUN_LEDGER_RECORD_H_

#include <optional>
#include <string>
#include <string_view>

#include "ledger.pb.h"

namespace stoatrun::ledger {

inline constexpr std::size_t kHashSize = 64;  // In hexadecimal.

std::string FirstHash();  // What the first record names as the one before it.
std::string Sha256Hex(std::string_view text);

struct Line {
  std::string text;  // With its end.
  std::string hash;
};
// Deterministic: the same record after the same hash is the same line, to the byte.
Line MakeLine(const wire::Record& record, const std::string& prev);

// The parts of a line that is whole and whose hash agrees with its bytes; views into it.
struct LineParts {
  std::string_view record, prev, hash;
};
// `line` with its end. Nothing if any byte is not as MakeLine wrote it.
std::optional<LineParts> SplitLine(std::string_view line);
// The record of a line. Nothing if it is not of the schema.
std::optional<wire::Record> ParseRecord(std::string_view record);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_RECORD_H_
