#include "fleet_driver.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

std::string centre_name(std::size_t index)
{
    return "dc-" + std::to_string(index + 1);
}

std::vector<std::string> const& duty_names()
{
    static std::vector<std::string> const names = {
        "vm_intake",    "pool_assignment", "pool_moves",
        "wave_planner", "drain_driver",    "vm_probes"};
    return names;
}

} // namespace

config_files files_of(std::map<std::string, std::string> const& texts)
{
    config_files files;
    for (auto const& item : texts)
    {
        files[file_name{item.first}] = config_file{item.second, no_offset, ""};
    }
    return files;
}

fleet_driver::fleet_driver(driver_options options, config_merger merger,
                           config_files const& files)
    : options_(std::move(options)), merger_(merger), random_(options_.seed_),
      config_(std::move(merger))
{
    for (auto const& item : files)
    {
        edit(item.first.text(), item.second.text_);
    }
    for (std::size_t centre = 0; centre < options_.vms_.size(); ++centre)
    {
        for (std::uint32_t i = 0; i < options_.vms_[centre]; ++i)
        {
            std::string const suffix = std::to_string(100 + i);
            add_vm("vm-" + std::to_string(centre + 1) + "-" + suffix,
                   centre_name(centre), "rack-" + std::to_string(i / 4));
        }
        for (std::uint32_t i = 0; i < options_.gateways_; ++i)
        {
            incarnation const gateway{
                node_id{"gw-" + centre_name(centre) + std::to_string(i)}, 1};
            put({{gateway, ++gateway_sequences_[gateway]},
                 record_version,
                 no_offset,
                 gateway_registered{data_centre_name{centre_name(centre)},
                                    "127.0.0.1:1"}});
        }
    }
    make_controllers();
}

void fleet_driver::make_controllers()
{
    controllers_.clear();
    ++life_;
    for (std::size_t centre = 0; centre < options_.vms_.size(); ++centre)
    {
        for (std::uint32_t i = 0; i < options_.controllers_; ++i)
        {
            controller_settings settings;
            settings.self_ = {
                node_id{"c-" + centre_name(centre) + std::to_string(i)}, life_};
            settings.data_centre_ = data_centre_name{centre_name(centre)};
            settings.seed_ = random_();
            fake_controller made;
            made.kernel_ = std::make_unique<controller_kernel>(
                settings, merger_, duty_names());
            controllers_.push_back(std::move(made));
        }
    }
}

void fleet_driver::replace_controllers()
{
    make_controllers();
}

void fleet_driver::step()
{
    now_ += options_.step_;
    wall_ += std::chrono::duration_cast<std::chrono::seconds>(
        now_.time_since_epoch() -
        std::chrono::duration_cast<std::chrono::seconds>(
            (now_ - options_.step_).time_since_epoch()));
    run_vms();
    run_gateways();
    for (auto& controller : controllers_)
    {
        answer_reads(controller);
        auto handle = [&](controller_event const& event)
        {
            for (auto const& action : controller.kernel_->handle(now_, event))
            {
                act(controller, action);
            }
        };
        while (!controller.events_.empty() &&
               controller.events_.front().at_ <= now_)
        {
            controller_event const event = controller.events_.front().event_;
            controller.events_.pop_front();
            handle(event);
        }
        handle(tick{wall_});
    }
}

void fleet_driver::write(record_body body)
{
    incarnation const writer{node_id{"test"}, 1};
    log_offset const version = config_.version();
    put({{writer, ++sequence_}, record_version, version, std::move(body)});
}

void fleet_driver::edit(std::string const& file, std::string const& text)
{
    config_change change;
    auto const known = config_.files().find(file_name{file});
    change.edits_.push_back(
        {file_name{file}, false, text,
         known == config_.files().end() ? no_offset : known->second.revision_});
    log_entry entry{
        config_log_.size(),
        {{{incarnation{node_id{"operator"}, 1}, config_log_.size() + 1},
          record_version,
          no_offset,
          change}}};
    config_log_.push_back(entry);
    config_.apply(entry);
}

void fleet_driver::add_vm(std::string const& name,
                          std::string const& data_centre,
                          std::string const& rack)
{
    fake_vm vm;
    vm.listed_.vm_ = vm_id{name};
    vm.listed_.address_ = "127.0.0.1:2";
    vm.listed_.data_centre_ = data_centre_name{data_centre};
    vm.listed_.rack_ = rack_name{rack};
    vm.listed_.shape_ = {16, 65536, 0, 8, 64};
    vms_[vm.listed_.vm_] = vm;
    ++list_version_;
}

