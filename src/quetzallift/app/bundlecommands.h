#pragma once

namespace Quetzallift
{
// The parts of `quetzallift bundle`. Each reads its own options; argv[0] is the part's name. They throw Error.
int bundleCheckCommand(int argc, const char **argv);
int bundlePrepareCommand(int argc, const char **argv);
int bundleKeygenCommand(int argc, const char **argv);
int bundleApproveCommand(int argc, const char **argv);
int bundleRollCommand(int argc, const char **argv);
int bundleStatusCommand(int argc, const char **argv);
int bundleHistoryCommand(int argc, const char **argv);
int bundleDiffCommand(int argc, const char **argv);
}
