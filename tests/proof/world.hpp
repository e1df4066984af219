#ifndef CUMINFOLD_TESTS_PROOF_WORLD_HPP
#define CUMINFOLD_TESTS_PROOF_WORLD_HPP

#include "kernel/controller/controller_kernel.hpp"
#include "kernel/gateway/gateway_kernel.hpp"
#include "proof/fake_log.hpp"
#include "proof/fake_worker.hpp"
#include "proof/oracle.hpp"
#include "proof/timeline.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// A defect that is built in on purpose, to see a check fail.
enum class seeded_defect
{
    none,
    budget_ignored,        ///< kernels merge files that say need 0
    gateway_declared_gone, ///< a live gateway is recorded as left
    answers_swapped,       ///< the transport hands over another's answer
    lost_called_not_sent,  ///< the transport calls a lost dispatch not sent
    dispatch_repeated,     ///< the network delivers a dispatch twice
    leaving_hidden,        ///< a gateway's adapter hides every sign of leaving
    assignments_hidden,    ///< a gateway's adapter hides assignments to pools
    reboot_at_once,        ///< the platform reboots what is being drained
    log_loses_tail         ///< the log forgets entries that it acknowledged
};

/// Controllers and gateways on virtual time, with fakes at their interfaces.
///
/// Two data centres with three racks of two VMs each, three controllers and
/// three gateways. The commands of the fuzz are its public functions.
class world
{
public:
    explicit world(seeded_defect defect = seeded_defect::none);

    void run_for(duration span);

    // Operators.
    void edit_need(std::uint32_t need);
    void edit_sizes(std::uint32_t tally);
    void race_edits();
    void start_wave(std::string const& strategy);

    // Callers.
    void submit(std::uint32_t count, bool idempotent, bool same_key);
    void submit_job(bool idempotent);
    void cancel_all();

    // Failures.
    void fail_vm(std::size_t index);
    void return_vms();
    void fail_rack(std::size_t index);
    void hang_vm(std::size_t index);
    void break_vm(std::size_t index);
    void leave_vm(std::size_t index);
    void kill_node(std::size_t index);
    void replace_node(std::size_t index);
    void replace_all();
    void pause_node(std::size_t index);
    void resume_all();
    void cut_data_centre(std::size_t index);
    void cut_platform(std::size_t index);
    void heal();
    void jump_clock(std::chrono::seconds by);
    void lose_platform_replies();
    void duplicate_messages();

    // Defects that a command sets off.
    void lose_log_tail();
    void declare_gateway_gone();

    fake_log& log()
    {
        return log_;
    }
    oracle& judge()
    {
        return judge_;
    }

    /// Heals everything, lets the system settle and makes the final checks:
    /// every accepted change is in force at every node.
    void settle();

    /// Writes each VM's pool and phase as the first live controller sees them.
    void dump(std::ostream& out) const;

    /// Events that were handed to kernels.
    std::uint64_t events() const noexcept
    {
        return events_;
    }
    std::uint64_t requests() const noexcept
    {
        return next_request_;
    }

private:
    /// One life of a controller or a gateway.
    struct node
    {
        std::string name_;
        std::string life_;
        std::string address_;
        std::size_t centre_ = 0;
        incarnation self_;
        bool alive_ = true;
        bool paused_ = false;
        std::unique_ptr<controller_kernel> controller_;
        std::unique_ptr<gateway_kernel> gateway_;
        std::vector<std::function<void()>> held_; ///< while paused
        /// Relayed reads and appends, by ticket.
        std::map<std::uint64_t, log_read> reads_;
        std::map<std::uint64_t, log_append> appends_;
        std::string controller_name_; ///< that relays for it
    };
    using node_ptr = std::shared_ptr<node>;

    struct open_request
    {
        std::string root_; ///< the caller's own request
        std::string key_;
        std::string service_;
        bool idempotent_ = true;
        node_ptr gateway_;
        /// Where a forwarded request's answer goes.
        node_ptr from_;
        dispatch_number from_dispatch_ = 0;
    };

