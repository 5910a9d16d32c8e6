// Delivers POSIX signals as callbacks on the event loop.
#ifndef STOATRUN_CLI_SIGNAL_HANDLER_H_
#define STOATRUN_CLI_SIGNAL_HANDLER_H_

#include <ev.h>

#include <functional>
#include <utility>

#include "base/event_loop.h"

namespace stoatrun::cli {

// Calls back from the event loop when a signal is delivered. The handler stays installed for the lifetime of
// the process: removing it on destruction would restore the signal's default action, and a second SIGTERM
// would then kill the process during its graceful shutdown.
class SignalHandler {
 public:
  // `callback` must not throw, because it is called through C code. The loop must not run after this object
  // is destroyed.
  SignalHandler(EventLoop& loop, int signal_number, std::function<void()> callback)
      : callback_(std::move(callback)) {
    ev_signal_init(&watcher_, OnSignal, signal_number);
    watcher_.data = this;
    ev_signal_start(loop.native_handle(), &watcher_);
  }
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

 private:
  static void OnSignal(struct ev_loop* /*loop*/, ev_signal* watcher, int /*events*/) {
    static_cast<SignalHandler*>(watcher->data)->callback_();
  }

  std::function<void()> callback_;
  ev_signal watcher_{};
};

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_SIGNAL_HANDLER_H_
