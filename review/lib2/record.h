#pragma once

#include <string>

namespace Review
{
// Milliseconds since the start of the case.
long nowMs();

void sleepUntil(long atMs);

// Appends a line with the time to record.txt, the file that the first argument of the program names.
void openRecord(const std::string &file);
void note(const std::string &line);

// False if the variable TROUBLE is 0: the case is then played without its disruption.
bool hasTrouble();
}
