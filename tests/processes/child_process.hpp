#ifndef CUMINFOLD_TESTS_PROCESSES_CHILD_PROCESS_HPP
#define CUMINFOLD_TESTS_PROCESSES_CHILD_PROCESS_HPP

#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace cuminfold
{

/// A program that a test started; killed at the end if it still runs.
class child_process
{
public:
    /// @param errors file that takes its stderr
    child_process(std::string const& path, std::vector<std::string> arguments,
                  std::string errors);
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// The next address of a line `listening ADDRESS:PORT`.
    /// @throws std::runtime_error if the program ends first
    std::string next_address();

    /// Sends SIGTERM.
    void terminate() const;
    void send(int signal) const;
    /// The exit status, or 128 and the signal; -1 while it runs.
    int poll();
    /// From now on its stdout goes to that file.
    void keep_output(std::string const& path);
    /// Sends SIGKILL and waits.
    void kill();
    /// Waits for the end; returns the exit status, or 128 and the signal.
    int wait();

    pid_t pid() const noexcept
    {
        return pid_;
    }

    /// What it has written on stderr.
    std::string errors() const;

private:
    pid_t pid_ = -1;
    int output_ = -1;
    std::string kept_;
    std::string errors_;
    int status_ = -1;
    std::thread copier_;
};

} // namespace cuminfold

#endif
