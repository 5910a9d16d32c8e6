// What the relay tells the ledger.
#ifndef STOATRUN_LEDGER_METER_H_
#define STOATRUN_LEDGER_METER_H_

#include <cstddef>
#include <string_view>

#include "ledger/accounts.h"

namespace stoatrun::ledger {

class Meter {
 public:
  virtual ~Meter() = default;
  // A connection stands from now on: its client is being handed UP. `group` may be empty.
  virtual Ticket Begin(std::string_view group, std::size_t class_index) = 0;
  // It has ended. A ticket that is not open is passed by.
  virtual void End(Ticket& ticket) = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_METER_H_
