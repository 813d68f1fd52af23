#include "tests/platform/soak/callers.h"
#include "tests/platform/soak/faults.h"

#include <popt.h>

#include <sys/stat.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr double RequestsPerSecond = 40.0;
constexpr Duration StartTime = std::chrono::seconds(4);
// Bounds of the users' pages (recovery-s, and the retry budget): after its end a fault may be felt for this long, and at
// least this share of the requests must then be served.
constexpr Duration RecoveryTime = std::chrono::seconds(12);
constexpr Duration JudgedTime = std::chrono::seconds(3);
constexpr double LeastServed = 0.25;
constexpr double RetryRatio = 0.2;
constexpr double RetrySlack = 50.0;
constexpr Duration BudgetWindow = std::chrono::seconds(10);

struct Arguments {
    DeploymentOptions deployment;
    Duration length = std::chrono::seconds(30);
    Duration meanPause = std::chrono::milliseconds(700);
};

Arguments parse(int argc, char **argv)
{
    char *program = nullptr;
    char *folder = nullptr;
    int seed = 1;
    int hosts = 4;
    int seconds = 30;
    int pause = 700;
    int timed = 0;
    const poptOption options[] = {{"program", 'p', POPT_ARG_STRING, &program, 0, "the quetzallift program", "FILE"},
                                  {"folder", 'f', POPT_ARG_STRING, &folder, 0, "where settings and logs are written", "DIR"},
                                  {"seed", 's', POPT_ARG_INT, &seed, 0, "draws the faults", "N"},
                                  {"hosts", 'n', POPT_ARG_INT, &hosts, 0, "entry hosts", "N"},
                                  {"seconds", 't', POPT_ARG_INT, &seconds, 0, "how long faults are played", "S"},
                                  {"pause-ms", 'g', POPT_ARG_INT, &pause, 0, "mean pause between faults", "MS"},
                                  {"timed", 'T', POPT_ARG_NONE, &timed, 0, "judge promises with a time bound too", nullptr},
                                  POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext("soak", argc, const_cast<const char **>(argv), options, 0);
    const int problem = poptGetNextOpt(context);
    poptFreeContext(context);
    if (problem < -1 || program == nullptr || folder == nullptr) {
        std::cerr << "soak: --program FILE and --folder DIR are needed; see --help" << std::endl;
        std::exit(2);
    }
    Arguments arguments;
    arguments.deployment = {program, folder, static_cast<std::uint64_t>(seed), static_cast<unsigned>(hosts), timed != 0};
    arguments.length = std::chrono::seconds(seconds);
    arguments.meanPause = std::chrono::milliseconds(pause);
    return arguments;
}

// Judges recovery: after the last fault and the time that the pages allow, requests are served again.
void judgeRecovery(Deployment &deployment, Callers &callers)
{
    const double share = callers.finished() == 0 ? 0.0 : static_cast<double>(callers.served()) / static_cast<double>(callers.finished());
    std::cout << "after the faults: " << callers.served() << " of " << callers.finished() << " served" << std::endl;
    if (share < LeastServed) {
        deployment.ledger().violation("RECOVER", "too few requests are served after the faults");
    }
}

int play(const Arguments &arguments)
{
    EventLoop loop;
    Deployment deployment(loop, arguments.deployment);
    std::unique_ptr<Callers> callers;
    std::unique_ptr<Faults> faults;
    const TimePoint begin = Clock::now() + StartTime;
    const TimePoint end = begin + arguments.length;
    const TimePoint recovered = end + RecoveryTime;
    loop.callAt(begin, [&] {
        callers = std::make_unique<Callers>(deployment, RequestsPerSecond, arguments.deployment.seed);
        faults = std::make_unique<Faults>(deployment, *callers, arguments.meanPause, end);
    });
    loop.callAt(recovered, [&] {
        callers->resetCounts();
    });
    loop.callAt(recovered + JudgedTime, [&] {
        judgeRecovery(deployment, *callers);
        deployment.ledger().judgeBudget(RetryRatio, RetrySlack, BudgetWindow);
        callers->stop();
        loop.stop();
    });
    loop.run();
    const unsigned violations = deployment.ledger().violations();
    std::cout << "soak: seed=" << arguments.deployment.seed << " hosts=" << arguments.deployment.hosts << " faults=" << faults->played()
              << " requests=" << deployment.ledger().requestCount() << " violations=" << violations << std::endl;
    return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
}
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Soak::Arguments arguments = Soak::parse(argc, argv);
    mkdir(arguments.deployment.folder.c_str(), 0755);
    return Soak::play(arguments);
}
