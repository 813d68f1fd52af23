#include "quetzallift/app/options.h"

#include "quetzallift/model/error.h"

#include <memory>

namespace Quetzallift
{
namespace
{
struct ContextDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};
}

Options::Options(int argc, const char **argv, const poptOption *table, const std::string &argumentsHelp)
{
    const std::unique_ptr<poptContext_s, ContextDeleter> context(poptGetContext("quetzallift", argc, argv, table, 0));
    poptSetOtherOptionHelp(context.get(), argumentsHelp.c_str());
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        throw Error(Step::Settings, poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(code));
    }
    while (const char *argument = poptGetArg(context.get())) {
        m_arguments.emplace_back(argument);
    }
}

const std::vector<std::string> &Options::arguments() const
{
    return m_arguments;
}
}
