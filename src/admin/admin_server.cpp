#include "admin/admin_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

#include "base/log.h"

namespace stoatrun {
namespace {

// After the answer: time for the caller to read it and close; then it is closed on.
constexpr Micros kEndWait = std::chrono::milliseconds(1000);
constexpr int kAcceptsATurn = 16;
constexpr std::size_t kMostTarget = 2048;

std::string_view Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return status < 300 ? "OK" : status < 500 ? "Bad Request" : "Service Unavailable";
  }
}

}  // namespace

Management::Caller::Caller(SlotId slot, Management& all)
    : id(slot),
      all(all),
      stream(all.loop_, all, slot),
      deadline(all.loop_.timers, [&all, slot] { all.Due(slot); }) {
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = this;
}

Management::Management(EventLoop& loop, ManagementEvents& events) : loop_(loop), events_(events) {
  ev_init(&accept_, OnAccept);
  accept_.data = this;
  http_parser_settings_init(&settings_);
  settings_.on_url = OnUrl;
  settings_.on_header_field = OnHeaderPart;
  settings_.on_header_value = OnHeaderPart;
  settings_.on_headers_complete = OnHeadersComplete;
  settings_.on_body = OnBody;
  settings_.on_message_complete = OnMessageComplete;
  loop_.AddTurnEndHook([this] { callers_.Reclaim(); });
}

Management::~Management() { Stop(); }

void Management::Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "management: socket");
  const auto give_up = [fd](const char* what) {
    const int error = errno;
    close(fd);
    throw std::system_error(error, std::generic_category(), what);
  };
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0) {
    give_up("management: bind");
  }
  if (listen(fd, 64) != 0) give_up("management: listen");
  fd_ = fd;
  ev_io_set(&accept_, fd_, EV_READ);
  ev_io_start(loop_.native_handle(), &accept_);
}

void Management::Stop() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.native_handle(), &accept_);
  close(fd_);
  fd_ = -1;
}

int Management::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  return getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) == 0 ? ntohs(bound.sin_port) : 0;
}

void Management::OnAccept(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  static_cast<Management*>(w->data)->Accept();
}

void Management::Accept() {
  for (int k = 0; k < kAcceptsATurn; ++k) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN) LogLine(Level::kWarn, "management: accept failed").Field("errno", errno);
      return;
    }
    // Who holds a place without asking gives it up to one who may ask.
    while (callers_.Size() >= kMostCallers && !unanswered_.empty()) {
      ++counts_.crowded_out;
      if (Caller* oldest = callers_.Find(unanswered_.front())) Drop(*oldest);
    }
    if (callers_.Size() >= kMostCallers) {  // All places are with callers that read their answers.
      ++counts_.crowded_out;
      close(fd);
      continue;
    }
    Caller& c = callers_.Add(*this);
    c.place = unanswered_.insert(unanswered_.end(), c.id);
    c.deadline.Set(loop_.Now() + kHeadWait);
    c.stream.Adopt(fd);
  }
}

void Management::OnData(SlotId id) {
  Caller* c = callers_.Find(id);
  if (c == nullptr) return;
  const std::string_view in = c->stream.input();
  if (c->answered) {  // One call a connection: what follows it is not read.
    c->stream.Consume(in.size());
    return;
  }
  const std::size_t used = http_parser_execute(&c->parser, &settings_, in.data(), in.size());
  if (callers_.Find(id) == nullptr) return;
  c->stream.Consume(in.size());
  if (c->answered) return;
  const auto error = HTTP_PARSER_ERRNO(&c->parser);
  if (error == HPE_CB_header_field || error == HPE_CB_header_value || error == HPE_CB_url) {
    ++counts_.malformed;
    return Answer(*c, 400, "request head too large");
  }
  if (error == HPE_CB_body) {
    ++counts_.malformed;
    return Answer(*c, 413, "request body too large");
  }
  if (error != HPE_OK || used != in.size()) {
    ++counts_.malformed;
    return Answer(*c, 400, http_errno_description(error));
  }
}

int Management::OnUrl(http_parser* p, const char* at, std::size_t size) {
  Caller& c = Of(p);
  c.head += size;
  if (c.target.size() + size > kMostTarget || c.head > kMostHead) return 1;
  c.target.append(at, size);
  return 0;
}

int Management::OnHeaderPart(http_parser* p, const char* /*at*/, std::size_t size) {
  Caller& c = Of(p);
  c.head += size;
  return c.head > kMostHead ? 1 : 0;
}

int Management::OnHeadersComplete(http_parser* p) {
  Caller& c = Of(p);
  c.head_done = true;
  c.method = http_method_str(static_cast<http_method>(p->method));
  return 0;
}

int Management::OnBody(http_parser* p, const char* /*at*/, std::size_t size) {
  Caller& c = Of(p);
  c.body += size;
  return c.body > kMostBody ? 1 : 0;
}

// Answered at once; the parser is told to stop, for the one call of this connection is whole.
int Management::OnMessageComplete(http_parser* p) {
  Caller& c = Of(p);
  Management& all = c.all;
  ++all.counts_.calls;
  const Route route = RouteOf(c.method, c.target, all.events_.HasFleet());
  if (!route.call) {
    ++all.counts_.refused;
    all.Answer(c, route.status, route.status == 404 ? "no such call" : "method not allowed", route.allow);
  } else {
    const ManagementAnswer answer = all.events_.OnCall(*route.call);
    all.Answer(c, answer.status, answer.body);
  }
  http_parser_pause(p, 1);
  return 0;
}

void Management::Answer(Caller& c, int status, std::string_view body, std::string_view allow) {
  if (c.answered) return;
  c.answered = true;
  if (status < 300) ++counts_.answered;
  unanswered_.erase(c.place);
  const bool ends_line = !body.empty() && body.back() == '\n';
  const std::size_t length = body.size() + (ends_line ? 0 : 1);
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(Reason(status)) +
      "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: " + std::to_string(length) +
      "\r\nCache-Control: no-store\r\nConnection: close\r\n";
  if (!allow.empty()) head += "Allow: " + std::string(allow) + "\r\n";
  head += "\r\n";
  c.stream.Write({head, body, ends_line ? std::string_view() : std::string_view("\n")});
  c.stream.Finish();
  c.deadline.Set(loop_.Now() + kEndWait);
}

void Management::Drop(Caller& c) {
  if (!c.answered) unanswered_.erase(c.place);
  c.deadline.Cancel();
  c.stream.Close();
  callers_.Erase(c.id);
}

void Management::Due(SlotId id) {
  Caller* c = callers_.Find(id);
  if (c == nullptr) return;
  if (!c->answered) ++counts_.unfinished;
  Drop(*c);
}

void Management::OnEnd(SlotId id, ConnectionEnd end) {
  Caller* c = callers_.Find(id);
  if (c == nullptr) return;
  // A caller that ended its sending with a whole request still waits for the answer.
  if (!c->answered && end == ConnectionEnd::kFinished && !c->head_done) {
    ++counts_.malformed;
    Answer(*c, 400, "request ended before its head");
    return;
  }
  if (c->answered && end == ConnectionEnd::kFinished && c->stream.QueuedBytes() > 0) return;
  Drop(*c);
}

void Management::OnWritable(SlotId id) {
  Caller* c = callers_.Find(id);
  if (c != nullptr && c->answered && c->stream.PeerFinished()) Drop(*c);
}

}  // namespace stoatrun
