#include "kernel/cell/fleet_plan.hpp"

#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t vm_count = 12;
constexpr std::uint32_t max_at_once = 3;
constexpr wave_number wave = 4;
/// Two owners' orders for one VM must be this far apart.
constexpr duration order_lease = 3000ms;
constexpr duration job_interval = 300ms;
constexpr std::uint32_t max_jobs = 40;
constexpr duration maintenance_time = 2000ms;
constexpr duration order_latency = 5ms;
constexpr duration order_timeout = 600ms;
/// A late order is carried out within this time.
constexpr std::uint32_t max_late_ms = 3500;
/// The platform's list may be this old.
constexpr duration list_age = 400ms;

/// A platform that maintains VMs for successive owners, and an oracle that
/// checks each order when the platform carries it out.
class wave_world
{
public:
    /// @param late_percent share of the orders that are carried out late,
    /// without an answer
    /// @param restores whether a new owner reads the stored records of orders
    wave_world(std::uint32_t seed, std::uint32_t late_percent, bool restores)
        : random_(seed), late_percent_(late_percent), restores_(restores),
          jobs_(seed, vm_count)
    {
        order_.number_ = wave;
        order_.max_at_once_ = max_at_once;
        for (std::uint32_t i = 0; i < vm_count; ++i)
        {
            listed_vm vm;
            vm.vm_ = vm_id{"vm" + std::to_string(i)};
            vm.pool_ = pool_name{"tally"};
            vm.status_ = vm_status::up;
            vm.worker_ = jobs_.worker(i).entry_.id_;
            vms_[vm.vm_] = vm;
            order_.vms_.push_back(vm.vm_);
        }
        start_plan();
        jobs_.run_for(100ms);
    }

    void take_over()
    {
        ++owner_;
        jobs_.take_over();
        start_plan();
        if (restores_)
        {
            for (auto const& each : jobs_.stored_texts(record_kind::vm_order))
            {
                plan_->restore_order(vm_id{each.first}, each.second,
                                     jobs_.now());
            }
            for (auto const& each : jobs_.stored_texts(record_kind::wave))
            {
                plan_->restore_wave(std::stoll(each.first));
            }
        }
        plan_->set_waves({{wave, order_}}, jobs_.now());
    }

    void set_wave()
    {
        plan_->set_waves({{wave, order_}}, jobs_.now());
    }

    void run_for(duration time)
    {
        for (auto const end = jobs_.now() + time; jobs_.now() < end;)
        {
            submit_job();
            jobs_.run_for(20ms);
            while (!events_.empty() && events_.begin()->first <= jobs_.now())
            {
                auto const event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            plan_->tick(jobs_.now(), jobs_.now());
            for (auto const& action : plan_->take_actions())
            {
                carry_out(action);
            }
        }
    }

    bool has_violation(std::string const& rule) const
    {
        return violations_.find(rule) != std::string::npos;
    }

    std::string violations_;
    bool completed_ = false;
    std::chrono::milliseconds list_latency_{20};
    /// Orders of the wave that the platform carried out although it had begun
    /// that VM's maintenance before.
    std::uint32_t repeated_ = 0;

private:
    void start_plan()
    {
        plan_ =
            std::make_unique<fleet_plan>(fleet_plan_options{}, jobs_.owner());
    }

    /// Keeps some workers busy, so that successive owners prefer different VMs.
    void submit_job()
    {
        if (jobs_.now() >= next_job_ && submitted_ < max_jobs)
        {
            next_job_ = jobs_.now() + job_interval;
            jobs_.submit("job" + std::to_string(++submitted_),
                         {cell_world::make_step(1 + random_() % 6, 9000,
                                                std::chrono::milliseconds{
                                                    100 + random_() % 900})});
        }
    }

    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(jobs_.now() + delay, std::move(event));
    }

    void carry_out(fleet_action const& action)
    {
        if (std::holds_alternative<list_vms>(action))
        {
            answer_list();
        }
        else if (auto const* const order = std::get_if<maintain_vm>(&action))
        {
            send(order->vm_);
        }
        else if (auto const* const report = std::get_if<report_wave>(&action))
        {
            receive(*report);
        }
    }

    void answer_list()
    {
        auto seen = vms_;
        if (random_() % 2 == 0)
        {
            seen = earlier_;
        }
        after(list_latency_,
              [this, seen, owner = owner_, requested_at = jobs_.now()]
              {
                  if (owner == owner_)
                  {
                      vm_list list;
                      for (auto const& vm : seen.empty() ? vms_ : seen)
                      {
                          list.vms_.push_back(vm.second);
                      }
                      plan_->listed(std::move(list), requested_at, jobs_.now());
                  }
              });
        after(list_age, [this, state = vms_] { earlier_ = state; });
    }

