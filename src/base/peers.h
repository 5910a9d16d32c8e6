// The rest of the fleet, as the relay sees it: whom it tells what it does, and asks what all together may do.
// Without a fleet there is none of this, and the relay acts as if it were alone.
#ifndef STOATRUN_BASE_PEERS_H_
#define STOATRUN_BASE_PEERS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace stoatrun {

class Peers {
 public:
  enum class End { kServed, kRefused, kFailed };
  enum class Saw { kFine, kFailing, kFull };
  struct Ticket {  // Of one connection: kept by whoever holds the connection.
    std::uint32_t row = 0;
    bool open = false;
    std::uint32_t quota = 0;  // The quota that it counts against, plus one; 0: none.
  };
  struct Advice {  // On one server, for the module.
    std::string host;
    double unseen = 0;   // Connections that others sent there and no report may show yet.
    double cold = -1;    // May be sent there now while it is cold; under 0: nothing is known of that.
    bool avoid = false;  // Others found it bad, and nothing was seen here that says otherwise.
  };

  virtual ~Peers() = default;
  // A connection came in. Each is finished once.
  virtual Ticket Take(std::size_t class_index, std::string_view group) = 0;
  virtual void Finish(Ticket& ticket, End end) = 0;
  // Whether the quota of its group has room for it. What is held is given back when it is finished.
  virtual bool Hold(Ticket& ticket, std::string_view group) = 0;
  // Quotas of which more is held than is allowed now, and how many connections are to be moved away.
  virtual std::vector<std::pair<std::uint32_t, std::size_t>> Excess() = 0;
  // Each takes one unit of a budget of the whole fleet, if there is one.
  virtual bool MayAttemptAgain() = 0;
  virtual bool MayProbe() = 0;
  virtual bool MaySendCold(std::string_view host) = 0;
  virtual void OnSent(std::string_view host) = 0;
  virtual void OnSaw(std::string_view host, Saw saw) = 0;
  // Hosts that may be used, and when their processes started (Unix time in milliseconds; 0: long ago).
  virtual void OnListed(const std::vector<std::pair<std::string, std::int64_t>>& hosts) = 0;
  // What changed since the last call. `cold`: hosts that started lately.
  virtual std::vector<Advice> Advise(const std::vector<std::string>& cold) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_PEERS_H_
