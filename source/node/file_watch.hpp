#ifndef CUMINFOLD_NODE_FILE_WATCH_HPP
#define CUMINFOLD_NODE_FILE_WATCH_HPP

#include <optional>
#include <string>
#include <utility>

namespace cuminfold
{

/// Detects changes of a file by its modification time and size.
class file_watch
{
public:
    /// @param path need not exist yet
    explicit file_watch(std::string path);

    /// Whether the file changed since the last call. False on the first call
    /// and while the file's status cannot be read.
    bool has_changed();

private:
    std::string path_;
    /// Modification time in nanoseconds, and size in bytes.
    std::optional<std::pair<long, long>> stamp_;
};

} // namespace cuminfold

#endif
