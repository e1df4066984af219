#include "cli/command_table.hpp"
#include "cli/folder_check.hpp"
#include "config/operators_folder.hpp"
#include "kernel/cell/fleet_config_check.hpp"
#include "platform/config_format.hpp"
#include "transport/program.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace cuminfold
{

namespace
{

using nlohmann::json;

/// One fault in a file, as operators see it.
struct reported_fault
{
    std::string file_;
    std::uint32_t line_ = 0; ///< counted from 1; 0: unknown
    std::string place_;
    std::string what_;
    std::string remedy_;
};

struct fleet_report
{
    /// Empty if the file cannot be read as a whole.
    std::optional<fleet_config_listing> checked_;
    /// Empty if none was given, or if it cannot be read as a whole.
    std::optional<fleet_config_listing> in_force_;
    std::vector<reported_fault> faults_;
    /// Only if both were read.
    std::vector<config_difference> differences_;
};

std::string read_file(std::string const& path)
{
    // Reading a folder throws an exception that does not name it.
    if (std::filesystem::is_directory(path))
    {
        throw folder_error(path + ": is a folder, not a file");
    }
    std::ifstream in(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)),
                     std::istreambuf_iterator<char>());
    if (!in.is_open() || in.bad())
    {
        throw folder_error(path + ": cannot be read");
    }
    return text;
}

/// Reads a configuration; records a fault if it cannot be read as a whole.
std::optional<fleet_config_listing>
read_listing(std::string const& path, std::vector<reported_fault>& faults)
{
    try
    {
        return platform::list_config(read_file(path));
    }
    catch (platform::config_text_error const& error)
    {
        faults.push_back({path, error.line(), error.place(), error.what(),
                          "correct it: nodes keep the version that they have"});
        return std::nullopt;
    }
}

/// Parses `CPU,MEM`.
resource_amount parse_task(std::string const& text)
{
    resource_amount task;
    auto const* const end = text.data() + text.size();
    auto const cpu = std::from_chars(text.data(), end, task.cpu_milli_);
    bool valid = cpu.ec == std::errc() && cpu.ptr != end && *cpu.ptr == ',';
    if (valid)
    {
        auto const memory = std::from_chars(cpu.ptr + 1, end, task.memory_mb_);
        valid = memory.ec == std::errc() && memory.ptr == end;
    }
    if (!valid || task.cpu_milli_ < 0 || task.memory_mb_ < 0)
    {
        throw usage_error("--largest-task: expected CPU,MEM in thousandths of "
                          "a core and MB, such as 2000,4096, not '" +
                          text + "'");
    }
    return task;
}

fleet_report make_report(command_arguments const& arguments)
{
    std::optional<resource_amount> largest_task;
    if (!arguments.largest_task_.empty())
    {
        largest_task = parse_task(arguments.largest_task_);
    }
    std::string const& path = arguments.positional_.front();
    fleet_report report;
    report.checked_ = read_listing(path, report.faults_);
    if (!arguments.in_force_.empty())
    {
        report.in_force_ = read_listing(arguments.in_force_, report.faults_);
    }
    if (!report.checked_)
    {
        return report;
    }
    auto faults = find_config_faults(*report.checked_, largest_task);
    if (report.in_force_)
    {
        if (auto fault = find_version_fault(report.checked_->config_,
                                            report.in_force_->config_))
        {
            faults.push_back(std::move(*fault));
        }
        report.differences_ =
            find_config_differences(*report.checked_, *report.in_force_);
    }
    for (auto const& fault : faults)
    {
        report.faults_.push_back({path, report.checked_->line_of(fault.place_),
                                  platform::place_name(fault.place_),
                                  fault.what_, fault.remedy_});
    }
    return report;
}

/// Names come from a file; a control character would break the line.
std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
    return text;
}

char const* name_of(change_kind kind)
{
    return kind == change_kind::added     ? "added"
           : kind == change_kind::removed ? "removed"
                                          : "changed";
}

json to_json(config_difference const& difference,
             command_arguments const& arguments)
{
    json fields = json::array();
    for (auto const& field : difference.fields_)
    {
        fields.push_back({{"field", platform::field_name(field.field_)},
                          {"before", field.before_},
                          {"after", field.after_}});
    }
    return {{"change", name_of(difference.kind_)},
            {"file", difference.kind_ == change_kind::removed
                         ? arguments.in_force_
                         : arguments.positional_.front()},
            {"key", platform::place_name(difference.place_)},
            {"name", difference.name_},
            {"fields", fields}};
}

