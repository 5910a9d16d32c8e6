// The relay's view of its fleet, on the socket.
#ifndef STOATRUN_FLEET_IO_SEAT_H_
#define STOATRUN_FLEET_IO_SEAT_H_

#include <string>
#include <vector>

#include "base/peers.h"
#include "fleet/adviser.h"
#include "fleet/io/talk.h"

namespace stoatrun::fleet {

class Seat : public Peers {
 public:
  // `quotas`: groups whose connections count against a budget of all relays.
  Seat(Loop& loop, Talk& talk, std::vector<std::string> quotas);

  Ticket Take(std::size_t class_index, std::string_view group) override;
  void Finish(Ticket& ticket, End end) override;
  bool Hold(Ticket& ticket, std::string_view group) override;
  std::vector<std::pair<std::uint32_t, std::size_t>> Excess() override;
  bool MayAttemptAgain() override { return MaySpend("attempts"); }
  bool MayProbe() override { return MaySpend("probes"); }
  bool MaySendCold(std::string_view host) override { return MaySpend(Adviser::Cold(host)); }
  void OnSent(std::string_view host) override;
  void OnSaw(std::string_view host, Saw saw) override;
  void OnListed(const std::vector<std::pair<std::string, std::int64_t>>& hosts) override;
  std::vector<Advice> Advise(const std::vector<std::string>& cold) override;

 private:
  bool MaySpend(const std::string& budget);

  Loop& loop_;
  Talk& talk_;
  Adviser adviser_;
  std::vector<std::string> quotas_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_SEAT_H_
