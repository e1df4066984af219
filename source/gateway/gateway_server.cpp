#include "gateway/gateway_server.hpp"

#include "config/merge_files.hpp"
#include "gateway/caller_duty.hpp"
#include "gateway/exchange_store.hpp"
#include "gateway/gateway_settings_file.hpp"
#include "gateway/kernel_loop.hpp"
#include "gateway/link_duty.hpp"
#include "gateway/worker_duty.hpp"
#include "transport/metrics.hpp"
#include "transport/signals.hpp"

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

constexpr std::size_t control_capacity = 16;
/// Time for the callers' connections to close after the last responses.
constexpr duration close_timeout = std::chrono::seconds{15};

/// The gateway's threads: one each for callers, workers, controller links and
/// the kernel.
class gateway_program
{
public:
    explicit gateway_program(gateway_program_settings settings)
        : settings_(std::move(settings)),
          exchanges_(settings_.body_store_bytes_),
          callers_(exchanges_, metrics_, settings_.callers_,
                   settings_.kernel_.self_, settings_.ring_capacity_),
          workers_(exchanges_, settings_.workers_, settings_.ring_capacity_),
          links_(metrics_, settings_.ring_capacity_)
    {
    }

    int run()
    {
        std::string const address = callers_.listen(settings_.listen_);
        settings_.kernel_.address_ = address;
        make_kernel(address);
        for (auto* thread : threads())
        {
            thread->start();
        }
        kernel_->start();
        announce(address);
        write_log(log_level::info, "started",
                  {{"address", address},
                   {"node", settings_.kernel_.self_.node_.text()}});
        wait_for_stop_signal();
        return stop();
    }

private:
    std::array<io_thread*, 3> threads()
    {
        return {&callers_.thread(), &workers_.thread(), &links_.thread()};
    }

    void make_kernel(std::string const& address)
    {
        auto made =
            std::make_unique<gateway_kernel>(settings_.kernel_, &merge_files);
        gateway_kernel const& kernel = *made;
        kernel_ = std::make_unique<kernel_loop>(
            std::move(made), settings_.tick_,
            [] { return gateway_event{gateway_tick{}}; },
            [this, &kernel](gateway_action&& action)
            { perform(std::move(action), kernel); });
        kernel_->set_backlog([this] { return flush(); },
                             settings_.ring_capacity_);
        control_ = &kernel_->add_input(control_capacity, input_kind::results);
        std::uint32_t const capacity = settings_.ring_capacity_;
        workers_.attach(*kernel_, capacity);
        links_.attach(*kernel_, capacity, describe_self(address),
                      settings_.controllers_);
        callers_.attach(*kernel_, capacity);
    }

    hello describe_self(std::string const& address) const
    {
        hello self;
        self.node_ = settings_.kernel_.self_;
        self.role_ = node_role::gateway;
        self.data_centre_ = settings_.kernel_.data_centre_;
        self.address_ = address;
        return self;
    }

    int stop()
    {
        write_log(log_level::info, "stopping");
        callers_.leave();
        control_->submit(gateway_stop{});
        bool const clean =
            stopped_.get_future().wait_for(settings_.stop_limit_) ==
            std::future_status::ready;
        auto const closed = std::make_shared<std::promise<void>>();
        callers_.stop([closed] { closed->set_value(); });
        closed->get_future().wait_for(close_timeout);
        kernel_->stop();
        for (auto* thread : threads())
        {
            thread->stop();
        }
        write_log(log_level::info, "stopped");
        return clean ? exit_fine : exit_failed;
    }

    /// Passes queued actions to their threads; returns how many are still
    /// queued.
    std::size_t flush()
    {
        std::size_t waiting = 0;
        for (auto* thread : threads())
        {
            waiting += thread->flush();
        }
        return waiting;
    }

    /// Passes an action to the thread that performs it. Called on the kernel's
    /// thread.
    void perform(gateway_action&& action, gateway_kernel const& kernel)
    {
        std::visit([&](auto& what) { route(what, kernel); }, action);
    }

    template <class Duty, class Action>
    void put(Duty& duty, Action& what)
    {
        duty.thread().put([&duty, held = std::make_shared<Action>(
                                      std::move(what))] { duty.act(*held); });
    }

    void route(log_read& what, gateway_kernel const&)
    {
        put(links_, what);
    }

    void route(log_append& what, gateway_kernel const&)
    {
        put(links_, what);
    }

    void route(report_hint& what, gateway_kernel const&)
    {
        put(links_, what);
    }

    void route(dispatch_to_worker& what, gateway_kernel const&)
    {
        put(workers_, what);
    }

    void route(forward_to_gateway& what, gateway_kernel const&)
    {
        put(workers_, what);
    }

    void route(close_dispatch& what, gateway_kernel const&)
    {
        put(workers_, what);
    }

    void route(send_job& what, gateway_kernel const& kernel)
    {
        callers_.answer_job(what, kernel.fleet());
    }

    void route(count_gateway_reason& what, gateway_kernel const&)
    {
        metrics_.count(what.cause_);
    }

    void route(gateway_stopped&, gateway_kernel const&)
    {
        if (!stop_reported_)
        {
            stop_reported_ = true;
            // Queued on the callers' thread so that it runs after the last
            // answers.
            callers_.thread().put([this] { stopped_.set_value(); });
        }
    }

    template <class Answer>
    void route(Answer& what, gateway_kernel const&)
    {
        put(callers_, what);
    }

    gateway_program_settings settings_;
    metrics metrics_;
    exchange_store exchanges_;
    caller_duty callers_;
    worker_duty workers_;
    link_duty links_;
    std::unique_ptr<kernel_loop> kernel_;
    kernel_loop::input* control_ = nullptr;
    std::promise<void> stopped_;
    bool stop_reported_ = false;
};

} // namespace

int run_gateway(server_arguments const& arguments)
{
    auto const settings = load_gateway_settings(arguments);
    start_log("cuminfold-gateway", settings.log_.format_, settings.log_.level_);
    gateway_program program(settings);
    return program.run();
}

} // namespace cuminfold
