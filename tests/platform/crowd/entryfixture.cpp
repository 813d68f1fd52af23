#include "tests/platform/crowd/entryfixture.h"

#include "quetzallift/edge/socketaddress.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace Crowd
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
// How long a client goes on trying, so that a test of a host that does not answer ends.
constexpr std::chrono::seconds TryTimeout{20};
constexpr std::chrono::milliseconds TryPause{50};
constexpr timeval AnswerTimeout{5, 0};
constexpr unsigned ServiceConnections = 1000;
// The descriptors that clients must leave to connections to searchers, peers and the store: all divided by this.
constexpr std::size_t DescriptorReserveDivisor = 4;

json routeTo(const char *name, const json &target)
{
    json route = {{"name", name},
                  {"hostname", "h"},
                  {"path-prefix", std::string("/") + name + "/"},
                  {"route-type", "idempotent"},
                  {"timeout-ms", 30000},
                  {"target-latency-ms", 30000},
                  {"max-attempts", 1}};
    route.update(target);
    return route;
}

json service(const std::string &name)
{
    return {{"name", name}, {"health-check-path", "/health"}, {"connection-limit", ServiceConnections}};
}

std::string shardName(unsigned shard)
{
    return "shard" + std::to_string(shard);
}

json configuration(const json &limits)
{
    json shards = json::array();
    json services = {service("web"), service("large"), service("stuck")};
    for (unsigned shard = 0; shard < Shards; ++shard) {
        shards.push_back(shardName(shard));
        services.push_back(service(shardName(shard)));
    }
    json allLimits = {{"header-bytes", HeadLimit}, {"body-bytes", BodyLimit}, {"header-timeout-ms", 30000}, {"idle-timeout-ms", 60000}};
    allLimits.update(limits);
    return {{"version", 1},
            {"routes",
             {routeTo("lookup", {{"service", "web"}}),
              routeTo("large", {{"service", "large"}}),
              routeTo("stuck", {{"service", "stuck"}}),
              routeTo("parts", {{"fan-out", shards}, {"top-k", 10}, {"min-shard-ratio", 0.5}})}},
            {"services", services},
            {"limits", allLimits}};
}

// Lowers the limit on descriptors for the processes that are started meanwhile.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(std::size_t descriptors)
    {
        getrlimit(RLIMIT_NOFILE, &m_own);
        const rlimit lowered{descriptors, m_own.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~DescriptorLimit()
    {
        setrlimit(RLIMIT_NOFILE, &m_own);
    }

    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_own{};
};

int openConnection(const std::string &address)
{
    const sockaddr_in peer = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &AnswerTimeout, sizeof(AnswerTimeout));
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &AnswerTimeout, sizeof(AnswerTimeout));
    if (connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        close(handle);
        return -1;
    }
    return handle;
}

// Reads up to the end of the stream, or until nothing comes for the time limit. Requests ask for the connection to be closed.
std::string readAnswer(int handle)
{
    std::string answer;
    char buffer[4096];
    ssize_t size = 0;
    while ((size = recv(handle, buffer, sizeof(buffer), 0)) > 0) {
        answer.append(buffer, static_cast<std::size_t>(size));
    }
    return answer;
}

bool sendAll(int handle, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void answerLookup(const HttpExchangePtr &exchange)
{
    exchange->addHeader("Request-Id", exchange->header("Request-Id"));
    exchange->addHeader("Server-Stamp", "stamp");
    exchange->respond(200, "body of " + std::to_string(exchange->body().size()) + " bytes\n", "text/plain");
}

void answerLarge(const HttpExchangePtr &exchange)
{
    exchange->addHeader("Request-Id", exchange->header("Request-Id"));
    exchange->addHeader("Server-Stamp", "stamp");
    exchange->respond(200, std::string(EntryFixture::LargeAnswer, 'a'), "text/plain");
}
}

std::string requestHead(const std::string &path, const std::string &lines)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nConnection: close\r\n" + lines + "\r\n";
}

std::string lookup()
{
    return requestHead("/lookup/x", "Content-Length: 0\r\n");
}

bool isSuccess(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200 ");
}

std::string sendPieces(const std::string &address, const std::vector<std::string> &pieces, Duration pause)
{
    const int handle = openConnection(address);
    for (const std::string &piece : pieces) {
        if (!sendAll(handle, piece)) {
            break;
        }
        std::this_thread::sleep_for(pause);
    }
    const std::string answer = readAnswer(handle);
    close(handle);
    return answer;
}

std::string requestAt(const std::string &address, const std::string &bytes)
{
    const TimePoint end = Clock::now() + TryTimeout;
    std::string answer = sendPieces(address, {bytes});
    while (!isSuccess(answer) && Clock::now() < end) {
        std::this_thread::sleep_for(TryPause);
        answer = sendPieces(address, {bytes});
    }
    return answer;
}

EntryFixture::EntryFixture()
    : EntryFixture(Options())
{ }

