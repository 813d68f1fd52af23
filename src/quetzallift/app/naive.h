#pragma once

namespace Quetzallift
{
struct Hooks;

// Replaces the policies of a traffic thread by plain ones, against which scripts/measure compares the usual ones: no
// hedges. Asked for by the settings block "experiment".
void useNaivePolicies(Hooks &hooks);
}
