#ifndef CUMINFOLD_NODE_FILE_WATCH_HPP
#define CUMINFOLD_NODE_FILE_WATCH_HPP

#include <optional>
#include <string>
#include <utility>

namespace cuminfold
{

/// Tells whether a file was changed since the last look at it.
class file_watch
{
public:
    explicit file_watch(std::string path);

    /// False at the first look, and while the file cannot be read.
    bool has_changed();

private:
    std::string path_;
    /// Time of its last change in nanoseconds, and its size.
    std::optional<std::pair<long, long>> stamp_;
};

} // namespace cuminfold

#endif
