// A billing receiver on the loopback interface. It stores new records and checks their hash chain; tests
// script its replies, including failures. Single-threaded: driven by Poll.
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
  // How the receiver handles a request.
  enum class Reply {
    kAcknowledge,           // Stores new records and acknowledges them.
    kServerError,           // Responds 500 and stores nothing.
    kCloseBeforeReading,    // Closes the connection without reading the complete request.
    kCloseAfterStoring,     // Stores, then closes the connection without a response.
    kStoreWithoutResponse,  // Stores and never responds.
    kDuplicateResponse,     // Stores and sends the response twice.
    kNoAcknowledgement,     // Responds 200 without an acknowledgement.
    kConflict,              // Responds 409 with the last stored record and stores nothing.
    kReject,                // Responds 400.
    kTooLarge,              // Responds 413.
    kRetryAfter,            // Responds 503 with Retry-After: 30.
    kForgedHash,            // Acknowledges with a hash that no record has.
    kUnknownSeq,            // Acknowledges a record that was never sent.
    kLoseLastRecord,        // Loses the last stored record and responds 409 with the one before it.
  };

  Receiver();
  ~Receiver();
  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;

  int Port() const { return port_; }
  // Queues replies for the next requests. When the queue is empty, the reply is kAcknowledge.
  void QueueReplies(std::initializer_list<Reply> replies) {
    queued_replies_.insert(queued_replies_.end(), replies.begin(), replies.end());
  }
  std::size_t RemainingReplies() const { return queued_replies_.size(); }
  void Poll();   // Does not block.
  void Stop();   // Stops listening: connections are refused.
  void Start();  // Listens, again on the same port after Stop.

  // The stored lines, in order and without duplicates.
  const std::vector<std::string>& Lines() const { return lines_; }
  // The number of requests and records that were received before under the same key or number with different
  // content. Must stay 0.
  std::size_t ContentConflicts() const { return content_conflicts_; }

 private:
  struct Connection {
    int fd = -1;
    std::string input;
    bool answered = false;
  };
  void Accept();
  void Read(Connection& connection);
  void HandleRequest(Connection& connection);
  void CheckIdempotency(const std::string& key, const std::string& body);
  // Performs a reply. Returns the response, or nullopt if none is sent.
  std::optional<std::string> Respond(Connection& connection, Reply reply, const std::string& body);
  void Store(const std::string& body);
  std::string LastHash() const;
  std::string Acknowledgement() const;

  int fd_ = -1, port_ = 0;
  std::deque<Reply> queued_replies_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<std::string> lines_, hashes_;
  std::map<std::string, std::string> body_by_key_;  // By idempotency key.
  std::size_t content_conflicts_ = 0;
};

}  // namespace stoatrun::standin

#endif  // STOATRUN_TESTS_STANDIN_RECEIVER_H_
