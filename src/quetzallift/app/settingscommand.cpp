#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/app/settings.h"
#include "quetzallift/model/error.h"

#include <iostream>

namespace Quetzallift
{
int settingsCommand(int argc, const char **argv)
{
    const poptOption table[] = {
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "check FILE");
    const std::vector<std::string> &arguments = options.arguments();
    if (arguments.size() != 2 || arguments[0] != "check") {
        throw Error(Step::Settings, "settings", "expected: settings check FILE");
    }
    readSettings(arguments[1]);
    std::cout << arguments[1] << ": ok\n";
    return ExitOk;
}
}
