// A front end without sockets: drives the reducer through one refused query.

#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

#include <cstdlib>

int main()
{
    using namespace Quetzallift;
    State state;
    const Effects effects = reduce(state, Event{TimePoint(), QueryArrived{QueryId{1}, QueryRequest{}}});
    for (const Effect &effect : effects) {
        if (const auto *send = std::get_if<SendAnswer>(&effect)) {
            return send->answer.execution == Execution::NotRun ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }
    return EXIT_FAILURE;
}
