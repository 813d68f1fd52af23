#include "quetzallift/model/memberupdate.h"

namespace Quetzallift
{
bool supersedes(const MemberUpdate &update, const MemberUpdate &known)
{
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    if (update.status != known.status) {
        return update.status > known.status;
    }
    return update.stopped && !known.stopped;
}
}