EntryFixture::EntryFixture(const Options &options)
    : m_descriptors(options.descriptors)
{
    constexpr int Numbers = 250;
    const int process = getpid();
    m_network = "127." + std::to_string(1 + process % Numbers) + "." + std::to_string(process / Numbers % Numbers) + ".";
    std::string folder = std::filesystem::temp_directory_path().string() + "/crowdXXXXXX";
    cr_assert_not_null(mkdtemp(folder.data()));
    m_folder = folder;
    m_store = std::make_unique<Soak::MetadataStore>(m_loop, m_network + "2:8200", 1);
    m_store->put("config", "main", configuration(options.limits));
    addSearcher(100, "web", &answerLookup);
    addSearcher(101, "large", &answerLarge);
    const auto keep = [this](const HttpExchangePtr &exchange) {
        m_unanswered.push_back(exchange);
    };
    addSearcher(102, "stuck", keep);
    for (unsigned shard = 0; shard < Shards; ++shard) {
        addSearcher(110 + shard, shardName(shard), keep);
    }
    m_backEnds = std::thread([this] {
        m_loop.run();
    });
    startProcess(options);
}

EntryFixture::~EntryFixture()
{
    m_process.reset();
    m_loop.stop();
    m_backEnds.join();
    std::filesystem::remove_all(m_folder);
}

std::string EntryFixture::clientAddress() const
{
    return m_process->clientAddress();
}

std::string EntryFixture::directoryAddress() const
{
    return m_process->directoryAddress();
}

void EntryFixture::addSearcher(unsigned number, const std::string &service, const HttpServer::Handler &handler)
{
    const std::string address = m_network + std::to_string(number) + ":9000";
    m_searchers.emplace_back(m_loop, address, handler);
    m_store->put("servers",
                 "i-" + std::to_string(number),
                 {{"service", service},
                  {"address", address},
                  {"zone", "centre"},
                  {"version", "v1"},
                  {"slots", ServiceConnections},
                  {"state", "ready"},
                  {"cold-remaining-ms", 0},
                  {"sequence", 1},
                  {"born", 1}});
}
void EntryFixture::startProcess(const Options &options)
{
    const std::string ip = m_network + "10";
    m_process = std::make_unique<Soak::HostProcess>(QUETZALLIFT_PROGRAM, m_folder, Soak::HostProcess::Place{"host", ip, "centre", m_network + "2:8200", ip});
    writeSettings(options.hostSettings);
    {
        const DescriptorLimit limit(options.descriptors);
        m_process->start();
    }
    cr_assert(isSuccess(request(lookup())), "the host does not serve before the crowd comes");
}

void EntryFixture::writeSettings(const json &hostSettings) const
{
    const std::string file = m_folder + "/host.json";
    json settings = json::parse(std::ifstream(file));
    settings["host"].update(hostSettings);
    std::ofstream(file) << settings;
}

std::string EntryFixture::request(const std::string &bytes) const
{
    return requestAt(clientAddress(), bytes);
}

std::size_t EntryFixture::peakMemory() const
{
    std::ifstream status("/proc/" + std::to_string(m_process->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            constexpr std::size_t Kilobyte = 1024;
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * Kilobyte;
        }
    }
    return 0;
}

std::size_t EntryFixture::openDescriptors() const
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_process->pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

unsigned long EntryFixture::processorTicks() const
{
    // The numbers of the fields that hold the time in user mode and in the kernel, after the name in brackets.
    constexpr unsigned FirstTime = 12;
    std::ifstream stat("/proc/" + std::to_string(m_process->pid()) + "/stat");
    std::string field;
    std::getline(stat, field, ')');
    unsigned long total = 0;
    for (unsigned number = 1; number <= FirstTime + 1 && stat >> field; ++number) {
        total += number >= FirstTime ? std::stoul(field) : 0;
    }
    return total;
}

void EntryFixture::settle() const
{
    constexpr unsigned MostPeriods = 100;
    constexpr std::chrono::milliseconds Period{300};
    // Timers and calls to the store go on.
    constexpr unsigned long IdleTicks = 1;
    unsigned long before = processorTicks();
    for (unsigned period = 0; period < MostPeriods; ++period) {
        std::this_thread::sleep_for(Period);
        const unsigned long now = processorTicks();
        if (now - before <= IdleTicks) {
            return;
        }
        before = now;
    }
}

void EntryFixture::checkHealthy()
{
    settle();
    const std::string answer = request(lookup());
    const auto exit = m_process->takeExit();
    cr_assert_not(exit.has_value(), "the process ended with status %d", exit.value_or(0));
    const std::size_t peak = peakMemory();
    cr_log_info("peak memory %zu KB, %zu descriptors", peak / 1024, openDescriptors());
    cr_expect(isSuccess(answer), "an ordinary request is not answered: %s", answer.substr(0, 40).c_str());
    cr_expect_leq(openDescriptors(), m_descriptors - m_descriptors / DescriptorReserveDivisor, "%zu descriptors are open", openDescriptors());
#ifndef CROWD_WITHOUT_MEMORY_BOUND
    cr_expect_leq(peak, MachineMemory, "the process has held %zu KB", peak / 1024);
#endif
}

void EntryFixture::checkLargestRequest() const
{
    const std::string answer = request(requestHead("/lookup/x", "Content-Length: " + std::to_string(BodyLimit) + "\r\n") + std::string(BodyLimit, 'b'));
    cr_expect(
        answer.ends_with("body of " + std::to_string(BodyLimit) + " bytes\n"), "a large request is not answered in calm: %s", answer.substr(0, 40).c_str());
}
}
