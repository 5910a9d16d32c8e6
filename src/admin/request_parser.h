// An incremental parser for one HTTP/1.1 request of limited size.
//
// Stores the method and the request target only; header fields and the body count towards the size limits and
// are discarded. Input after the first request is not parsed. Not thread-safe; one parser serves one
// connection.
#ifndef STOATRUN_ADMIN_REQUEST_PARSER_H_
#define STOATRUN_ADMIN_REQUEST_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace stoatrun {

// Parses the request of one admin connection.
class AdminRequestParser {
 public:
  // The state of the request after the input so far.
  enum class Status { kIncomplete, kComplete, kHeadTooLarge, kBodyTooLarge, kMalformed };

  static constexpr std::size_t kMaxTargetSize = 2048;                  // Bytes.
  static constexpr std::size_t kMaxHeadSize = std::size_t{8} * 1024;   // Bytes of target, names and values.
  static constexpr std::size_t kMaxBodySize = std::size_t{16} * 1024;  // Bytes.

  AdminRequestParser();
  AdminRequestParser(const AdminRequestParser&) = delete;
  AdminRequestParser& operator=(const AdminRequestParser&) = delete;

  // Parses further input. Must not be called again after it has returned anything but kIncomplete.
  Status Parse(std::string_view input);

  // Whether the request line and all header fields have been parsed.
  bool IsHeadComplete() const { return head_complete_; }
  // The method; valid once the request is complete.
  const std::string& Method() const { return method_; }
  // The request target with its query; valid once the request is complete.
  const std::string& Target() const { return target_; }
  // Describes the error, for the response body; valid after kMalformed.
  std::string_view ErrorDescription() const;

 private:
  static const http_parser_settings& Callbacks();
  static AdminRequestParser& Self(http_parser* parser) {
    return *static_cast<AdminRequestParser*>(parser->data);
  }
  static int OnTarget(http_parser* parser, const char* at, std::size_t size);
  static int OnHeaderPart(http_parser* parser, const char* at, std::size_t size);
  static int OnHeadComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  http_parser parser_{};
  std::string method_, target_;
  std::size_t head_size_ = 0, body_size_ = 0;
  bool head_complete_ = false, message_complete_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_REQUEST_PARSER_H_
