#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>

namespace Quetzallift
{
// Writes the status of a host: the generation and digest in force and since when, whether the host is live or leaving,
// and whether the platform is reachable. The snapshot is null before the first bundle is in force. `now` and `wallNow` are
// the current time of the steady and of the system clock.
std::string encodeStatus(const std::string &host, const ControlSnapshotPtr &control, TimePoint now, WallTime wallNow);
}
