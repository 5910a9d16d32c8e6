// The acquirer side of the line protocol: takes client connections, reads their first line, answers them and
// ends them.
#ifndef STOATRUN_FRONTS_LINE_ACQUIRER_H_
#define STOATRUN_FRONTS_LINE_ACQUIRER_H_

#include <cstddef>
#include <list>
#include <memory>
#include <string_view>

#include "base/deadlines.h"
#include "base/listener.h"
#include "base/slots.h"
#include "base/stream.h"
#include "core/counters.h"
#include "core/sides.h"
#include "ops/log.h"
#include "wire/line.h"

namespace stoatrun {

class Acquirer : public StreamHandler, public Front, private ListenerHandler {
 public:
  // `descriptors`: what the whole relay may hold.
  Acquirer(Loop& loop, FrontEvents& events, FlowEvents& flow, HostSide& hosts, Counters& counters,
           std::size_t descriptors);
  Acquirer(const Acquirer&) = delete;
  Acquirer& operator=(const Acquirer&) = delete;

  void Listen(const Address& address) { listener_.Listen(address); }  // Throws std::system_error.
  int Port() const { return listener_.Port(); }

  Stream* Find(SlotId client) override;
  std::unique_ptr<Flow> MakeFlow(SlotId owner) override;
  void Up(SlotId client, std::string_view said) override;
  void Decline(SlotId client, Micros come_back) override;
  void Fail(SlotId client) override;
  void PassOn(SlotId client, std::string_view said) override { Finish(client, said); }
  void Move(SlotId client) override;
  void End(SlotId client) override { Finish(client, {}); }
  void Reset(SlotId client) override;
  void StopListening() override { listener_.Stop(); }
  // Callers that have said nothing of use for a while and those that do not end are not waited for.
  bool Asking() override;

  void OnBytes(SlotId id) override;
  void OnDropped(SlotId id, std::size_t size) override;
  void OnEnd(SlotId id, StreamEnd end) override;
  void OnRoom(SlotId id) override;

 private:
  struct Client : Hello {
    void SayTo(Stream& leg, Micros wait) const override;
    Client(SlotId slot, Acquirer& all)
        : id(slot),
          stream(all.loop_.Raw(), all, slot),
          deadline(all.loop_.deadlines, [&all, slot] { all.Due(slot); }) {}
    enum class State { kHead, kOpened, kEnding };
    SlotId id, owner;
    Stream stream;
    Deadline deadline;
    State state = State::kHead;
    std::list<SlotId>::iterator place{};  // Among the callers or the ending.
    Micros since{0};                      // Accepted, or ended by us.
    std::size_t head_size = 0, dropped = 0;
    // Of its first line, there until it is answered: cut around the wait, which each leg is told anew.
    std::string_view before_wait, after_wait;
    bool waits = true;
  };

  void OnAccepted(int fd) override;
  void OnSurplus(int fd) override;
  void OnAcceptFailed(int error) override;
  // Sends a last line (or none) and ends the connection in order.
  void Finish(SlotId client, std::string_view last_line);
  std::string_view Objection(const OpenHead& head) const;
  void Due(SlotId id);
  void ReadHead(Client& c);
  void Malformed(Client& c, std::string_view why);
  bool TakesAnother() const;  // Are there descriptors for one more client and its leg?
  void MakeRoom();
  void Erase(Client& c);

  Loop& loop_;
  FrontEvents& events_;
  FlowEvents& flow_;
  HostSide& hosts_;
  Counters& counters_;
  Listener listener_;
  const std::size_t descriptors_;
  Slots<Client> clients_;
  std::list<SlotId> callers_, ending_;  // Without a first line, and answered; oldest first.
  LogLimit bad_lines_, wants_;
};

}  // namespace stoatrun

#endif  // STOATRUN_FRONTS_LINE_ACQUIRER_H_
