// A scripted billing receiver on loopback. It stores new records, checks their chain, and can fail in all the
// ways that a receiver fails. Single-threaded: driven by Poll.
#ifndef STOATRUN_TESTS_STANDIN_RECEIVER_H_
#define STOATRUN_TESTS_STANDIN_RECEIVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace stoatrun::standin {

class Receiver {
 public:
  // How a request is answered.
  enum class Reply {
    kAcknowledge,        // Stores what is new and acknowledges it.
    kServerError,        // 500, nothing stored.
    kCutBeforeReading,   // Closes the connection without reading on.
    kCutAfterStoring,    // Stores, then closes without a response.
    kStoreSilently,      // Stores, never responds.
    kAcknowledgeTwice,   // Stores and sends the response twice.
    kNoAcknowledgement,  // 200 without one.
    kConflict,           // 409 with what it holds, stores nothing.
    kReject,             // 400.
    kTooLarge,           // 413.
    kRetryAfter,         // 503, Retry-After: 30.
    kForgedHash,         // An acknowledgement with a hash that no record has.
    kUnknownSeq,         // An acknowledgement beyond what was ever sent.
    kLoseLast,           // Loses the last record it held, and says so.
  };

  Receiver();
  ~Receiver();
  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;

  int Port() const { return port_; }
  // Appends to the script of the next requests' replies; after its end it is kAcknowledge.
  void Script(std::initializer_list<Reply> replies) {
    script_.insert(script_.end(), replies.begin(), replies.end());
  }
  std::size_t RemainingScript() const { return script_.size(); }
  void Poll();  // Does not block.
  void Down();  // From now on connections are refused.
  void Up();

  // Stored lines, in order; each stored once.
  const std::vector<std::string>& Lines() const { return lines_; }
  // Requests and records that came before under the same key or number with other content: must stay 0.
  std::size_t ContentConflicts() const { return content_conflicts_; }

 private:
  struct Peer {
    int fd = -1;
    std::string input;
    bool answered = false;
  };
  void Accept();
  void Read(Peer& peer);
  void Serve(Peer& peer);
  void CheckIdempotency(const std::string& key, const std::string& body);
  // Carries out a reply; returns the response, or nothing if there is none.
  std::optional<std::string> Respond(Peer& peer, Reply reply, const std::string& body);
  void Store(const std::string& body);
  std::string LastHash() const;
  std::string Acknowledgement() const;

  int fd_ = -1, port_ = 0;
  std::deque<Reply> script_;
  std::vector<std::unique_ptr<Peer>> peers_;
  std::vector<std::string> lines_, hashes_;
  std::map<std::string, std::string> body_by_key_;  // By idempotency key.
  std::size_t content_conflicts_ = 0;
};

}  // namespace stoatrun::standin

#endif  // STOATRUN_TESTS_STANDIN_RECEIVER_H_
