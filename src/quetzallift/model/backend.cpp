#include "quetzallift/model/backend.h"

namespace Quetzallift
{
const Layout *BackEnd::layoutAt(SnapshotVersion snapshot) const
{
    const Layout *found = nullptr;
    for (const Layout &layout : layouts) {
        if (layout.firstSnapshot <= snapshot) {
            found = &layout;
        }
    }
    return found;
}
}
