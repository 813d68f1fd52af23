#pragma once

namespace Quetzallift
{
// Exit codes of every command.
constexpr int ExitOk = 0;
// The command ran and the answer is no: a partial, failed or refused query, a stop that cut queries off.
constexpr int ExitFailed = 1;
// The command line, a file or an argument is wrong.
constexpr int ExitUsage = 2;

// Each command reads its own options; argv[0] is the command's name. They throw Error.
int serveCommand(int argc, const char **argv);
int settingsCommand(int argc, const char **argv);
int queryCommand(int argc, const char **argv);
int bundleCommand(int argc, const char **argv);
int reportCommand(int argc, const char **argv);
}
