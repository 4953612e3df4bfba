#pragma once

// Counts all allocations with `operator new` in a program that links count_allocations.cpp.

#include <cstdint>

namespace walkthread::test
{

std::uint64_t allocations();

} // namespace walkthread::test
