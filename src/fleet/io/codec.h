// The form of the fleet's datagrams on the wire (proto/fleet.proto).
//
// The checksum finds what was cut short, changed on its way or meant for another fleet. It is no seal: who
// can send from a peer's address can say anything, and the modules keep their bounds by what quota_templates
// relay owns, not by trust.
#ifndef STOATRUN_FLEET_IO_CODEC_H_
#define STOATRUN_FLEET_IO_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "fleet/message.h"

namespace stoatrun::fleet {

constexpr std::uint8_t kSchema = 1;

// Why a datagram was not read.
enum class DecodeError { kNotOurs, kSchema, kChecksum, kMalformed };

std::string Encode(const Datagram& d, const std::string& fleet);
std::variant<Datagram, DecodeError> Decode(std::string_view bytes, const std::string& fleet);

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_CODEC_H_
