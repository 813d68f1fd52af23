#include "host.h"

#include "http.h"
#include "record.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

namespace Review
{
namespace
{
constexpr const char *Program = "target/src/quetzallift/quetzallift";
constexpr const char *Template = "deploy/settings.json";

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

std::string joined(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items) {
        text += (text.empty() ? "\"" : ", \"") + item + "\"";
    }
    return text;
}
}

std::string HostPlace::front() const
{
    return ip + ":8104";
}

std::string HostPlace::control() const
{
    return ip + ":8106";
}

std::string HostPlace::directory() const
{
    return ip + ":8100";
}

std::string HostPlace::ready() const
{
    return ip + ":8108";
}

Host::Host(HostPlace place, std::string folder, std::string storeAddress, std::vector<std::string> seeds)
    : m_place(std::move(place))
    , m_folder(std::move(folder))
    , m_store(std::move(storeAddress))
    , m_seeds(std::move(seeds))
{ }

Host::~Host()
{
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

// Fills in the template as the platform does, with the figures of the smaller deployments.
void Host::writeSettings(bool firstStart) const
{
    std::ifstream source(Template);
    std::stringstream content;
    content << source.rdbuf();
    std::string text = content.str();
    replaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", joined(m_seeds));
    const std::map<std::string, std::string> values = {
        {"node-name", m_place.name},
        {"listen.front", m_place.front()},
        {"listen.control", m_place.control()},
        {"listen.directory", m_place.directory()},
        {"listen.ready", m_place.ready()},
        {"zone", m_place.zone},
        {"region", m_place.region},
        {"zones|json", R"({"kingston-a": "kingston", "montego-a": "montego", "ocho-a": "ocho-rios"})"},
        {"limits.cpu-share", "0.25"},
        {"limits.cores", "1"},
        {"limits.memory-mb", "260"},
        {"limits.file-descriptors", "4100"},
        {"bootstrap", firstStart ? "true" : "false"},
        {"bounds.ttl_max_s", "5"},
        {"bounds.retry-budget-ratio", "0.2"},
        {"bounds.retry-budget-slack", "54"},
        {"bounds.budget-window-s", "10"},
        {"platform.address", m_store},
        {"platform.reads-per-s", "2000"},
        {"platform.writes-per-s", "400"},
        {"ip", m_place.ip},
    };
    for (const auto &[name, value] : values) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        std::fprintf(stderr, "the template of the settings is missing or has an unknown field\n");
        std::_Exit(2);
    }
    std::ofstream(m_folder + "/" + m_place.name + ".json") << text;
}

void Host::start(bool firstStart)
{
    writeSettings(firstStart);
    const std::string settings = "QUETZALLIFT_CONFIG=" + m_folder + "/" + m_place.name + ".json";
    const std::string log = m_folder + "/" + m_place.name + ".log";
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        char *const arguments[] = {const_cast<char *>(Program), const_cast<char *>("serve"), nullptr};
        char *const environment[] = {const_cast<char *>(settings.c_str()), nullptr};
        execve(Program, arguments, environment);
        _exit(127);
    }
    note("host " + m_place.name + ": started");
}

void Host::signal(int number) const
{
    kill(m_process, number);
}

int Host::wait()
{
    int status = 0;
    waitpid(m_process, &status, 0);
    m_process = -1;
    return status;
}

bool Host::hasEnded()
{
    int status = 0;
    if (m_process > 0 && waitpid(m_process, &status, WNOHANG) == m_process) {
        m_process = -1;
    }
    return m_process < 0;
}

bool Host::isReady() const
{
    const auto answer = call(m_place.ready(), "GET /quetzallift/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 1000);
    return answer && answer->status() == 200;
}

const HostPlace &Host::place() const
{
    return m_place;
}

std::string networkPrefix()
{
    constexpr int Numbers = 250;
    const int process = getpid();
    return "127." + std::to_string(2 + process % Numbers) + "." + std::to_string(1 + process / Numbers % Numbers) + ".";
}

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        std::perror("cannot make a temporary folder");
        std::_Exit(2);
    }
    return pattern;
}

void removeFolder(const std::string &folder)
{
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::fprintf(stderr, "logs: %s\n", folder.c_str());
    }
}

void awaitReady(const std::vector<Host *> &hosts, int timeoutMs)
{
    const long until = nowMs() + timeoutMs;
    for (Host *host : hosts) {
        while (!host->isReady()) {
            if (nowMs() > until || host->hasEnded()) {
                note("host " + host->place().name + ": not ready in time");
                std::exit(2);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        note("host " + host->place().name + ": ready");
    }
}
}
