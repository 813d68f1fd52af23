// Runs searchers on loopback as a settings file lists them.

#include "stand_ins/searcherset.h"

#include <fstream>
#include <iostream>

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: stand_in_searchers FILE\n";
        return 2;
    }
    try {
        const nlohmann::json settings = nlohmann::json::parse(std::ifstream(argv[1]), nullptr, true, true);
        Quetzallift::EventLoop loop;
        const StandIns::SearcherSet searchers(loop, settings);
        std::cout << "searchers ready\n" << std::flush;
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << "stand_in_searchers: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
