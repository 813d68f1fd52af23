#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct BackEnd;
struct ReduceContext;
struct SearcherView;

// Ejects a searcher whose errors or latency stand out, unless a third of the back end's searchers is ejected already.
void ejectIfOutlier(ReduceContext &context, SearcherView &view);

// Extends the ejection of a searcher whose health probe failed.
void extendEjection(ReduceContext &context, SearcherView &view);

// Ends an ejection: the searcher starts cold.
void endEjection(ReduceContext &context, SearcherView &view);

// Forgets earlier ejections of a searcher that has served well for long.
void forgiveEjections(SearcherView &view, TimePoint now);
}
