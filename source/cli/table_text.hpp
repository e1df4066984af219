#ifndef CUMINFOLD_CLI_TABLE_TEXT_HPP
#define CUMINFOLD_CLI_TABLE_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cuminfold
{

/// Formats one value for display: a string without quotes, `-` for null or an
/// empty string, any other value as JSON.
std::string format_cell(nlohmann::json const& value);

/// Formats a line of column names and one line for each row, with aligned
/// columns. `rows` is an array of objects; a column holds the value of the key
/// of its name, or `-` if the row has no such key.
std::string format_table(std::vector<std::string> const& columns,
                         nlohmann::json const& rows);

} // namespace cuminfold

#endif