    void send(vm_id const& vm)
    {
        bool const late = random_() % 100 < late_percent_;
        after(late ? std::chrono::milliseconds{random_() % max_late_ms}
                   : order_latency,
              [this, vm, late, owner = owner_]
              {
                  auto const outcome = execute(vm, owner);
                  if (!late && owner == owner_)
                  {
                      plan_->maintained(vm, wave, outcome, jobs_.now());
                  }
              });
        if (late)
        {
            after(order_timeout,
                  [this, vm, owner = owner_]
                  {
                      if (owner == owner_)
                      {
                          plan_->maintained(vm, wave, vm_outcome::no_answer,
                                            jobs_.now());
                      }
                  });
        }
    }

    vm_outcome execute(vm_id const& vm, std::uint32_t owner)
    {
        auto& state = vms_.at(vm);
        auto const last = last_orders_.find(vm);
        if (last != last_orders_.end() && last->second.first != owner &&
            jobs_.now() < last->second.second + order_lease)
        {
            violations_ += "ONE " + vm.text() + "\n";
        }
        last_orders_[vm] = {owner, jobs_.now()};
        if (maintained_.count(vm) != 0)
        {
            ++repeated_;
            return vm_outcome::done;
        }
        if (state.status_ != vm_status::up)
        {
            return vm_outcome::busy;
        }
        auto const down = std::count_if(
            vms_.begin(), vms_.end(),
            [](auto const& each)
            { return each.second.status_ == vm_status::maintained; });
        if (down >= max_at_once)
        {
            violations_ += "LIMIT " + vm.text() + "\n";
        }
        maintained_.insert(vm);
        state.status_ = vm_status::maintained;
        state.worker_.clear();
        auto const number =
            static_cast<std::uint32_t>(std::stoul(vm.text().substr(2)));
        jobs_.crash(number);
        jobs_.cut(number, true);
        after(maintenance_time,
              [this, vm, number]
              {
                  jobs_.cut(number, false);
                  vms_.at(vm).status_ = vm_status::up;
                  vms_.at(vm).worker_ = jobs_.worker(number).entry_.id_;
              });
        return vm_outcome::done;
    }

    void receive(report_wave const& report)
    {
        if (report.completed_)
        {
            completed_ = true;
            if (maintained_.size() < vm_count)
            {
                violations_ += "MIXED\n";
            }
        }
        plan_->reported(report.wave_, true);
    }

    std::mt19937 random_;
    std::uint32_t late_percent_;
    bool restores_;
    cell_world jobs_;
    std::unique_ptr<fleet_plan> plan_;
    std::uint32_t owner_ = 0;
    std::uint32_t submitted_ = 0;
    time_point next_job_{};
    wave_order order_;
    std::map<vm_id, listed_vm> vms_;
    /// The platform's state some time ago, which it may still list.
    std::map<vm_id, listed_vm> earlier_;
    std::set<vm_id> maintained_;
    std::map<vm_id, std::pair<std::uint32_t, time_point>> last_orders_;
    std::multimap<time_point, std::function<void()>> events_;
};

} // namespace

TEST_CASE("a takeover at any moment of a wave keeps its limit and its VMs")
{
    for (auto moment = 0ms; moment <= 10'000ms; moment += 200ms)
    {
        CAPTURE(moment.count());
        wave_world world(static_cast<std::uint32_t>(moment.count()), 0, true);
        world.set_wave();
        world.run_for(moment);
        world.take_over();
        world.run_for(30'000ms);
        CHECK(world.violations_ == "");
        CHECK(world.completed_);
    }
}

// Guards against a VM that counts as returned by a list from before its order
// took effect.
TEST_CASE("slow lists and late orders keep the limit of a wave of one owner")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        wave_world world(seed, 10 * (seed % 5), true);
        world.list_latency_ = std::chrono::milliseconds{20 * seed};
        world.set_wave();
        world.run_for(60'000ms);
        CHECK(world.violations_ == "");
        CHECK(world.completed_);
    }
}

TEST_CASE("takeovers in series with late orders keep the limit of a wave")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        wave_world world(seed, 20, true);
        std::mt19937 random(seed);
        world.set_wave();
        for (int i = 0; i < 3; ++i)
        {
            world.run_for(std::chrono::milliseconds{random() % 5000});
            world.take_over();
        }
        world.run_for(40'000ms);
        CHECK(world.violations_ == "");
        CHECK(world.completed_);
    }
}

TEST_CASE("the oracle reports an owner that forgets the orders before it")
{
    bool exceeded = false;
    bool crossed = false;
    for (auto moment = 200ms; moment <= 4000ms; moment += 200ms)
    {
        wave_world world(1, 50, false);
        world.set_wave();
        world.run_for(moment);
        world.take_over();
        world.run_for(20'000ms);
        exceeded = exceeded || world.has_violation("LIMIT");
        crossed = crossed || world.has_violation("ONE");
    }
    CHECK(exceeded);
    CHECK(crossed);
}

TEST_CASE("a new owner repeats no maintenance that the store records")
{
    wave_world world(3, 0, true);
    world.set_wave();
    world.run_for(8'000ms);
    world.take_over();
    world.run_for(30'000ms);
    CHECK(world.completed_);
    CHECK(world.repeated_ == 0);
}
