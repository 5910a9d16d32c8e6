// The form of the fleet's datagrams on the wire (proto/fleet.proto).
//
// The checksum detects datagrams that were truncated, changed under way or meant for another fleet. It is no
// authentication: whoever can send from a peer's address can say anything, and the modules keep their bounds
// by what each relay owns, not by trust. Pure functions; thread-safe.
#ifndef STOATRUN_FLEET_IO_CODEC_H_
#define STOATRUN_FLEET_IO_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "fleet/message.h"

namespace stoatrun::fleet {

// The version of the wire form. It rises when the meaning of a field changes, not when a field is added.
constexpr std::uint8_t kSchema = 1;

// Why a datagram was not decoded.
enum class DecodeError { kUnknownProtocol, kUnsupportedSchema, kBadChecksum, kMalformed };

// Encodes a datagram of the fleet named `fleet`. SizeOf(datagram) bounds the result's size.
std::string Encode(const Datagram& datagram, const std::string& fleet);
// Decodes a datagram of the fleet named `fleet`; never throws, whatever `bytes` holds.
std::variant<Datagram, DecodeError> Decode(std::string_view bytes, const std::string& fleet);

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_CODEC_H_