void fleet_driver::fail_rack(std::string const& data_centre,
                             std::string const& rack)
{
    for (auto& item : vms_)
    {
        if (item.second.listed_.data_centre_.text() == data_centre &&
            item.second.listed_.rack_.text() == rack)
        {
            item.second.up_ = false;
            item.second.rebooting_ = false;
            broken_.insert(item.first);
        }
    }
}

void fleet_driver::remove_rack(std::string const& data_centre,
                               std::string const& rack)
{
    fail_rack(data_centre, rack);
    for (auto& item : vms_)
    {
        if (item.second.listed_.data_centre_.text() == data_centre &&
            item.second.listed_.rack_.text() == rack)
        {
            item.second.listed_.state_ = listed_state::gone;
        }
    }
    ++list_version_;
}

std::uint32_t fleet_driver::in_service(pool_name const& pool) const
{
    std::uint32_t count = 0;
    for (auto const& item : judge_.vms().all())
    {
        vm_entry const& vm = item.second;
        bool const heard =
            judge_.vms().unreachable().count(vm.data_centre_) == 0;
        count += vm.pool_ == pool && vm.accepts_work() && heard ? 1 : 0;
    }
    return count;
}

std::uint32_t fleet_driver::reboots_of_one_decision() const
{
    std::uint32_t most = 0;
    for (auto const& item : vms_)
    {
        for (auto const& token : item.second.tokens_)
        {
            most = std::max(most, token.second);
        }
    }
    return most;
}

std::uint64_t fleet_driver::records(std::size_t kind) const
{
    auto const found = kinds_.find(kind);
    return found == kinds_.end() ? 0 : found->second;
}

bool fleet_driver::wave_done(std::string const& wave) const
{
    wave_name const name{wave};
    return !judge_.vms().all().empty() &&
           std::all_of(judge_.vms().all().begin(), judge_.vms().all().end(),
                       [&](auto const& item)
                       {
                           vm_entry const& vm = item.second;
                           return vm.maintained_.count(name) != 0 || vm.down_;
                       });
}

void fleet_driver::act(fake_controller& from, controller_action const& action)
{
    if (auto const* read = std::get_if<log_read>(&action))
    {
        from.reads_.emplace_back(now_, *read);
    }
    else if (auto const* write = std::get_if<log_append>(&action))
    {
        append(from, *write);
    }
    else if (std::holds_alternative<list_vms>(action))
    {
        vm_list list;
        list.version_ = list_version_;
        for (auto const& item : vms_)
        {
            list.vms_.push_back(item.second.listed_);
        }
        from.events_.push_back({now_ + options_.step_, list});
    }
    else if (auto const* probe = std::get_if<probe_vm>(&action))
    {
        fake_vm const* vm = find(probe->vm_);
        probe_result result;
        result.vm_ = probe->vm_;
        result.answered_ = vm != nullptr && vm->up_;
        result.healthy_ = result.answered_;
        result.boot_ = vm != nullptr ? vm->boot_ : 0;
        from.events_.push_back({now_ + options_.step_, result});
    }
    else if (auto const* call = std::get_if<call_platform>(&action))
    {
        fake_vm* vm = find(call->vm_);
        if (vm == nullptr)
        {
            return;
        }
        if (vm->tokens_.count(call->token_) == 0)
        {
            ++vm->tokens_[call->token_];
            ++reboots_;
            vm->up_ = false;
            vm->rebooting_ = broken_.count(call->vm_) == 0;
            vm->back_at_ = now_ + options_.reboot_ +
                           std::chrono::milliseconds{
                               random_() % (options_.reboot_.count() / 2000)};
        }
        bool const replied = !chance(options_.lost_replies_);
        from.events_.push_back(
            {now_ + options_.step_,
             platform_call_result{call->vm_, call->kind_, call->token_, replied,
                                  replied}});
    }
}

