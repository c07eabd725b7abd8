#include "experiment/model.hpp"

namespace arbutusferry::experiment {

void
MeasureDecisions(std::uint64_t /*aSeed*/, bool /*aCsv*/)
{
}

} // namespace arbutusferry::experiment
