#include "transport/http_head_check.hpp"

#include <algorithm>
#include <cctype>
#include <set>
#include <string>

namespace cuminfold
{

namespace
{

std::string to_lower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return result;
}

bool has_control_byte(std::string_view line)
{
    return std::any_of(line.begin(), line.end(),
                       [](unsigned char c)
                       { return (c < ' ' && c != '\t') || c == 0x7f; });
}

bool must_stand_once(std::string const& name)
{
    static std::set<std::string> const names = {
        "content-length", "transfer-encoding", "host",
        "expect",         "idempotency-key",   "authorization"};
    return names.count(name) != 0 || name.rfind("cuminfold-", 0) == 0;
}

bool is_number(std::string_view value)
{
    auto const first = value.find_first_not_of(" \t");
    auto const last = value.find_last_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return false;
    }
    auto const digits = value.substr(first, last - first + 1);
    return std::all_of(digits.begin(), digits.end(),
                       [](char c) { return c >= '0' && c <= '9'; });
}

/// Checks the lines of a head one by one.
class head_checker
{
public:
    std::string_view check_line(std::string_view line)
    {
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0)
        {
            return "a field without a name";
        }
        std::string const name = to_lower(line.substr(0, colon));
        if (name.find_first_of(" \t") != std::string::npos)
        {
            return "white space in a field's name";
        }
        bool const fresh = names_.insert(name).second;
        if (!fresh && must_stand_once(name))
        {
            return "a repeated field";
        }
        if (name == "content-length" && !is_number(line.substr(colon + 1)))
        {
            return "a length that is no number";
        }
        return {};
    }

    std::string_view check_whole() const
    {
        bool const both = names_.count("content-length") != 0 &&
                          names_.count("transfer-encoding") != 0;
        return both ? "a length and a transfer encoding" : std::string_view{};
    }

private:
    std::set<std::string> names_;
};

} // namespace

std::optional<std::size_t> find_head_end(std::string_view bytes)
{
    for (auto at = bytes.find('\n'); at != std::string_view::npos;
         at = bytes.find('\n', at + 1))
    {
        auto const rest = bytes.substr(at + 1);
        if (rest.substr(0, 1) == "\n")
        {
            return at + 2;
        }
        if (rest.substr(0, 2) == "\r\n")
        {
            return at + 3;
        }
    }
    return std::nullopt;
}

std::string_view check_head(std::string_view head)
{
    head_checker checker;
    bool first = true;
    while (!head.empty())
    {
        auto const end = head.find('\n');
        if (end == std::string_view::npos || end == 0 || head[end - 1] != '\r')
        {
            return "a line that does not end in CR LF";
        }
        std::string_view const line = head.substr(0, end - 1);
        head.remove_prefix(end + 1);
        if (has_control_byte(line))
        {
            return "a control byte";
        }
        if (line.empty())
        {
            break;
        }
        if (line.front() == ' ' || line.front() == '\t')
        {
            return "a folded line";
        }
        std::string_view const wrong =
            first ? std::string_view{} : checker.check_line(line);
        first = false;
        if (!wrong.empty())
        {
            return wrong;
        }
    }
    return checker.check_whole();
}

} // namespace cuminfold
