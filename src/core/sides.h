// What a front (an acquirer side) and a host side (an issuer side) give to the core, and what the core tells
// them. One object of each a protocol; the core pairs a client of any front with a leg of the host side that
// the front names, and knows no wire format.
#ifndef STOATRUN_CORE_SIDES_H_
#define STOATRUN_CORE_SIDES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "base/clock.h"
#include "base/slots.h"
#include "base/stream.h"

namespace stoatrun {

using HostNumber = std::uint32_t;

// How a leg ended before it was up: one name for each row of the protocol's outcome table.
enum class LegEnd { kServed, kSentAway, kError, kTurnedAway, kNotConnected, kBroken, kTimedOut, kAbandoned };

// What a leg says first. Owned by the front, there until the leg is up or the client is answered.
class Hello {
 public:
  virtual ~Hello() = default;
  // `wait`: how long the relay waits for the leg to be up, from now on. Each leg of a client gets it once.
  virtual void SayTo(Stream& leg, Micros wait) const = 0;
};

class HostSide {
 public:
  virtual ~HostSide() = default;
  // Starts a leg. Its end is told later, never from within this call.
  virtual SlotId Open(SlotId owner, HostNumber host, const Hello& hello, Micros wait) = 0;
  virtual void Close(SlotId leg) = 0;  // Abandons it, or ends it once up. Nothing more is told.
  virtual void Reset(SlotId leg) = 0;
  virtual Stream* Find(SlotId leg) = 0;
};

class HostEvents {
 public:
  virtual ~HostEvents() = default;
  // A leg is named by the number its opener gave. `said` is what the host said, as it goes to the client;
  // empty where it said nothing.
  virtual void OnLegUp(SlotId owner, std::string_view said) = 0;
  virtual void OnLegEnd(SlotId owner, LegEnd end, std::string_view said) = 0;
  // Of a leg that is up.
  virtual void OnLegBytes(SlotId owner) = 0;
  virtual void OnLegFinished(SlotId owner, StreamEnd end) = 0;
  virtual void OnLegRoom(SlotId owner) = 0;
};

class ProbeEvents {
 public:
  virtual ~ProbeEvents() = default;
  virtual void OnProbe(HostNumber host, bool ok, std::string_view report) = 0;
};

// Carries what a standing connection sends, both ways, as its protocol wants it. One a connection.
class Flow {
 public:
  virtual ~Flow() = default;
  // Takes from the client what the leg has room for. `now`: as ever.
  virtual void ToHost(Stream& client, Stream& leg, Micros now) = 0;
  // `all`: the host has ended, nothing more comes. What it has to tell of the host, it tells afterwards.
  virtual void ToClient(Stream& leg, Stream& client, bool all, Micros now) = 0;
  // What the host's end means, by what it said last.
  virtual LegEnd EndedAs() const = 0;
  // From when on the host counts as silent; nothing: it owes no word.
  virtual std::optional<Micros> SilentAt() const = 0;
  // From when on it is quiet enough to be moved, if nothing more comes.
  virtual Micros QuietAt() const { return Micros(0); }
};

class FlowEvents {
 public:
  virtual ~FlowEvents() = default;
  virtual void OnLoad(SlotId owner, double load) = 0;
  virtual void OnDelay(SlotId owner, Micros delay) = 0;
};

class Front {
 public:
  virtual ~Front() = default;
  virtual Stream* Find(SlotId client) = 0;
  virtual std::unique_ptr<Flow> MakeFlow(SlotId owner) = 0;
  // The one answer. Up: what the client sends from here on is its own, `said` comes from the host. The others
  // end the connection.
  virtual void Up(SlotId client, std::string_view said) = 0;
  virtual void Decline(SlotId client, Micros come_back) = 0;  // 0: no advice.
  virtual void Fail(SlotId client) = 0;
  virtual void PassOn(SlotId client, std::string_view said) = 0;  // The host's own last word.
  // Ends of a standing connection.
  virtual void Move(SlotId client) = 0;  // Politely, between two messages; the client comes again.
  virtual void End(SlotId client) = 0;   // In order, after all that is queued.
  virtual void Reset(SlotId client) = 0;
  // A planned end.
  virtual void StopListening() = 0;
  // Is anyone there that may yet ask, or still reads its answer?
  virtual bool Asking() = 0;
};

struct Opening {  // What the module hears of a new authorisation.
  std::size_t class_index = 0;
  Micros deadline{0};
  std::optional<double> load;
  bool again = false;
};

struct Arrival {  // A client with its request, as a front hands it over.
  Front* front = nullptr;
  HostSide* hosts = nullptr;
  const Hello* hello = nullptr;
  SlotId client;
  Opening opening;
  std::string_view id;         // As the client names its connection; empty: it does not.
  std::string_view group;      // For the ledger. Good, as `hello`, until the client is answered.
  std::string_view resume_at;  // The host that holds the connection already; empty: none.
};

class FrontEvents {
 public:
  virtual ~FrontEvents() = default;
  // The class of that name, if the settings have it.
  virtual std::optional<std::size_t> ClassNamed(std::string_view name) const = 0;
  // Is a connection of that id open?
  virtual bool IsOpen(std::string_view id) const = 0;
  // Gives the number by which the client's further events name it.
  virtual SlotId OnOpen(const Arrival& arrival) = 0;
  // Of a client that was opened: bytes or the end of its sending, and room for more.
  virtual void OnClientBytes(SlotId owner) = 0;
  virtual void OnClientEnd(SlotId owner, StreamEnd end) = 0;
  virtual void OnClientRoom(SlotId owner) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_CORE_SIDES_H_
