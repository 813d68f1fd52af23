#include "benchmarks/queuemodel.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>

using namespace QueueModel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

ModelSettings settingsOf(const std::string &policy, std::uint64_t seed)
{
    ModelSettings settings;
    settings.seed = seed;
    if (policy == "naive") {
        settings.hooks.chooseReplica = Quetzallift::randomReplica;
        settings.hooks.searcherWindow = Quetzallift::unlimitedWindow;
        settings.hooks.queryLimit = Quetzallift::unlimitedQueries;
        settings.hooks.meetsDeadline = Quetzallift::ignoreDeadline;
    } else if (policy == "random") {
        settings.hooks.chooseReplica = Quetzallift::randomReplica;
    } else if (policy == "two") {
        settings.hooks.chooseReplica = Quetzallift::powerOfTwoChoices;
    } else if (policy == "nowindow") {
        settings.hooks.searcherWindow = Quetzallift::unlimitedWindow;
    } else if (policy == "nolimit") {
        settings.hooks.queryLimit = Quetzallift::unlimitedQueries;
    }
    return settings;
}

// Goodput and latency against offered load.
void measureLoad(const std::string &policy, std::uint64_t seed)
{
    for (const double load : {0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0}) {
        Model model(settingsOf(policy, seed));
        model.offer("guides", load * model.capacity(), seconds(0), seconds(15));
        model.run(seconds(16));
        std::cout << policy << " load " << load << " of " << model.capacity() << "/s: goodput " << model.goodput(seconds(5), seconds(15)) << "/s p50 "
                  << toMilliseconds(model.quantile(0.5, seconds(5), seconds(15))) << " ms p99 " << toMilliseconds(model.quantile(0.99, seconds(5), seconds(15)))
                  << " ms shed " << model.shedCount() << " of " << model.received() << '\n';
    }
}

// Goodput in each second after an overload of 30 s.
void measureRecovery(const std::string &policy, std::uint64_t seed)
{
    Model model(settingsOf(policy, seed));
    const double rate = 0.6 * model.capacity();
    model.offer("guides", rate, seconds(0), seconds(60));
    model.offer("guides", 2.0 * model.capacity() - rate, seconds(10), seconds(40));
    model.run(seconds(61));
    std::cout << policy << " before the overload " << model.goodput(seconds(5), seconds(10)) << "/s; during it " << model.goodput(seconds(10), seconds(40))
              << "/s; each second after it";
    for (int second = 40; second < 50; ++second) {
        std::cout << ' ' << model.goodput(seconds(second), seconds(second + 1));
    }
    std::cout << '\n';
}

// A caller within its share beside one that sends ten times its share.
void measureFairness(const std::string &policy, std::uint64_t seed)
{
    for (const double noisy : {0.3, 5.0}) {
        Model model(settingsOf(policy, seed));
        model.offer("guides", 0.3 * model.capacity(), seconds(0), seconds(30));
        model.offer("partners", noisy * model.capacity(), seconds(0), seconds(30));
        model.run(seconds(31));
        std::cout << policy << " partners at " << noisy << " of the capacity: guides " << model.goodput(seconds(5), seconds(30), "guides") << "/s of "
                  << 0.3 * model.capacity() << "/s p99 " << toMilliseconds(model.quantile(0.99, seconds(5), seconds(30), "guides")) << " ms; partners "
                  << model.goodput(seconds(5), seconds(30), "partners") << "/s\n";
    }
}

// One searcher ten times slower, and a data centre that is cut off at 10 s.
void measureChoice(const std::string &policy, std::uint64_t seed)
{
    ModelSettings settings = settingsOf(policy, seed);
    settings.dataCentres = {"kingston-a", "montego-a", "ocho-a"};
    settings.hosts = 3;
    Model model(settings);
    model.slowDown(0, 10.0);
    model.offer("guides", 0.4 * model.capacity(), seconds(0), seconds(20));
    model.at(seconds(10), [&model] {
        model.cutOff("ocho-a", true);
    });
    model.run(seconds(21));
    std::cout << policy << " one slow searcher: p50 " << toMilliseconds(model.quantile(0.5, seconds(5), seconds(10))) << " ms p99 "
              << toMilliseconds(model.quantile(0.99, seconds(5), seconds(10))) << " ms goodput " << model.goodput(seconds(5), seconds(10)) << "/s of "
              << 0.4 * model.capacity() << "/s; cut off data centre: goodput by 0.5 s";
    for (int half = 20; half < 26; ++half) {
        std::cout << ' ' << model.goodput(milliseconds(500 * half), milliseconds(500 * (half + 1)));
    }
    std::cout << "; far share " << model.farShare() << '\n';
}
}

int main(int argc, char **argv)
{
    const std::string policy = argc > 1 ? argv[1] : "default";
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    std::cout << std::fixed << std::setprecision(2);
    measureLoad(policy, seed);
    measureRecovery(policy, seed);
    measureFairness(policy, seed);
    measureChoice(policy, seed);
    return 0;
}
