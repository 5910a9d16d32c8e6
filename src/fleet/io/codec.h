// The wire format of the fleet's datagrams; proto/fleet.proto is its schema.
//
// The checksum detects datagrams that were truncated, corrupted in transit or meant for another fleet. It
// does not authenticate the sender: whoever can send from a peer's address can send any content. The modules
// therefore enforce their bounds through what each relay owns, not by trusting its peers. Pure functions;
// thread-safe.
#ifndef STOATRUN_FLEET_IO_CODEC_H_
#define STOATRUN_FLEET_IO_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "fleet/message.h"

namespace stoatrun::fleet {

// The version of the wire format. It increases when the meaning of a field changes, not when a field is
// added.
constexpr std::uint8_t kSchemaVersion = 1;

// Why a datagram was not decoded.
enum class DecodeError {
  kUnknownProtocol,    // Shorter than the envelope, or without the magic bytes.
  kUnsupportedSchema,  // Of another schema version.
  kBadChecksum,        // Truncated, corrupted, or of another fleet.
  kMalformed,          // Not an encoded Datagram message, or with invalid values.
};

// Encodes a datagram of the fleet named `fleet`. SizeOf(datagram) is an upper bound on the size of the
// result.
std::string Encode(const Datagram& datagram, const std::string& fleet);
// Decodes a datagram of the fleet named `fleet`; does not throw for any `bytes`.
std::variant<Datagram, DecodeError> Decode(std::string_view bytes, const std::string& fleet);

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_CODEC_H_
