#include "quetzallift/control/handlers.h"

namespace Quetzallift
{
void handlePeerMessage(ReduceContext &, const PeerMessageArrived &)
{ }

void handlePeerUnreachable(ReduceContext &, const PeerUnreachable &)
{ }
}
