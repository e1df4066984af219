#ifndef CUMINFOLD_TESTS_FLEET_DRIVER_HPP
#define CUMINFOLD_TESTS_FLEET_DRIVER_HPP

#include "kernel/controller/controller_kernel.hpp"
#include "kernel/streams.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// What a `fleet_driver` is made of.
struct driver_options
{
    std::uint64_t seed_ = 1;
    /// VMs of each data centre, four to a rack.
    std::vector<std::uint32_t> vms_ = {20, 16, 16};
    std::uint32_t controllers_ = 2;
    std::uint32_t gateways_ = 2;
    duration step_ = std::chrono::milliseconds{500};
    /// Of a hundred appends and calls, so many lose their reply.
    std::uint32_t lost_replies_ = 0;
    /// Of a hundred appends, so many are written twice.
    std::uint32_t doubled_appends_ = 0;
    duration read_delay_{0};
    duration reboot_ = std::chrono::seconds{60};
};

/// Drives controllers' kernels over a fake log, fake workers and fake gateways
/// in virtual time, and checks the fold against the pools' needs.
class fleet_driver
{
public:
    fleet_driver(driver_options options, config_merger merger,
                 config_files const& files);

    /// One step of time for everything.
    void step();
    /// Steps until `done()` or the limit. @return whether it was done.
    template <class Done>
    bool run(duration limit, Done&& done)
    {
        time_point const end = now_ + limit;
        while (now_ < end && !done())
        {
            step();
        }
        return done();
    }

    fleet_state const& fleet() const noexcept
    {
        return judge_;
    }
    intended_state const& intended() const
    {
        return *config_.current();
    }
    time_point now() const noexcept
    {
        return now_;
    }
    /// Appends a record as a writer that is no controller.
    void write(record_body body);
    /// Edits one operators' file.
    void edit(std::string const& file, std::string const& text);
    /// Replaces the controllers: nothing that they knew is left.
    void replace_controllers();
    /// The whole rack answers no more.
    void fail_rack(std::string const& data_centre, std::string const& rack);
    /// The platform lists the rack's VMs as gone.
    void remove_rack(std::string const& data_centre, std::string const& rack);
    void add_vm(std::string const& name, std::string const& data_centre,
                std::string const& rack);
    /// The VM's next reboot does not end.
    void break_reboot(vm_id const& vm)
    {
        broken_.insert(vm);
    }
    void silence_gateways(bool silent)
    {
        gateways_silent_ = silent;
    }
    void set_wall(wall_time wall)
    {
        wall_ = wall;
    }

    /// VMs of the pool that are up and take work, counted one by one.
    std::uint32_t in_service(pool_name const& pool) const;
    /// Planned stops that left a pool below its need.
    std::uint32_t breaches() const noexcept
    {
        return breaches_;
    }
    std::uint32_t moves() const noexcept
    {
        return moves_;
    }
    std::uint32_t reboots() const noexcept
    {
        return reboots_;
    }
    /// Most reboots that one decision led to.
    std::uint32_t reboots_of_one_decision() const;
    std::uint64_t entries() const noexcept
    {
        return fleet_log_.size();
    }
    std::uint64_t records(std::size_t kind) const;
    /// Whether all VMs that the wave covers were maintained or are down.
    bool wave_done(std::string const& wave) const;

private:
    struct fake_vm
    {
        listed_vm listed_;
        bool up_ = true;
        std::uint64_t boot_ = 1;
        time_point back_at_{};
        bool rebooting_ = false;
        std::map<std::string, std::uint32_t> tokens_;
    };
    struct delayed
    {
        time_point at_;
        controller_event event_;
    };
    struct fake_controller
    {
        std::unique_ptr<controller_kernel> kernel_;
        std::deque<delayed> events_;
        std::vector<std::pair<time_point, log_read>> reads_;
    };

    void make_controllers();
    void act(fake_controller& from, controller_action const& action);
    void append(fake_controller& from, log_append const& what);
    void put(record const& item);
    void check(record const& item, std::map<vm_id, vm_phase> const& before);
    void answer_reads(fake_controller& to);
    void run_gateways();
    void run_vms();
    bool chance(std::uint32_t percent);
    std::vector<log_entry>& log_of(stream_name const& stream);
    fake_vm* find(vm_id const& vm);

    driver_options options_;
    config_merger merger_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
    std::uint64_t life_ = 0;
    std::uint64_t sequence_ = 0;
    std::vector<log_entry> config_log_;
    std::vector<log_entry> fleet_log_;
    config_state config_;
    fleet_state judge_;
    std::vector<fake_controller> controllers_;
    std::map<vm_id, fake_vm> vms_;
    std::uint64_t list_version_ = 1;
    std::set<vm_id> broken_;
    bool gateways_silent_ = false;
    std::map<std::pair<incarnation, vm_id>, time_point> acknowledge_at_;
    std::uint32_t breaches_ = 0;
    std::uint32_t moves_ = 0;
    std::uint32_t reboots_ = 0;
    std::map<std::size_t, std::uint64_t> kinds_;
    std::map<incarnation, std::uint64_t> gateway_sequences_;
};

/// Reads the files of a folder, or makes files of texts.
config_files files_of(std::map<std::string, std::string> const& texts);

} // namespace cuminfold

#endif
