#include "node/file_watch.hpp"

#include <sys/stat.h>

namespace cuminfold
{

file_watch::file_watch(std::string path) : path_(std::move(path)) {}

bool file_watch::has_changed()
{
    constexpr long nanoseconds = 1'000'000'000;
    struct stat state
    {
    };
    if (stat(path_.c_str(), &state) != 0)
    {
        return false;
    }
    auto const stamp = std::make_pair(state.st_mtim.tv_sec * nanoseconds +
                                          state.st_mtim.tv_nsec,
                                      static_cast<long>(state.st_size));
    bool const changed = stamp_ && *stamp_ != stamp;
    stamp_ = stamp;
    return changed;
}

} // namespace cuminfold
