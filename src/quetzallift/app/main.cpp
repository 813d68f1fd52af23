#include "quetzallift/app/commands.h"
#include "quetzallift/app/log.h"
#include "quetzallift/app/version.h"
#include "quetzallift/model/error.h"

#include <curl/curl.h>
#include <sodium.h>

#include <iostream>
#include <map>
#include <string>

namespace
{
using Command = int (*)(int, const char **);

constexpr const char *Usage = R"(usage: quetzallift COMMAND [OPTIONS]

  serve --settings FILE    run an entry host
  settings check FILE      check a settings file
  bundle PART [OPTIONS]    prepare, approve and roll configuration bundles
  query [OPTIONS]          send one query as a caller would
  report burn [OPTIONS]    show how fast service-level budgets are used up
  version                  print the version

COMMAND --help lists the options of a command.
Exit codes: 0 done, 1 the answer is no or a stop cut queries off, 2 wrong usage or input.
)";

int versionCommand(int, const char **)
{
    std::cout << "quetzallift " << Quetzallift::Version << '\n';
    return Quetzallift::ExitOk;
}

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all = {
        {"serve", &Quetzallift::serveCommand},
        {"settings", &Quetzallift::settingsCommand},
        {"query", &Quetzallift::queryCommand},
        {"bundle", &Quetzallift::bundleCommand},
        {"report", &Quetzallift::reportCommand},
        {"version", &versionCommand},
    };
    return all;
}

int runCommand(int argc, const char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        std::cout << Usage;
        return Quetzallift::ExitOk;
    }
    const auto found = commands().find(name);
    if (found == commands().end()) {
        std::cerr << (name.empty() ? "" : "quetzallift: unknown command '" + name + "'\n") << Usage;
        return Quetzallift::ExitUsage;
    }
    return found->second(argc - 1, argv + 1);
}
}

int main(int argc, char **argv)
{
    Quetzallift::startLog(argv[0]);
    if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        std::cerr << "quetzallift: the libraries cannot be initialised\n";
        return Quetzallift::ExitUsage;
    }
    try {
        return runCommand(argc, const_cast<const char **>(argv));
    } catch (const Quetzallift::Error &error) {
        std::cerr << "quetzallift: " << error.what() << '\n';
    } catch (const std::exception &error) {
        std::cerr << "quetzallift: internal error: " << error.what() << '\n';
    }
    return Quetzallift::ExitUsage;
}