void print_json(fleet_report const& report, command_arguments const& arguments)
{
    json errors = json::array();
    for (auto const& fault : report.faults_)
    {
        errors.push_back({{"file", fault.file_},
                          {"line", fault.line_},
                          {"key", fault.place_},
                          {"what", fault.what_},
                          {"remedy", fault.remedy_}});
    }
    json body = {{"valid", errors.empty()}, {"errors", errors}};
    if (report.checked_)
    {
        body["version"] = report.checked_->config_.version_;
    }
    if (report.checked_ && report.in_force_)
    {
        body["version_in_force"] = report.in_force_->config_.version_;
        body["differences"] = json::array();
        for (auto const& difference : report.differences_)
        {
            body["differences"].push_back(to_json(difference, arguments));
        }
    }
    std::cout << body.dump(2) << "\n";
}

std::string describe(config_difference const& difference)
{
    std::string text = std::string(name_of(difference.kind_)) + ": " +
                       platform::place_name(difference.place_);
    if (!difference.name_.empty())
    {
        text +=
            (difference.place_.key_ ? " of '" : " '") + difference.name_ + "'";
    }
    else if (difference.place_.part_ == config_part::workspaces)
    {
        text += difference.kind_ == change_kind::added
                    ? ": calls need a key from now on"
                    : ": calls need no key from now on";
    }
    char const* separator = ": ";
    for (auto const& field : difference.fields_)
    {
        text += separator;
        // The place of a part that is no list is its only field.
        if (difference.place_.entry_)
        {
            text += platform::field_name(field.field_) + std::string(" ");
        }
        text += (field.before_.empty() ? "none" : field.before_) + " -> " +
                (field.after_.empty() ? "none" : field.after_);
        separator = ", ";
    }
    return text;
}

std::string count_entries(std::size_t count, config_part part)
{
    return std::to_string(count) + " " +
           platform::place_name({part, std::nullopt, std::nullopt});
}

void print_text(fleet_report const& report, command_arguments const& arguments)
{
    std::vector<config_error> errors;
    for (auto const& fault : report.faults_)
    {
        errors.push_back({file_name{fault.file_}, fault.line_, fault.place_,
                          printable(fault.what_ + "; " + fault.remedy_)});
    }
    print_errors(errors);
    if (!report.checked_)
    {
        return;
    }
    if (report.in_force_)
    {
        std::cout << report.differences_.size() << " differences from version "
                  << report.in_force_->config_.version_ << " in "
                  << arguments.in_force_ << "\n";
        for (auto const& difference : report.differences_)
        {
            std::cout << printable(describe(difference)) << "\n";
        }
    }
    if (errors.empty())
    {
        auto const& listing = *report.checked_;
        std::cout << "version " << listing.config_.version_ << ": "
                  << count_entries(listing.config_.routes_.size(),
                                   config_part::routes)
                  << ", "
                  << count_entries(listing.config_.pools_.size(),
                                   config_part::pools)
                  << ", "
                  << count_entries(listing.workspaces_.size(),
                                   config_part::workspaces)
                  << ": valid\n";
    }
}

int run_check_fleet(command_arguments const& arguments)
{
    if (arguments.positional_.size() != 1)
    {
        throw usage_error("check-fleet takes one file");
    }
    auto const report = make_report(arguments);
    if (arguments.json_)
    {
        print_json(report, arguments);
    }
    else
    {
        print_text(report, arguments);
    }
    return report.faults_.empty() ? exit_fine : exit_usage;
}

constexpr char const* help_text =
    R"(Reads a configuration of the users' platform, in JSON, as the nodes do,
without asking one. Each fault is given as FILE:LINE: PLACE: what is wrong; what
to do, all at once, and the exit status is then 2. A place such as routes[2]
counts from 0. Faults are entries that nodes leave out, routes that can never
match or whose pool has no VMs in service, and limits, weights and keys that
contradict each other. A key is named by its workspace and position and never
printed.

--in-force FILE lists the differences from the version in force and requires a
higher version; the place of something removed is one in that file.
--largest-task CPU,MEM (thousandths of a core, MB) reports each limit that is
below what such a task needs.
)";

} // namespace

command make_check_fleet_command()
{
    return {"check-fleet", "check-fleet FILE [--in-force FILE]",
            "Check a configuration of the users' platform, offline.", help_text,
            &run_check_fleet};
}

} // namespace cuminfold
