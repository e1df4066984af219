#ifndef REVIEW_STAND_IN_3_RECORD_HPP
#define REVIEW_STAND_IN_3_RECORD_HPP

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using std::chrono::milliseconds;

inline long long ms(clock_type::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

/// What was sent, answered and run: a line each, with the seconds since the
/// start of the program.
class record_file
{
public:
    explicit record_file(std::string const& path) : out_(path) {}

    void write(std::string const& line)
    {
        std::lock_guard<std::mutex> const guard(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ",
                      static_cast<double>(ms(clock_type::now() - begin_)) /
                          1000);
        out_ << time << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    time_point begin_ = clock_type::now();
};

} // namespace review

#endif
