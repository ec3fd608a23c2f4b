#pragma once

// Warnings and lint findings in generated code can not be fixed by hand; as a system header it is
// exempt from both.
#pragma GCC system_header

#include "wire/messages_generated.h"
