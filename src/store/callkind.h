#pragma once

#include <string_view>

namespace pistachiofall::store::detail {

/// The kinds of call, as the metrics tell them apart.
enum class CallKind { Get, Create, Update, Remove, List, Watch, Instances };

constexpr int CallKindCount = 7;

/// The name of a kind as it appears in metrics, such as "get".
std::string_view toString(CallKind kind);

/// Whether a call of this kind may change the store.
bool isWrite(CallKind kind);

} // namespace pistachiofall::store::detail
