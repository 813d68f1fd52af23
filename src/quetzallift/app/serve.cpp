#include "quetzallift/app/commands.h"
#include "quetzallift/app/entryhost.h"
#include "quetzallift/app/hostparts.h"
#include "quetzallift/app/log.h"
#include "quetzallift/app/options.h"
#include "quetzallift/model/error.h"

#include <csignal>
#include <memory>
#include <pthread.h>
#include <thread>

namespace Quetzallift
{
namespace
{
sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

// Turns stop signals into stop requests. SIGUSR1 ends the thread once the host has stopped.
void waitForSignals(EntryHost &host)
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGUSR1);
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != SIGUSR1) {
        host.requestStop();
    }
}

// Blocks the signals in every thread, so that only the waiting thread receives them.
void blockSignals()
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}
}

int serveCommand(int argc, const char **argv)
{
    char *file = nullptr;
    const poptOption table[] = {
        {"settings", 's', POPT_ARG_STRING, &file, 0, "Settings file of this entry host; default: $QUETZALLIFT_CONFIG", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "--settings FILE");
    const std::unique_ptr<char, decltype(&std::free)> owned(file, &std::free);
    const char *inEnvironment = std::getenv("QUETZALLIFT_CONFIG");
    const char *settingsFile = file != nullptr ? file : inEnvironment;
    if (settingsFile == nullptr) {
        throw Error(Step::Settings, "serve", "--settings FILE and the variable QUETZALLIFT_CONFIG are missing");
    }
    blockSignals();
    Settings settings = readSettings(settingsFile);
    const HostParts parts = hostPartsFor(settings);
    EntryHost host(std::move(settings), parts);
    std::thread signals([&host] {
        waitForSignals(host);
    });
    const int code = host.run();
    pthread_kill(signals.native_handle(), SIGUSR1);
    signals.join();
    return code;
}
}
