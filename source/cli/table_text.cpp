#include "cli/table_text.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;
using line = std::vector<std::string>;

std::vector<std::size_t> measure_columns(std::vector<line> const& lines)
{
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (auto const& cells : lines)
    {
        for (std::size_t i = 0; i < cells.size(); ++i)
        {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    return widths;
}

std::string join_padded(line const& cells,
                        std::vector<std::size_t> const& widths)
{
    std::string text;
    for (std::size_t i = 0; i < cells.size(); ++i)
    {
        std::string padded = cells[i];
        padded.resize(widths[i], ' ');
        text += padded + "  ";
    }
    text.erase(text.find_last_not_of(' ') + 1);
    return text + "\n";
}

} // namespace

std::string format_cell(json const& value)
{
    std::string text = value.is_string() ? value.get<std::string>()
                       : value.is_null() ? std::string()
                                         : value.dump();
    return text.empty() ? "-" : text;
}

std::string format_table(std::vector<std::string> const& columns,
                         json const& rows)
{
    std::vector<line> lines = {columns};
    for (auto const& row : rows)
    {
        line cells;
        for (auto const& column : columns)
        {
            cells.push_back(format_cell(row.value(column, json())));
        }
        lines.push_back(std::move(cells));
    }
    auto const widths = measure_columns(lines);
    std::string text;
    for (auto const& cells : lines)
    {
        text += join_padded(cells, widths);
    }
    return text;
}

} // namespace cuminfold
