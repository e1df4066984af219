#ifndef CUMINFOLD_TRANSPORT_SIGNALS_HPP
#define CUMINFOLD_TRANSPORT_SIGNALS_HPP

namespace cuminfold
{

/// Blocks SIGTERM and SIGINT in this thread and those it starts; called before
/// the first thread is started.
void block_stop_signals();

/// Waits until the process is asked to stop.
void wait_for_stop_signal();

} // namespace cuminfold

#endif
