#include "cli/loadburst.h"

namespace pistachiofall {

std::chrono::nanoseconds applyBurst(const LoadBurst &burst, std::chrono::nanoseconds offset)
{
    using Duration = std::chrono::duration<double, std::nano>;
    const std::chrono::nanoseconds length = burst.end - burst.begin;
    if (offset < burst.begin || length.count() <= 0)
        return offset;
    const auto lengthWithoutBurst =
            std::chrono::duration_cast<std::chrono::nanoseconds>(Duration(length) * burst.factor);
    if (offset < burst.begin + lengthWithoutBurst)
        return burst.begin
                + std::chrono::duration_cast<std::chrono::nanoseconds>(
                        Duration(offset - burst.begin) / burst.factor);
    return offset - lengthWithoutBurst + length;
}

} // namespace pistachiofall
