#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Review
{
struct HostPlace {
    std::string name;
    std::string ip;
    std::string zone;
    std::string region;

    std::string front() const;
    std::string control() const;
    std::string directory() const;
    std::string ready() const;
};

// One process of the program of the deploy file, with the settings of its template.
class Host
{
public:
    // Works in the repository's root. The folder takes the settings and the log.
    Host(HostPlace place, std::string folder, std::string storeAddress, std::vector<std::string> seeds);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    void start(bool firstStart);
    void signal(int number) const;
    // Waits for the end of the process, and returns its status as waitpid() does.
    int wait();
    // True if the process has ended by itself.
    bool hasEnded();
    bool isReady() const;
    const HostPlace &place() const;

private:
    void writeSettings(bool firstStart) const;

    HostPlace m_place;
    std::string m_folder;
    std::string m_store;
    std::vector<std::string> m_seeds;
    pid_t m_process = -1;
};

// An address prefix of the loopback network, such as "127.1.2.", that other runs are unlikely to use.
std::string networkPrefix();

// Creates a temporary folder. Removed by removeFolder().
std::string makeFolder();
void removeFolder(const std::string &folder);

// Waits until all hosts are ready; ends the program with 2 if they are not within the time.
void awaitReady(const std::vector<Host *> &hosts, int timeoutMs = 15000);
}
