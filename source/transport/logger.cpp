#include "transport/logger.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <memory>

namespace cuminfold
{

namespace
{

std::atomic<unsigned long> dropped_lines{0};

log4cplus::LogLevel to_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

char const* level_name(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

/// Writes whole lines to standard output and never waits for its reader.
class prompt_appender : public log4cplus::Appender
{
public:
    ~prompt_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override
    {
        auto& line = formatEvent(event);
        // A pipe that is writable takes this much without waiting.
        constexpr std::size_t longest_line = PIPE_BUF;
        if (line.size() > longest_line)
        {
            line.resize(longest_line - 1);
            line += '\n';
        }
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        bool const room =
            poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!room || write(STDOUT_FILENO, line.data(), line.size()) < 0)
        {
            ++dropped_lines;
        }
    }
};

struct log_state
{
    log4cplus::Initializer initializer_;
    log4cplus::Logger logger_ = log4cplus::Logger::getRoot();
    std::string program_ = "cuminfold";
    log_format format_ = log_format::key_value;
};

log_state& state()
{
    static log_state held;
    return held;
}

std::string quote(std::string const& value)
{
    bool const plain =
        !value.empty() && value.find_first_of(" =\"\n\t") == std::string::npos;
    return plain
               ? value
               : nlohmann::json(value).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string write_key_value(log_level level, std::string_view event,
                            std::initializer_list<log_field> fields)
{
    std::string text = "program=" + state().program_;
    text += std::string(" level=") + level_name(level);
    text += " event=" + std::string(event);
    for (auto const& field : fields)
    {
        text += " " + std::string(field.first) + "=" + quote(field.second);
    }
    return text;
}

std::string write_json(log_level level, std::string_view event,
                       std::initializer_list<log_field> fields)
{
    nlohmann::ordered_json line;
    line["program"] = state().program_;
    line["level"] = level_name(level);
    line["event"] = std::string(event);
    for (auto const& field : fields)
    {
        line[std::string(field.first)] = field.second;
    }
    return line.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

/// The pattern puts the time before the line, or into it.
char const* pattern_of(log_format format)
{
    return format == log_format::json
               ? "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%qZ}\",\"entry\":%m}%n"
               : "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} %m%n";
}

} // namespace

void start_log(std::string const& program, log_format format, log_level least,
               log_target target)
{
    auto& log = state();
    log.program_ = program;
    log.format_ = format;
    log4cplus::SharedAppenderPtr const appender(
        target == log_target::standard_output
            ? static_cast<log4cplus::Appender*>(new prompt_appender)
            : new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT(pattern_of(format))));
    log.logger_.removeAllAppenders();
    log.logger_.addAppender(appender);
    log.logger_.setLogLevel(to_level(least));
}

unsigned long dropped_log_lines()
{
    return dropped_lines;
}

void write_log(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    auto& log = state();
    auto const native = to_level(level);
    if (!log.logger_.isEnabledFor(native))
    {
        return;
    }
    std::string const text = log.format_ == log_format::json
                                 ? write_json(level, event, fields)
                                 : write_key_value(level, event, fields);
    log.logger_.log(native, text);
}

} // namespace cuminfold
