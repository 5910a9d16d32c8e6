// Legs: one attempt each, with a connection of its own to an issuer host. What all protocols share; what a
// leg says and hears until it is up is the protocol's.
#ifndef STOATRUN_HOSTS_LEGS_H_
#define STOATRUN_HOSTS_LEGS_H_

#include <string_view>

#include "base/deadlines.h"
#include "base/slots.h"
#include "base/stream.h"
#include "core/counters.h"
#include "core/host_book.h"
#include "core/sides.h"

namespace stoatrun {

class Legs : public StreamHandler, public HostSide, private HostWatcher {
 public:
  // `connect`: how long a connection may take to come up.
  Legs(Loop& loop, HostBook& book, HostEvents& events, Counters& counters, Micros connect);
  Legs(const Legs&) = delete;
  Legs& operator=(const Legs&) = delete;

  SlotId Open(SlotId owner, HostNumber host, const Hello& hello, Micros wait) override;
  void Close(SlotId leg) override;
  void Reset(SlotId leg) override;
  Stream* Find(SlotId leg) override;

  void OnConnected(SlotId id) override;
  void OnBytes(SlotId id) override;
  void OnEnd(SlotId id, StreamEnd end) override;
  void OnRoom(SlotId id) override;

 protected:
  struct Leg {
    Leg(SlotId slot, Legs& all, HostNumber to)
        : id(slot),
          host(to),
          stream(all.loop_.Raw(), all, slot),
          deadline(all.loop_.deadlines, [&all, slot] { all.Due(slot); }) {}
    SlotId id, owner;
    HostNumber host;
    Stream stream;
    Deadline deadline;
    const Hello* hello = nullptr;
    Micros give_up{0};
    bool sent = false;  // What it says first is with the socket, to the last byte.
    bool up = false;
  };

  // The address to connect to; nothing: the host can't be reached.
  virtual std::optional<Address> AddressFor(HostNumber host) const { return book_.AddressOf(host); }
  // It has said its first; may call Up.
  virtual void Greeted(Leg& /*leg*/) {}
  // Of a leg that is not up: reads what the host says, and calls Up or EndLeg once it is enough.
  virtual void ReadLeg(Leg& leg) = 0;
  void Up(Leg& leg, std::string_view said);
  void EndLeg(Leg& leg, LegEnd end, std::string_view said);

  HostBook& book_;

 private:
  void Due(SlotId id);
  void StopSending(HostNumber host) override;

  Loop& loop_;
  HostEvents& events_;
  Counters& counters_;
  const Micros connect_;
  Slots<Leg> legs_;
};

}  // namespace stoatrun

#endif  // STOATRUN_HOSTS_LEGS_H_
