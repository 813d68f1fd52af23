#pragma once

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"
#include "tests/platform/soak/hostprocess.h"
#include "tests/platform/soak/metadatastore.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Crowd
{
// The memory of the smallest machine of the users' pages.
constexpr std::size_t MachineMemory = std::size_t{160} * 1024 * 1024;
// The size of bodies up to which the configuration of the tests allows.
constexpr std::size_t BodyLimit = std::size_t{1024} * 1024;
// The size of a head up to which it allows.
constexpr std::size_t HeadLimit = 65536;
// The number of shards of a scattered request.
constexpr unsigned Shards = 16;

// An entry host as a process of its own, with a store and searchers beside it. Its routes:
// /lookup/ is answered with the size of the request's body, /large/ with LargeAnswer bytes, /stuck/ never; /parts/ is
// scattered over Shards services that never answer.
class EntryFixture
{
public:
    static constexpr std::size_t LargeAnswer = std::size_t{7} * 1024 * 1024;

    struct Options {
        // Limits the open descriptors of the process.
        std::size_t descriptors = 4100;
        // Limits of clients in the configuration, beside or instead of those above.
        nlohmann::json limits = nlohmann::json::object();
        // Fields of the host's settings, beside the ordinary ones.
        nlohmann::json hostSettings = nlohmann::json::object();
    };

    // Starts the host and waits until it answers a request.
    EntryFixture();
    explicit EntryFixture(const Options &options);
    ~EntryFixture();
    EntryFixture(const EntryFixture &) = delete;
    EntryFixture &operator=(const EntryFixture &) = delete;

    std::string clientAddress() const;
    std::string directoryAddress() const;

    // As requestAt() for the address of clients.
    std::string request(const std::string &bytes) const;

    // Waits until the process has read what was sent to it, so that it no longer uses the processor.
    void settle() const;

    // Checks that the process lives and has never held more memory than the machine has, that descriptors are left, and that an
    // ordinary request is answered.
    void checkHealthy();

    // Checks that a request with a body of the largest legal size is answered, as the crowd has left.
    void checkLargestRequest() const;

    // Reads the peak of the process's memory in bytes.
    std::size_t peakMemory() const;
    std::size_t openDescriptors() const;
    // The processor time that the process has used, in the kernel's ticks.
    unsigned long processorTicks() const;

private:
    void addSearcher(unsigned number, const std::string &service, const Quetzallift::HttpServer::Handler &handler);
    void startProcess(const Options &options);
    void writeSettings(const nlohmann::json &hostSettings) const;

    std::string m_network;
    std::string m_folder;
    std::size_t m_descriptors;
    Quetzallift::EventLoop m_loop;
    std::unique_ptr<Soak::MetadataStore> m_store;
    std::list<Quetzallift::HttpServer> m_searchers;
    // Requests that are never answered.
    std::vector<Quetzallift::HttpExchangePtr> m_unanswered;
    std::unique_ptr<Soak::HostProcess> m_process;
    std::thread m_backEnds;
};

// The head of a request with the given path and further lines, each with its line end.
std::string requestHead(const std::string &path, const std::string &lines = {});

// An ordinary request.
std::string lookup();

// Sends a request on a new connection, in the pieces that are given and with a pause after each. Returns the answer.
std::string sendPieces(const std::string &address, const std::vector<std::string> &pieces, Quetzallift::Duration pause = Quetzallift::Duration::zero());

// Sends a request on a new connection as an ordinary client does: it reads the answer, and comes back after a refusal. Returns
// the last answer.
std::string requestAt(const std::string &address, const std::string &bytes);

bool isSuccess(const std::string &answer);
}
