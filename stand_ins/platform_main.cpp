// Runs the platform on loopback.

#include "stand_ins/platform.h"

#include <iostream>

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: stand_in_platform IP:PORT\n";
        return 2;
    }
    try {
        Quetzallift::EventLoop loop;
        const StandIns::Platform platform(loop, argv[1]);
        std::cout << "platform ready\n" << std::flush;
        loop.run();
    } catch (const std::exception &error) {
        std::cerr << "stand_in_platform: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
