#pragma once

#include <popt.h>

#include <string>
#include <vector>

namespace Quetzallift
{
// The command line of one command, read with popt. The table must end with POPT_AUTOHELP and POPT_TABLEEND.
class Options
{
public:
    // Reads all options; --help prints the table and ends the process. Throws Error for an unknown option.
    Options(int argc, const char **argv, const poptOption *table, const std::string &argumentsHelp);

    // The arguments that are not options.
    const std::vector<std::string> &arguments() const;

private:
    std::vector<std::string> m_arguments;
};
}
