#include "tests/platform/soak/hostprocess.h"

#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr const char *ClientPort = ":8100";
constexpr const char *PeerPort = ":8101";
constexpr const char *DirectoryPort = ":8102";
constexpr const char *ReadinessPort = ":8103";
constexpr const char *MetricsPort = ":8104";
constexpr double FirstRetrySlack = 50.0;
}

HostProcess::HostProcess(std::string program, std::string folder, Place place)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_place(std::move(place))
{
    writeSettings(FirstRetrySlack);
}

HostProcess::~HostProcess()
{
    if (m_running) {
        signal(SIGKILL);
        m_process.wait();
    }
}

const HostProcess::Place &HostProcess::place() const
{
    return m_place;
}

std::string HostProcess::clientAddress() const
{
    return m_place.ip + ClientPort;
}

std::string HostProcess::directoryAddress() const
{
    return m_place.ip + DirectoryPort;
}

void HostProcess::writeSettings(double retrySlack) const
{
    const nlohmann::json settings = {
        {"host",
         {{"name", m_place.name},
          {"address", clientAddress()},
          {"peer_address", m_place.ip + PeerPort},
          {"data_centre", m_place.dataCentre},
          {"region", m_place.dataCentre},
          {"peers", {m_place.firstSeed + PeerPort}},
          {"traffic_threads", 1},
          {"addresses_keep_ms", 5000},
          {"addresses_used_ms", 4000},
          {"stop_limit_ms", 5000}}},
        {"platform", {{"address", m_place.store}}},
        {"routes",
         {{"directory_address", directoryAddress()},
          {"readiness_address", m_place.ip + ReadinessPort},
          {"metrics_address", m_place.ip + MetricsPort},
          {"retry_ratio", 0.2},
          {"retry_slack", retrySlack},
          {"retry_window_ms", 10000}}},
    };
    std::ofstream(m_folder + "/" + m_place.name + ".json") << settings.dump(1);
}

void HostProcess::start()
{
    ACE_Process_Options options;
    const std::string base = m_folder + "/" + m_place.name;
    options.command_line("%s serve --settings %s.json", m_program.c_str(), base.c_str());
    const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    options.set_handles(ACE_INVALID_HANDLE, log, log);
    const bool spawned = m_process.spawn(options) != ACE_INVALID_PID;
    options.release_handles();
    close(log);
    if (!spawned) {
        throw Error(Step::Settings, m_place.name, "the program cannot be started: " + m_program);
    }
    m_running = true;
    ++m_incarnation;
}

bool HostProcess::running() const
{
    return m_running;
}

pid_t HostProcess::pid() const
{
    return m_process.getpid();
}

unsigned HostProcess::incarnation() const
{
    return m_incarnation;
}

void HostProcess::signal(int number)
{
    if (m_running) {
        m_process.kill(number);
    }
}

std::optional<int> HostProcess::takeExit()
{
    ACE_exitcode status = 0;
    if (!m_running || m_process.wait(&status, WNOHANG) <= 0) {
        return std::nullopt;
    }
    m_running = false;
    return status;
}
}
