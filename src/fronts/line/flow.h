// What standing line connections send: lines, passed on unchanged and only whole ones towards the client.
#ifndef STOATRUN_FRONTS_LINE_FLOW_H_
#define STOATRUN_FRONTS_LINE_FLOW_H_

#include <string_view>

#include "core/sides.h"

namespace stoatrun {

class LineFlow : public Flow {
 public:
  LineFlow(FlowEvents& events, SlotId owner) : events_(events), owner_(owner) {}

  void ToHost(Stream& client, Stream& leg, Micros now) override;
  void ToClient(Stream& leg, Stream& client, bool all, Micros now) override;
  LegEnd EndedAs() const override { return last_word_; }
  std::optional<Micros> SilentAt() const override;

 private:
  // What the lines of one reading tell; told to the core once the buffers are done with, for it may end the
  // connection, and this with it.
  struct Heard {
    std::optional<double> load;
    std::optional<Micros> delay;
  };
  void Note(std::string_view line, Micros now, Heard& heard);

  FlowEvents& events_;
  const SlotId owner_;
  Micros asked_at_{0};  // When the oldest client line without an answer went on; 0: none.
  Micros heard_at_{0};  // When the host last sent anything since.
  LegEnd last_word_ = LegEnd::kBroken;
};

}  // namespace stoatrun

#endif  // STOATRUN_FRONTS_LINE_FLOW_H_
