// The issuer side of the line protocol: what a host's first line means.
#ifndef STOATRUN_HOSTS_LINE_ISSUER_H_
#define STOATRUN_HOSTS_LINE_ISSUER_H_

#include "hosts/legs.h"

namespace stoatrun {

class Issuer : public Legs {
 public:
  using Legs::Legs;

 private:
  void ReadLeg(Leg& leg) override;
};

}  // namespace stoatrun

#endif  // STOATRUN_HOSTS_LINE_ISSUER_H_
