// A billing receiver on loopback, played step by step. It keeps what is new, checks the chain, and can fail
// in all the ways that a receiver fails: how the next requests end is a list.
#ifndef STOATRUN_TESTS_STANDIN_RECEIVER_H_
#define STOATRUN_TESTS_STANDIN_RECEIVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace stoatrun::standin {

class Receiver {
 public:
  enum class Play {
    kTake,       // Keeps what is new and says so.
    kError,      // 500, nothing kept.
    kCutBefore,  // Ends without reading on.
    kCutAfter,   // Keeps, then ends without an answer.
    kSilent,     // Keeps, never answers.
    kTwice,      // Keeps and answers two times.
    kNoReceipt,  // 200 without one.
    kConflict,   // 409 with what it holds, keeps nothing.
    kReject,     // 400.
    kTooLarge,   // 413.
    kLater,      // 503, Retry-After: 30.
    kForge,      // A receipt with a hash that nobody made.
    kAhead,      // A receipt beyond what was ever sent.
    kLose,       // Loses the last record it held, and says so.
  };

  Receiver();
  ~Receiver();
  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;

  int Port() const { return port_; }
  void Next(std::initializer_list<Play> plays) { plays_.insert(plays_.end(), plays); }
  void Poll();  // Does not block.
  void Down();  // Refuses connections.
  void Up();

  std::size_t Requests() const { return requests_; }
  std::size_t RemainingSteps() const { return plays_.size(); }
  // Lines kept, in order; each kept once.
  const std::vector<std::string>& Lines() const { return lines_; }
  // A record that came as new under a key whose content had come before with another: must stay 0.
  std::size_t ContentConflicts() const { return content_conflicts_; }

 private:
  struct Peer {
    int fd = -1;
    std::string in;
    bool answered = false;
  };
  void Serve(Peer& peer);
  void Keep(const std::string& body);
  std::string Receipt() const;

  int fd_ = -1, port_ = 0;
  std::deque<Play> plays_;
  std::vector<std::unique_ptr<Peer>> peers_;
  std::vector<std::string> lines_, hashes_;
  std::map<std::string, std::string> bodies_;  // By idempotency key.
  std::size_t requests_ = 0, content_conflicts_ = 0;
};

}  // namespace stoatrun::standin

#endif  // STOATRUN_TESTS_STANDIN_RECEIVER_H_
