#pragma once

#include "quetzallift/model/logrecord.h"

#include <string>

namespace Quetzallift
{
// Prepares glog for the lines of libraries and of failed checks; they go to standard error.
void startLog(const char *program);

// Writes a record as one JSON line to standard output, unless the lines come too fast, with the digest of the bundle in force, which may be empty. Any thread
// may call it.
void writeLog(const LogRecord &record, const std::string &host, const std::string &bundle);
}
