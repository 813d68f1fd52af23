#include "quetzallift/app/commands.h"
#include "quetzallift/app/entryhost.h"
#include "quetzallift/app/hostparts.h"
#include "quetzallift/app/log.h"
#include "quetzallift/app/options.h"
#include "quetzallift/app/settingsfile.h"
#include "quetzallift/model/error.h"

#include <cerrno>
#include <csignal>
#include <ctime>
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

// All signals that the process takes: SIGHUP reads the settings again, and SIGUSR1 ends the waiting thread.
sigset_t awaitedSignals()
{
    sigset_t signals = stopSignals();
    sigaddset(&signals, SIGHUP);
    sigaddset(&signals, SIGUSR1);
    return signals;
}

// Turns signals into requests to the host, and looks at the settings file now and then, since it may change without one.
// SIGUSR1 ends the thread once the host has stopped.
void waitForSignals(EntryHost &host, SettingsFile &file)
{
    constexpr timespec FilePeriod{2, 0};
    const sigset_t signals = awaitedSignals();
    while (true) {
        const int signal = sigtimedwait(&signals, nullptr, &FilePeriod);
        if (signal == SIGUSR1) {
            return;
        }
        if (signal == SIGTERM || signal == SIGINT) {
            host.requestStop();
        } else if (signal == SIGHUP || (signal < 0 && errno == EAGAIN)) {
            if (const auto settings = file.readChanged()) {
                host.reload(*settings);
            }
        }
    }
}

// The thread that waits for signals. It ends with this object, also when the host ends by an exception, which main() then
// reports.
class SignalThread
{
public:
    SignalThread(EntryHost &host, SettingsFile &file)
        : m_thread([&host, &file] {
            waitForSignals(host, file);
        })
    { }

    ~SignalThread()
    {
        pthread_kill(m_thread.native_handle(), SIGUSR1);
        m_thread.join();
    }

    SignalThread(const SignalThread &) = delete;
    SignalThread &operator=(const SignalThread &) = delete;

private:
    std::thread m_thread;
};

// Blocks the signals in every thread, so that only the waiting thread receives them.
void blockSignals()
{
    const sigset_t signals = awaitedSignals();
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
    SettingsFile settingsReader(settingsFile);
    Settings settings = settingsReader.read();
    const HostParts parts = hostPartsFor(settings);
    EntryHost host(std::move(settings), parts);
    const SignalThread signals(host, settingsReader);
    return host.run();
}
}
