#include "quetzallift/app/bundlecommands.h"
#include "quetzallift/app/commands.h"

#include <iostream>
#include <map>
#include <string>

namespace Quetzallift
{
namespace
{
constexpr const char *Usage = R"(usage: quetzallift bundle PART [OPTIONS]

  check FILE                                          find mistakes and name risky changes
  prepare FILE --platform IP:PORT                     store a bundle under its digest
  keygen --out FILE                                   make an approver's key pair
  approve DIGEST --key FILE --name NAME --platform .. sign a bundle, as a person other than its author
  roll DIGEST --operator NAME --platform IP:PORT      put an approved bundle in force as the next generation
  status --platform IP:PORT                           say which hosts have which generation in force
  history --platform IP:PORT                          list the generations
  diff DIGEST DIGEST --platform IP:PORT               show what differs between two bundles

PART --help lists the options of a part.
Exit codes: 0 done, 1 the answer is no, 2 wrong usage or input.
)";

const std::map<std::string, int (*)(int, const char **)> &parts()
{
    static const std::map<std::string, int (*)(int, const char **)> all = {
        {"check", &bundleCheckCommand},
        {"prepare", &bundlePrepareCommand},
        {"keygen", &bundleKeygenCommand},
        {"approve", &bundleApproveCommand},
        {"roll", &bundleRollCommand},
        {"status", &bundleStatusCommand},
        {"history", &bundleHistoryCommand},
        {"diff", &bundleDiffCommand},
    };
    return all;
}
}

int bundleCommand(int argc, const char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        std::cout << Usage;
        return ExitOk;
    }
    const auto found = parts().find(name);
    if (found == parts().end()) {
        std::cerr << Usage;
        return ExitUsage;
    }
    return found->second(argc - 1, argv + 1);
}
}
