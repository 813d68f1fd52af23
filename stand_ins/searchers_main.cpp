// Runs searchers on loopback as a settings file lists them.

#include "stand_ins/searcher.h"

#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

namespace
{
StandIns::SearcherSettings readSearcher(const nlohmann::json &item)
{
    StandIns::SearcherSettings settings;
    settings.address = item.at("address");
    settings.backEnd = item.at("back_end");
    settings.shards = item.value("shards", std::set<std::uint64_t>());
    settings.slots = item.value("slots", settings.slots);
    settings.serviceTime = std::chrono::microseconds(item.value("service_us", 2000));
    settings.newestSnapshot = item.value("newest_snapshot", settings.newestSnapshot);
    return settings;
}
}

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: stand_in_searchers FILE\n";
        return 2;
    }
    try {
        const nlohmann::json document = nlohmann::json::parse(std::ifstream(argv[1]), nullptr, true, true);
        Quetzallift::EventLoop loop;
        std::vector<std::unique_ptr<StandIns::Searcher>> searchers;
        for (const nlohmann::json &item : document.at("searchers")) {
            searchers.push_back(std::make_unique<StandIns::Searcher>(loop, readSearcher(item)));
        }
        std::cout << "searchers ready\n" << std::flush;
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << "stand_in_searchers: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
