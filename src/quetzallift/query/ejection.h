#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct BackEnd;
struct ReduceContext;
struct SearcherView;

// Ejects a searcher with outlying errors or latency, unless a third of the back end's searchers is ejected already.
void ejectIfOutlier(ReduceContext &context, SearcherView &view);

// Extends the ejection of a searcher whose health probe failed.
void extendEjection(ReduceContext &context, SearcherView &view);

// Ends an ejection and resets the searcher to the cold state.
void endEjection(ReduceContext &context, SearcherView &view);

// Resets the ejection time of a searcher that has been in service since its last ejection for longer than the longest
// ejection time.
void resetEjections(SearcherView &view, TimePoint now);
}
