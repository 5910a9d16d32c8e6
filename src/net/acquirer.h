// The acquirer side: takes client connections, reads their first line, answers them and ends them.
#ifndef STOATRUN_NET_ACQUIRER_H_
#define STOATRUN_NET_ACQUIRER_H_

#include <ev.h>

#include <cstddef>
#include <string_view>

#include "net/counters.h"
#include "net/deadlines.h"
#include "net/line.h"
#include "net/slots.h"
#include "net/stream.h"

namespace stoatrun {

class AcquirerEvents {
 public:
  virtual ~AcquirerEvents() = default;
  virtual bool TakesClass(std::string_view name) = 0;
  // Gives the number by which the client's further events name it. The head's views are good until Up or End.
  virtual SlotId OnOpen(SlotId client, const OpenHead& head) = 0;
  // Of a client that was opened: bytes or the end of its sending, and room for more.
  virtual void OnClientBytes(SlotId owner) = 0;
  virtual void OnClientEnd(SlotId owner, StreamEnd end) = 0;
  virtual void OnClientRoom(SlotId owner) = 0;
};

class Acquirer : public StreamHandler {
 public:
  Acquirer(Loop& loop, AcquirerEvents& events, Counters& counters);
  ~Acquirer() override;
  Acquirer(const Acquirer&) = delete;
  Acquirer& operator=(const Acquirer&) = delete;

  void Listen(const Address& address);  // Throws std::system_error.
  void StopListening();
  int Port() const;

  Stream* Find(SlotId client);
  // The first line is answered: what the client sends from here on is its own.
  void Up(SlotId client, std::string_view line);
  // Sends a last line (or none) and ends the connection in order.
  void End(SlotId client, std::string_view last_line);
  void Reset(SlotId client);
  std::size_t Asking();  // Connections with anything begun on them.

  void OnBytes(SlotId id) override;
  void OnEnd(SlotId id, StreamEnd end) override;
  void OnRoom(SlotId id) override;

 private:
  struct Client {
    Client(SlotId slot, Acquirer& all)
        : id(slot),
          stream(all.loop_.Raw(), all, slot),
          deadline(all.loop_.deadlines, [&all, slot] { all.Due(slot); }) {}
    enum class State { kHead, kOpened, kEnding };
    SlotId id, owner;
    Stream stream;
    Deadline deadline;
    State state = State::kHead;
    std::size_t head_size = 0;
  };

  static void OnAccept(struct ev_loop* loop, ev_io* w, int events);
  void Accept();
  bool TurnAway();  // False: nobody waited.
  void Due(SlotId id);
  void ReadHead(Client& c);
  void Malformed(Client& c, std::string_view why);

  Loop& loop_;
  AcquirerEvents& events_;
  Counters& counters_;
  ev_io accept_{};
  int fd_ = -1;
  int spare_fd_ = -1;
  Slots<Client> clients_;
};

}  // namespace stoatrun

#endif  // STOATRUN_NET_ACQUIRER_H_
