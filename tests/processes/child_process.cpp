#include "child_process.hpp"

#include <csignal>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace cuminfold
{

namespace
{

int status_of(int raw)
{
    constexpr int signal_base = 128;
    return WIFEXITED(raw) ? WEXITSTATUS(raw) : signal_base + WTERMSIG(raw);
}

} // namespace

child_process::child_process(std::string const& path,
                             std::vector<std::string> arguments,
                             std::string errors)
    : errors_(std::move(errors))
{
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
    {
        throw std::runtime_error("no pipe");
    }
    output_ = ends[0];
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_adddup2(&files, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&files, STDERR_FILENO, errors_.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    arguments.insert(arguments.begin(), path);
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
    {
        raw.push_back(argument.data());
    }
    raw.push_back(nullptr);
    int const failed =
        posix_spawn(&pid_, path.c_str(), &files, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    ::close(ends[1]);
    if (failed != 0)
    {
        throw std::runtime_error("cannot start " + path);
    }
}

child_process::~child_process()
{
    if (status_ < 0)
    {
        kill();
    }
    if (copier_.joinable())
    {
        copier_.join();
    }
    ::close(output_);
}

std::string child_process::next_address()
{
    static std::string const mark = "listening ";
    for (;;)
    {
        auto const end = kept_.find('\n');
        if (end != std::string::npos)
        {
            std::string const line = kept_.substr(0, end);
            kept_.erase(0, end + 1);
            if (line.rfind(mark, 0) == 0)
            {
                return line.substr(mark.size());
            }
            continue;
        }
        char bytes[512];
        ssize_t const count = ::read(output_, bytes, sizeof bytes);
        if (count <= 0)
        {
            throw std::runtime_error("the program ended: " + errors());
        }
        kept_.append(bytes, static_cast<std::size_t>(count));
    }
}

void child_process::terminate() const
{
    send(SIGTERM);
}

void child_process::send(int signal) const
{
    ::kill(pid_, signal);
}

int child_process::poll()
{
    if (status_ < 0)
    {
        int raw = 0;
        if (waitpid(pid_, &raw, WNOHANG) == pid_)
        {
            status_ = status_of(raw);
        }
    }
    return status_;
}

void child_process::keep_output(std::string const& path)
{
    copier_ = std::thread(
        [from = output_, path]
        {
            std::ofstream to(path);
            char bytes[4096];
            for (ssize_t count = 0;
                 (count = ::read(from, bytes, sizeof bytes)) > 0;)
            {
                to.write(bytes, count);
            }
        });
}

void child_process::kill()
{
    ::kill(pid_, SIGKILL);
    wait();
}

int child_process::wait()
{
    if (status_ < 0)
    {
        int raw = 0;
        waitpid(pid_, &raw, 0);
        status_ = status_of(raw);
    }
    return status_;
}

std::string child_process::errors() const
{
    std::ifstream in(errors_);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace cuminfold