void fleet_driver::append(fake_controller& from, log_append const& what)
{
    int const times = chance(options_.doubled_appends_) ? 2 : 1;
    for (int i = 0; i < times; ++i)
    {
        for (auto const& item : what.records_)
        {
            put(item);
        }
    }
    log_append_result result;
    result.stream_ = what.stream_;
    result.ticket_ = what.ticket_;
    result.status_ = chance(options_.lost_replies_)
                         ? log_append_status::unknown
                         : log_append_status::appended;
    from.events_.push_back({now_ + options_.step_, result});
}

/// One entry for each record, so that each effect is checked by itself.
void fleet_driver::put(record const& item)
{
    std::map<vm_id, vm_phase> before;
    for (auto const& known : judge_.vms().all())
    {
        before[known.first] = known.second.phase_;
    }
    log_entry const entry{fleet_log_.size(), {item}};
    fleet_log_.push_back(entry);
    ++kinds_[item.body_.index()];
    if (judge_.apply(entry, config_))
    {
        check(item, before);
    }
}

void fleet_driver::check(record const& item,
                         std::map<vm_id, vm_phase> const& before)
{
    for (auto const& known : before)
    {
        vm_entry const* vm = judge_.vms().find(known.first);
        if (vm == nullptr || vm->phase_ == known.second)
        {
            continue;
        }
        bool const moved = std::holds_alternative<move_assigned>(item.body_);
        moves_ += moved ? 1 : 0;
        bool const stopped = vm->phase_ == vm_phase::releasing ||
                             vm->phase_ == vm_phase::draining;
        auto const budget =
            config_.at(judge_.data().config_floor_)->budgets_.find(vm->pool_);
        bool const planned = stopped && !vm->down_;
        if (planned && config_.current()->budgets_.count(vm->pool_) != 0 &&
            in_service(vm->pool_) < budget->second.need_)
        {
            ++breaches_;
        }
    }
}

void fleet_driver::answer_reads(fake_controller& to)
{
    auto reads = std::move(to.reads_);
    to.reads_.clear();
    for (auto const& item : reads)
    {
        log_read const& read = item.second;
        auto const& log = log_of(read.stream_);
        bool const empty = read.from_ >= log.size();
        duration const wait = empty ? std::max(read.wait_, options_.read_delay_)
                                    : options_.read_delay_;
        if (now_ - item.first < wait)
        {
            to.reads_.push_back(item);
            continue;
        }
        log_read_result result;
        result.stream_ = read.stream_;
        result.from_ = read.from_;
        result.status_ = log_read_status::ok;
        result.end_ = log.size();
        for (auto at = read.from_;
             at < log.size() && result.entries_.size() < read.limit_; ++at)
        {
            result.entries_.push_back(log[at]);
        }
        to.events_.push_front({now_, result});
    }
}

void fleet_driver::run_gateways()
{
    if (gateways_silent_)
    {
        return;
    }
    std::vector<record> ready;
    for (auto const& item : judge_.vms().all())
    {
        vm_entry const& vm = item.second;
        if (vm.phase_ != vm_phase::releasing && vm.phase_ != vm_phase::draining)
        {
            continue;
        }
        for (auto const& gateway : judge_.missing_acknowledgements(vm))
        {
            // The requests in flight end first.
            duration const rest = std::chrono::milliseconds{random_() % 2000};
            auto const at = acknowledge_at_.emplace(
                std::make_pair(gateway, vm.vm_), now_ + rest);
            if (at.first->second <= now_)
            {
                ready.push_back({{gateway, ++gateway_sequences_[gateway]},
                                 record_version,
                                 no_offset,
                                 vm_acknowledged{vm.vm_, vm.released_}});
                acknowledge_at_.erase(at.first);
            }
        }
    }
    for (auto const& item : ready)
    {
        put(item);
    }
}

void fleet_driver::run_vms()
{
    for (auto& item : vms_)
    {
        fake_vm& vm = item.second;
        if (vm.rebooting_ && vm.back_at_ <= now_)
        {
            vm.rebooting_ = false;
            vm.up_ = true;
            ++vm.boot_;
        }
    }
}

bool fleet_driver::chance(std::uint32_t percent)
{
    return random_() % 100 < percent;
}

std::vector<log_entry>& fleet_driver::log_of(stream_name const& stream)
{
    return stream == config_stream() ? config_log_ : fleet_log_;
}

fleet_driver::fake_vm* fleet_driver::find(vm_id const& vm)
{
    auto const found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

} // namespace cuminfold
