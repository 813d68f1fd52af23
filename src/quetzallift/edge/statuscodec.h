#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>

namespace Quetzallift
{
// Writes the status page of a host: generation, digest, since when they are in force, live or leaving, and whether the
// platform answers. The snapshot is null before the first bundle. The two times are the present by both clocks.
std::string encodeStatus(const std::string &host, const ControlSnapshotPtr &control, TimePoint now, WallTime wallNow);
}
