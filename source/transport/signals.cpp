#include "transport/signals.hpp"

#include <csignal>

#include <pthread.h>

namespace cuminfold
{

namespace
{

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void block_stop_signals()
{
    sigset_t const set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void wait_for_stop_signal()
{
    sigset_t const set = stop_signals();
    int number = 0;
    sigwait(&set, &number);
}

} // namespace cuminfold
