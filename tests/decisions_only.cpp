// A front end without sockets that runs one refused query through the reducer. Guards against decision code that needs a
// library other than the C and C++ runtime (test decisions_only_libraries).

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
