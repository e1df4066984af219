#include "config/section_reader.hpp"

#include "config/duration_text.hpp"

#include <charconv>
#include <utility>

namespace cuminfold
{

namespace
{

std::uint32_t line_of(YAML::Node const& node)
{
    int const line = node.Mark().line;
    return line < 0 ? 0 : static_cast<std::uint32_t>(line) + 1;
}

template <class Number>
bool parse_number(std::string const& text, Number& value)
{
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end && !text.empty();
}

/// @param most empty: there is no upper bound
std::string describe_range(std::string const& text, std::string const& least,
                           std::string const& most)
{
    std::string const range =
        most.empty() ? "at least " + least : "within " + least + " to " + most;
    return "out of range: " + text + " is not " + range;
}

std::string join(std::vector<std::string> const& words)
{
    std::string text;
    for (auto const& word : words)
    {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

} // namespace

section_reader::section_reader(located_map const& values, std::string path,
                               std::vector<config_error>& errors,
                               located_place origin)
    : values_(values), path_(std::move(path)), errors_(errors),
      origin_(std::move(origin))
{
}

bool section_reader::has(std::string const& key)
{
    return find(key) != nullptr;
}

void section_reader::read(std::string const& key, std::string& target)
{
    std::string text;
    if (scalar(key, text))
    {
        target = std::move(text);
    }
}

void section_reader::read(std::string const& key, bool& target)
{
    std::string text;
    if (!scalar(key, text))
    {
        return;
    }
    if (text != "true" && text != "false")
    {
        fail(key, "expected true or false, not '" + text + "'");
        return;
    }
    target = text == "true";
}

void section_reader::read(std::string const& key, std::uint32_t& target,
                          std::uint32_t least, std::uint32_t most)
{
    std::string text;
    if (!scalar(key, text))
    {
        return;
    }
    std::uint32_t value = 0;
    if (!parse_number(text, value))
    {
        fail(key, "expected a whole number, not '" + text + "'");
        return;
    }
    if (value < least || value > most)
    {
        bool const open = most == std::numeric_limits<std::uint32_t>::max();
        fail(key, describe_range(text, std::to_string(least),
                                 open ? "" : std::to_string(most)));
        return;
    }
    target = value;
}

void section_reader::read(std::string const& key, double& target, double least,
                          double most)
{
    std::string text;
    if (!scalar(key, text))
    {
        return;
    }
    double value = 0;
    if (!parse_number(text, value))
    {
        fail(key, "expected a number, not '" + text + "'");
        return;
    }
    if (!(value >= least && value <= most))
    {
        fail(key,
             describe_range(text, std::to_string(least), std::to_string(most)));
        return;
    }
    target = value;
}

void section_reader::read(std::string const& key, duration& target,
                          duration least, duration most)
{
    std::string text;
    if (!scalar(key, text))
    {
        return;
    }
    std::uint32_t bare = 0;
    if (parse_number(text, bare))
    {
        fail(key, "missing unit: write " + text + "ms, " + text + "s or " +
                      text + "min");
        return;
    }
    auto const value = parse_duration(text);
    if (!value)
    {
        fail(key, "expected a time such as 250ms or 5s, not '" + text + "'");
        return;
    }
    if (*value < least || *value > most)
    {
        bool const open = most == duration::max();
        fail(key, describe_range(text, format_duration(least),
                                 open ? "" : format_duration(most)));
        return;
    }
    target = *value;
}

void section_reader::read(std::string const& key,
                          std::vector<std::string>& target)
{
    located_node const* found = find(key);
    if (found == nullptr)
    {
        return;
    }
    if (!found->node_.IsSequence())
    {
        fail(key, "expected a list");
        return;
    }
    std::vector<std::string> values;
    for (auto const& item : found->node_)
    {
        if (!item.IsScalar())
        {
            fail(key, "expected a list of words");
            return;
        }
        values.push_back(item.Scalar());
    }
    target = std::move(values);
}

void section_reader::read(std::string const& key,
                          std::map<std::string, std::uint32_t>& target)
{
    located_node const* found = find(key);
    if (found == nullptr)
    {
        return;
    }
    located_map const values =
        locate(found->file_, found->node_, path_of(key), errors_);
    section_reader reader(values, path_of(key), errors_);
    std::map<std::string, std::uint32_t> result;
    for (auto const& item : values)
    {
        reader.read(item.first, result[item.first]);
    }
    target = std::move(result);
}

void section_reader::read_choice(std::string const& key,
                                 std::vector<std::string> const& choices,
                                 std::size_t& target)
{
    std::string text;
    if (!scalar(key, text))
    {
        return;
    }
    for (std::size_t i = 0; i < choices.size(); ++i)
    {
        if (choices[i] == text)
        {
            target = i;
            return;
        }
    }
    fail(key, "unknown: '" + text + "'; known: " + join(choices));
}

located_map section_reader::read_map(std::string const& key)
{
    located_node const* found = find(key);
    if (found == nullptr)
    {
        return {};
    }
    return locate(found->file_, found->node_, path_of(key), errors_);
}

void section_reader::require(std::string const& key)
{
    if (find(key) == nullptr)
    {
        fail(key, "missing");
    }
}

void section_reader::fail(std::string const& key, std::string what)
{
    config_error error;
    error.file_ = origin_.file_;
    error.line_ = origin_.line_;
    auto const found = values_.find(key);
    if (found != values_.end())
    {
        error.file_ = found->second.file_;
        error.line_ = found->second.line_;
    }
    else if (!values_.empty())
    {
        error.file_ = values_.begin()->second.file_;
        error.line_ = values_.begin()->second.line_;
    }
    error.key_ = path_of(key);
    error.what_ = std::move(what);
    errors_.push_back(std::move(error));
}

void section_reader::finish()
{
    std::vector<std::string> const known(asked_.begin(), asked_.end());
    for (auto const& item : values_)
    {
        if (asked_.count(item.first) == 0)
        {
            fail(item.first, "unknown key; known: " + join(known));
        }
    }
}

std::string section_reader::path_of(std::string const& key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

located_node const* section_reader::find(std::string const& key)
{
    asked_.insert(key);
    auto const found = values_.find(key);
    return found == values_.end() ? nullptr : &found->second;
}

bool section_reader::scalar(std::string const& key, std::string& text)
{
    located_node const* found = find(key);
    if (found == nullptr)
    {
        return false;
    }
    if (!found->node_.IsScalar())
    {
        fail(key, "expected a single value");
        return false;
    }
    text = found->node_.Scalar();
    return true;
}

located_map locate(file_name const& file, YAML::Node const& node,
                   std::string const& path, std::vector<config_error>& errors)
{
    located_map values;
    if (!node.IsMap())
    {
        if (!node.IsNull())
        {
            errors.push_back({file, line_of(node), path, "expected a map"});
        }
        return values;
    }
    for (auto const& item : node)
    {
        if (!item.first.IsScalar())
        {
            errors.push_back(
                {file, line_of(item.first), path, "a key must be a word"});
            continue;
        }
        std::string const key = item.first.Scalar();
        std::uint32_t const line = line_of(item.first);
        bool const fresh =
            values.emplace(key, located_node{file, line, item.second}).second;
        if (!fresh)
        {
            std::string const whole = path.empty() ? key : path + "." + key;
            errors.push_back({file, line, whole, "stands twice"});
        }
    }
    return values;
}

std::string format_error(config_error const& error)
{
    std::string text = error.file_.text();
    if (error.line_ != 0)
    {
        text += ":" + std::to_string(error.line_);
    }
    if (!error.key_.empty())
    {
        text += ": " + error.key_;
    }
    return text + ": " + error.what_;
}

} // namespace cuminfold
