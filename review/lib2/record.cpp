#include "record.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace Review
{
namespace
{
const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
std::FILE *record = stdout;
std::mutex recordMutex;
}

long nowMs()
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - Start).count());
}

void sleepUntil(long atMs)
{
    std::this_thread::sleep_until(Start + std::chrono::milliseconds(atMs));
}

void openRecord(const std::string &file)
{
    record = std::fopen(file.c_str(), "w");
    if (record == nullptr) {
        std::perror("cannot write the record");
        std::_Exit(2);
    }
}

void note(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    std::fprintf(record, "%7ld %s\n", nowMs(), line.c_str());
    std::fflush(record);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}
}
