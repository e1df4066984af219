#ifndef CUMINFOLD_CLI_TABLE_TEXT_HPP
#define CUMINFOLD_CLI_TABLE_TEXT_HPP

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cuminfold
{

/// One value for a reader: a text without its quotes, `-` for nothing.
std::string format_cell(nlohmann::json const& value);

/// Rows with aligned columns below a line of column names; a row's values are
/// those of its keys of these names.
std::string format_table(std::vector<std::string> const& columns,
                         nlohmann::json const& rows);

} // namespace cuminfold

#endif