    void make_vms();
    node_ptr start_node(std::string const& name, std::size_t centre,
                        bool controller);
    void join(node_ptr const& fresh);
    void tick_node(node_ptr const& who);
    void give(node_ptr const& who, controller_event event);
    void give(node_ptr const& who, gateway_event event);
    void give(node_ptr const& who, log_read_result const& result);
    void give(node_ptr const& who, log_append_result const& result);
    void to_node(node_ptr const& who, duration delay,
                 std::function<void()> work);
    void observe(node_ptr const& who);
    void observe_fleet(fleet_state const& fleet);
    void tell_leaving(node_ptr const& gateway, log_offset next);
    void hide_records(log_read_result& result) const;
    fake_worker::reply_done reply_to(node_ptr const& who,
                                     dispatch_to_worker const& what);

    void act(node_ptr const& who, log_read const& what);
    void act(node_ptr const& who, log_append const& what);
    void act(node_ptr const& who, list_vms const& what);
    void act(node_ptr const& who, probe_vm const& what);
    void act(node_ptr const& who, call_platform const& what);
    void act(node_ptr const& who, call_task const& what);
    void act(node_ptr const& who, send_message const& what);
    void act(node_ptr const& who, relay_read const& what);
    void act(node_ptr const& who, relay_append const& what);
    void act(node_ptr const& who, operator_reply const& what);
    void act(node_ptr const& who, count_reason const& what);
    void act(node_ptr const& who, dispatch_to_worker const& what);
    void act(node_ptr const& who, forward_to_gateway const& what);
    void act(node_ptr const& who, close_dispatch const& what);
    void act(node_ptr const& who, send_answer const& what);
    void act(node_ptr const& who, send_kept_answer const& what);
    void act(node_ptr const& who, send_refusal const& what);
    void act(node_ptr const& who, send_unknown const& what);
    void act(node_ptr const& who, send_job const& what);
    void act(node_ptr const& who, report_hint const& what);
    void act(node_ptr const& who, count_gateway_reason const& what);
    void act(node_ptr const& who, gateway_stopped const& what);

    void finish(request_id const& id, dispatch_end end, std::string body,
                std::optional<reason> cause);
    void on_gateway_message(node_ptr const& who, message const& what);
    void relay_for(node_ptr const& who, message_body const& what);
    node_ptr find(std::string const& name) const;
    fake_worker* worker(vm_id const& vm);
    bool linked(std::size_t a, std::size_t b) const;
    bool reaches_platform(std::size_t centre) const;
    void change(file_edit edit);
    std::string pool_of(std::string const& service) const;
    merge_result merge(config_files const& files) const;
    std::uint32_t random(std::uint32_t below);

    seeded_defect defect_;
    timeline time_;
    oracle judge_;
    fake_log log_;
    std::mt19937_64 random_{11};
    std::map<vm_id, std::unique_ptr<fake_worker>> workers_;
    std::vector<node_ptr> nodes_;
    std::uint64_t list_version_ = 1;
    std::set<std::string> tokens_;
    std::set<std::size_t> cut_centres_;
    std::set<std::size_t> cut_platform_;
    std::uint32_t lose_platform_replies_ = 0;
    std::uint32_t duplicate_messages_ = 0;
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
    std::uint64_t next_life_ = 1;
    std::uint64_t next_request_ = 0;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t next_wave_ = 1;
    std::uint64_t events_ = 0;
    std::map<request_id, open_request> requests_;
    std::map<std::pair<std::string, dispatch_number>, std::string> replies_;
    /// VM and caller's request of each dispatch.
    std::map<std::pair<std::string, dispatch_number>,
             std::pair<std::string, std::string>>
        dispatches_;
    std::string last_answer_;
    /// What the operators want: need and size, with the lower need while a
    /// planned stop from before the last edit may be under way.
    std::uint32_t need_ = 2;
    std::uint32_t judged_need_ = 2;
    std::uint32_t tally_size_ = 6;
    log_offset accepted_ = no_offset;
    time_point last_edit_{};
    log_offset newest_fleet_ = 0;
    /// VMs in a planned stop or move, by fleet offset.
    std::map<log_offset, std::set<std::string>> leaving_at_;
    std::map<vm_id, std::string> last_pool_;
};

} // namespace cuminfold

#endif
