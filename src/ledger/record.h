// The line format of exported records, and the hash chain that the lines form.
//
// A line is {"record":RECORD,"prev":"HASH","hash":"HASH"} and a newline, RECORD being the JSON form of
// proto/ledger.proto. `hash` is the SHA-256 of all bytes before `,"hash"`; `prev` is the hash of the record
// before.
//
// Pure and thread-safe: the only state is a digest context per thread.
#ifndef STOATRUN_LEDGER_RECORD_H_
#define STOATRUN_LEDGER_RECORD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "ledger.pb.h"

namespace stoatrun::ledger {

// The length of a hash in hexadecimal digits.
inline constexpr std::size_t kHashSize = 64;

// The `prev` of a ledger's first record: 64 zeros.
std::string InitialPrevHash();
// The SHA-256 of `text` in lower-case hexadecimal. Throws std::runtime_error if OpenSSL does not provide it.
std::string Sha256Hex(std::string_view text);

// A record as it is stored and exported.
struct Line {
  std::string text;  // Includes the newline.
  std::string hash;
};

// Serializes a record that follows the one with hash `prev`. Deterministic: the same record and hash give the
// same bytes. Throws std::runtime_error if the record cannot be converted to JSON (text that is not UTF-8).
Line MakeLine(const wire::Record& record, const std::string& prev);

// The parts of a line, as views into it.
struct LineParts {
  std::string_view record, prev, hash;
};

// Splits a line, which includes its newline, and checks its format and hash. Returns nullopt if any byte
// differs from what MakeLine wrote.
std::optional<LineParts> SplitLine(std::string_view line);

// Parses the record of a line. Returns nullopt if it does not conform to the schema.
std::optional<wire::Record> ParseRecord(std::string_view record);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_RECORD_H_
