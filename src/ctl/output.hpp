#pragma once

// Prints tables and JSON to standard output.

#include <string>

namespace walkthread::ctl
{

/// @brief Prints a JSON document unchanged, or as a table with one column per field.
/// @param json the document; text that is not JSON is printed unchanged
/// @param as_table whether to print a table
void print_document(const std::string& json, bool as_table);

} // namespace walkthread::ctl
