#include "coord/endpointload.h"

namespace pistachiofall {

int batchShare(int limit)
{
    if (limit <= 1)
        return limit;
    const int reserve = (limit + 3) / 4;
    return limit - reserve;
}

bool isFull(const EndpointLoad &load, WorkClass workClass)
{
    if (load.queuedOnline > 0)
        return true;
    if (workClass == WorkClass::Online)
        return load.inFlight >= load.limit;
    return load.inFlight >= load.batchLimit.value_or(batchShare(load.limit));
}

} // namespace pistachiofall
