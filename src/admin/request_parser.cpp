#include "admin/request_parser.h"

namespace stoatrun {

AdminRequestParser::AdminRequestParser() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

const http_parser_settings& AdminRequestParser::Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = OnTarget;
    settings.on_header_field = OnHeaderPart;
    settings.on_header_value = OnHeaderPart;
    settings.on_headers_complete = OnHeadComplete;
    settings.on_body = OnBody;
    settings.on_message_complete = OnMessageComplete;
    return settings;
  }();
  return kCallbacks;
}

AdminRequestParser::Status AdminRequestParser::Parse(std::string_view input) {
  const std::size_t parsed = http_parser_execute(&parser_, &Callbacks(), input.data(), input.size());
  if (message_complete_) return Status::kComplete;
  switch (HTTP_PARSER_ERRNO(&parser_)) {
    case HPE_CB_url:
    case HPE_CB_header_field:
    case HPE_CB_header_value:
      return Status::kHeadTooLarge;
    case HPE_CB_body:
      return Status::kBodyTooLarge;
    case HPE_OK:
      return parsed == input.size() ? Status::kIncomplete : Status::kMalformed;
    default:
      return Status::kMalformed;
  }
}

std::string_view AdminRequestParser::ErrorDescription() const {
  return http_errno_description(HTTP_PARSER_ERRNO(&parser_));
}

int AdminRequestParser::OnTarget(http_parser* parser, const char* at, std::size_t size) {
  AdminRequestParser& self = Self(parser);
  self.head_size_ += size;
  if (self.target_.size() + size > kMaxTargetSize || self.head_size_ > kMaxHeadSize) return 1;
  self.target_.append(at, size);
  return 0;
}

int AdminRequestParser::OnHeaderPart(http_parser* parser, const char* /*at*/, std::size_t size) {
  AdminRequestParser& self = Self(parser);
  self.head_size_ += size;
  return self.head_size_ > kMaxHeadSize ? 1 : 0;
}

int AdminRequestParser::OnHeadComplete(http_parser* parser) {
  AdminRequestParser& self = Self(parser);
  self.head_complete_ = true;
  self.method_ = http_method_str(static_cast<http_method>(parser->method));
  return 0;
}

int AdminRequestParser::OnBody(http_parser* parser, const char* /*at*/, std::size_t size) {
  AdminRequestParser& self = Self(parser);
  self.body_size_ += size;
  return self.body_size_ > kMaxBodySize ? 1 : 0;
}

int AdminRequestParser::OnMessageComplete(http_parser* parser) {
  Self(parser).message_complete_ = true;
  http_parser_pause(parser, 1);  // One request per connection: further input is not parsed.
  return 0;
}

}  // namespace stoatrun
