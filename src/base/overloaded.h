#pragma once

namespace pistachiofall {

/// Joins functions into one visitor for std::visit.
template<typename... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace pistachiofall
