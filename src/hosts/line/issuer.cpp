#include "hosts/line/issuer.h"

#include <string>

#include "base/text.h"
#include "wire/line.h"

namespace stoatrun {
namespace {

LegEnd MeaningOf(std::string_view word) {
  if (word == "BUSY") return LegEnd::kTurnedAway;
  if (word == "BYE") return LegEnd::kServed;
  if (word == "MOVE") return LegEnd::kSentAway;
  return LegEnd::kError;
}

}  // namespace

void Issuer::ReadLeg(Leg& leg) {
  const std::string_view in = leg.stream.In();
  const auto size = LineLength(in);
  if (!size) {
    if (in.size() >= kMaxLine) EndLeg(leg, LegEnd::kError, {});
    return;
  }
  const std::string said(in.substr(0, *size));
  const std::string_view word = SplitWord(Stripped(said)).first;
  if (word != "UP") return EndLeg(leg, MeaningOf(word), said);
  leg.stream.Consume(*size);
  Up(leg, said);
}

}  // namespace stoatrun
