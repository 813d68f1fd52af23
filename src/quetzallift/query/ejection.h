#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct BackEnd;
struct ReduceContext;
struct SearcherView;

// Ejects a searcher whose errors or latency stand out, unless a third of the back end's searchers is ejected already.
void ejectIfOutlier(ReduceContext &context, SearcherView &view);

// True while the searcher should only get work for shards without another replica.
bool isEjected(const SearcherView &view, TimePoint now);

// Ends the probation of a searcher that served a sub-request well after its ejection.
void notePassedProbation(SearcherView &view, TimePoint now);
}
