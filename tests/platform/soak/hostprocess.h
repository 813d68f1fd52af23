#pragma once

#include "quetzallift/model/time.h"

#include <ace/Process.h>

#include <optional>
#include <string>

namespace Soak
{
// An entry host as a separate process: the real program, its settings file, its log and its signals.
class HostProcess
{
public:
    struct Place {
        std::string name;
        // The addresses at which it listens share this IP number.
        std::string ip;
        std::string dataCentre;
        std::string store;
        std::string firstSeed;
    };

    HostProcess(std::string program, std::string folder, Place place);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    const Place &place() const;
    std::string clientAddress() const;
    std::string directoryAddress() const;

    void start();
    bool running() const;
    pid_t pid() const;
    // Counts the starts.
    unsigned incarnation() const;

    // Sends a signal, if the process runs.
    void signal(int number);

    // Writes the settings again with another retry slack, as the platform may.
    void writeSettings(double retrySlack) const;

    // The status of the process if it has ended since the last call.
    std::optional<int> takeExit();

private:
    std::string m_program;
    std::string m_folder;
    Place m_place;
    ACE_Process m_process;
    bool m_running = false;
    unsigned m_incarnation = 0;
};
}
