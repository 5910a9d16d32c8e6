// stoatrun: environment, signals, wiring and exit codes. 0: ended in order; 1: failed; 2: bad configuration.
#include <ev.h>
#include <sys/resource.h>

#include <csignal>
#include <exception>
#include <iostream>

#include "net/config.h"
#include "net/deadlines.h"
#include "net/log.h"
#include "net/relay.h"

namespace {

struct Signals {
  stoatrun::Relay& relay;
  ev_signal term{}, interrupt{}, usr1{}, hangup{};

  Signals(stoatrun::Loop& loop, stoatrun::Relay& r) : relay(r) {
    const auto watch = [&](ev_signal& w, int number, void (*callback)(struct ev_loop*, ev_signal*, int)) {
      ev_signal_init(&w, callback, number);
      w.data = this;
      ev_signal_start(loop.Raw(), &w);
    };
    watch(term, SIGTERM, OnEnd);
    watch(interrupt, SIGINT, OnEnd);
    watch(usr1, SIGUSR1, OnPrint);
    watch(hangup, SIGHUP, OnReload);
    // A peer that is gone is told by the write's result, not by the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
  }

  static void OnEnd(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) {
    static_cast<Signals*>(w->data)->relay.Drain();
  }
  static void OnReload(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) {
    stoatrun::Relay& relay = static_cast<Signals*>(w->data)->relay;
    try {
      relay.Reload(stoatrun::LoadConfig(stoatrun::LoadAt::kReload));
    } catch (const std::exception& e) {  // None may pass through the loop's C frames.
      relay.ReloadFailed(e.what());
    }
  }
  static void OnPrint(struct ev_loop* /*loop*/, ev_signal* w, int /*events*/) {
    stoatrun::LogLine(stoatrun::Level::kInfo) << static_cast<Signals*>(w->data)->relay.Counts();
  }
};

}  // namespace

int main() {
  using stoatrun::Level;
  using stoatrun::LogLine;
  try {
    // Its default action would end the relay that is asked to read its file again.
    std::signal(SIGHUP, SIG_IGN);
    // Each client takes two descriptors; the shell's soft limit is often far under what is allowed.
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < files.rlim_max) {
      files.rlim_cur = files.rlim_max;
      setrlimit(RLIMIT_NOFILE, &files);
    }
    const stoatrun::Config config = stoatrun::LoadConfig(stoatrun::LoadAt::kStart);
    stoatrun::SetLogLevel(config.log_level);
    stoatrun::Loop loop;
    stoatrun::Relay relay(loop, config);
    const Signals signals(loop, relay);
    relay.Start();
    LogLine(Level::kInfo) << "ready name=" << config.name << " port=" << relay.Port();
    loop.Run();
    LogLine(Level::kInfo) << relay.Counts();
    return 0;
  } catch (const stoatrun::ConfigError& e) {
    std::cerr << "stoatrun: bad configuration: " << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    std::cerr << "stoatrun: " << e.what() << '\n';
    return 1;
  }
}
