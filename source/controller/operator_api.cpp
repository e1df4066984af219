#include "controller/operator_api.hpp"

#include "config/value_text.hpp"
#include "kernel/fleet/budget.hpp"
#include "kernel/maintenance/wave_progress.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;

http_response json_response(unsigned status, json const& body)
{
    return make_response(status, "application/json", body.dump() + "\n");
}

json offset_value(log_offset offset)
{
    return offset == no_offset ? json() : json(offset);
}

char const* phase_name(vm_phase phase)
{
    static constexpr std::array<char const*, 6> names = {
        "unassigned", "serving",  "releasing",
        "granted",    "draining", "rebooting"};
    return names[static_cast<std::size_t>(phase)];
}

char const* phase_name(job_phase phase)
{
    static constexpr std::array<char const*, 6> names = {
        "waiting", "placed", "finished", "failed", "cancelled", "unknown"};
    return names[static_cast<std::size_t>(phase)];
}

json describe_config(controller_kernel const& kernel)
{
    json files = json::object();
    for (auto const& item : kernel.config().files())
    {
        files[item.first.text()] = {
            {"revision", offset_value(item.second.revision_)},
            {"text", item.second.text_}};
    }
    auto const& intended = *kernel.config().current();
    auto texts = write_values(kernel.config().files(), intended);
    json values = json::object();
    for (auto const& item : intended.provenance_)
    {
        values[item.first] = {{"value", texts[item.first]},
                              {"file", item.second.text()}};
    }
    return {{"offset", offset_value(kernel.config().version())},
            {"files", files},
            {"values", values}};
}

json describe_status(controller_kernel const& kernel)
{
    json gateways = json::array();
    for (auto const& item : kernel.fleet().gateways().all())
    {
        gateways.push_back({{"node", item.first.text()},
                            {"data_centre", item.second.data_centre_.text()},
                            {"address", item.second.address_}});
    }
    json members = json::array();
    for (auto const& item : kernel.members().members())
    {
        members.push_back(
            {{"node", item.first.text()},
             {"data_centre", item.second.data_centre_.text()},
             {"alive", item.second.status_ == member_status::alive}});
    }
    return {{"ready", kernel.ready()},
            {"config_offset", offset_value(kernel.config().version())},
            {"fleet_next", kernel.fleet().next()},
            {"gateways", gateways},
            {"members", members}};
}

json describe_pools(controller_kernel const& kernel)
{
    json pools = json::array();
    auto const& intended = *kernel.config().current();
    for (auto const& item : intended.pools_)
    {
        pool_usage const& usage = kernel.fleet().vms().usage(item.first);
        json pool = {
            {"pool", item.first.text()}, {"size", item.second.size_},
            {"members", usage.members_}, {"available", usage.available_},
            {"leaving", usage.leaving_}, {"need", nullptr},
            {"spares_missing", 0}};
        auto const budget = intended.budgets_.find(item.first);
        if (budget != intended.budgets_.end())
        {
            pool["need"] = budget->second.need_;
            pool["reserve"] =
                reserve_size(usage, budget->second.reserve_, nullptr);
            pool["spares_missing"] =
                drain_shortfall(kernel.fleet().vms(), intended, item.first);
        }
        pools.push_back(std::move(pool));
    }
    return {{"pools", pools}};
}

json describe_vm(vm_entry const& vm)
{
    return {{"vm", vm.vm_.text()},
            {"pool", vm.pool_.text()},
            {"phase", phase_name(vm.phase_)},
            {"down", vm.down_},
            {"data_centre", vm.data_centre_.text()},
            {"rack", vm.rack_.text()},
            {"address", vm.address_},
            {"generation", vm.generation_},
            {"tasks", vm.tasks_.size()}};
}

json describe_vms(controller_kernel const& kernel)
{
    json vms = json::array();
    for (auto const& item : kernel.fleet().vms().all())
    {
        vms.push_back(describe_vm(item.second));
    }
    return {{"vms", vms}};
}

json describe_waves(controller_kernel const& kernel)
{
    json waves = json::array();
    for (auto const& item : kernel.config().current()->waves_)
    {
        std::uint32_t covered = 0;
        std::uint32_t maintained = 0;
        std::uint32_t in_drain = 0;
        for (auto const& entry : kernel.fleet().vms().all())
        {
            vm_entry const& vm = entry.second;
            if (!wave_covers(item.second, vm))
            {
                continue;
            }
            ++covered;
            maintained += vm.maintained_.count(item.first) != 0 ? 1 : 0;
            in_drain += vm.wave_ == item.first ? 1 : 0;
        }
        auto const& stopped = kernel.fleet().data().stopped_waves_;
        auto const stop = stopped.find(item.first);
        json wave = {{"wave", item.first.text()},
                     {"strategy", item.second.strategy_},
                     {"vms", covered},
                     {"maintained", maintained},
                     {"in_drain", in_drain},
                     {"stopped", nullptr}};
        if (stop != stopped.end())
        {
            wave["stopped"] = std::string(name_of(stop->second));
        }
        waves.push_back(std::move(wave));
    }
    return {{"waves", waves}};
}

json describe_jobs(controller_kernel const& kernel)
{
    json jobs = json::array();
    for (auto const& item : kernel.fleet().jobs().all())
    {
        job_entry const& job = item.second;
        jobs.push_back({{"job", job.job_.text()},
                        {"service", job.request_.service_.text()},
                        {"team", job.request_.team_.text()},
                        {"phase", phase_name(job.phase_)},
                        {"attempt", job.attempt_},
                        {"vm", job.vm_.text()},
                        {"detail", job.detail_}});
    }
    return {{"jobs", jobs}};
}

http_response explain_vm(std::string const& name,
                         controller_kernel const& kernel)
{
    vm_entry const* vm = kernel.fleet().vms().find(vm_id{name});
    if (vm == nullptr)
    {
        return json_response(404, {{"error", "no VM '" + name + "'"}});
    }
    json body = describe_vm(*vm);
    body["target"] = vm->target_.text();
    body["wave"] = vm->wave_.text();
    body["history"] = json::array();
    for (auto const& event : vm->history_)
    {
        body["history"].push_back(
            {{"order", event.order_}, {"what", event.what_}});
    }
    body["waits_for"] = json::array();
    if (vm->phase_ == vm_phase::releasing || vm->phase_ == vm_phase::draining)
    {
        for (auto const& gateway : kernel.fleet().missing_acknowledgements(*vm))
        {
            body["waits_for"].push_back(gateway.node_.text());
        }
    }
    return json_response(200, body);
}

/// Lists the nodes that have applied the configuration at an offset and those
/// that have not. A gateway that is not a member counts as missing.
http_response describe_confirmations(http_request const& request,
                                     controller_kernel const& kernel)
{
    std::string const prefix = "offset=";
    if (request.query_.compare(0, prefix.size(), prefix) != 0)
    {
        return json_response(400, {{"error", "offset: missing"}});
    }
    std::string const text = request.query_.substr(prefix.size());
    bool const is_number =
        !text.empty() && text.size() < 20 &&
        text.find_first_not_of("0123456789") == std::string::npos;
    if (!is_number)
    {
        return json_response(400, {{"error", "offset: not a number"}});
    }
    log_offset const offset = std::stoull(text);
    std::set<std::string> confirmed;
    std::set<std::string> missing;
    for (auto const& item : kernel.members().members())
    {
        bool const applied = item.second.config_next_ > offset;
        (applied ? confirmed : missing).insert(item.first.text());
    }
    for (auto const& item : kernel.fleet().gateways().all())
    {
        if (confirmed.count(item.first.text()) == 0)
        {
            missing.insert(item.first.text());
        }
    }
    return json_response(
        200,
        {{"offset", offset}, {"confirmed", confirmed}, {"missing", missing}});
}

using describer = json (*)(controller_kernel const&);

struct resource
{
    char const* name_;
    describer describe_;
};

constexpr std::array<resource, 6> resources = {{
    {"config", &describe_config},
    {"status", &describe_status},
    {"pools", &describe_pools},
    {"vms", &describe_vms},
    {"waves", &describe_waves},
    {"jobs", &describe_jobs},
}};

} // namespace

http_response answer_operator(http_request const& request,
                              controller_kernel const& kernel)
{
    auto const parts = request.parts();
    if (parts.size() == 4 && parts[1] == "explain" && parts[2] == "vm")
    {
        return explain_vm(parts[3], kernel);
    }
    if (parts.size() == 2 && parts[0] == "v1" && parts[1] == "confirmations")
    {
        return describe_confirmations(request, kernel);
    }
    for (auto const& entry : resources)
    {
        if (parts.size() == 2 && parts[0] == "v1" && parts[1] == entry.name_)
        {
            return json_response(200, entry.describe_(kernel));
        }
    }
    return json_response(404, {{"error", "no such resource"}});
}

std::variant<config_change, std::string>
parse_change(http_request const& request)
{
    json const body = json::parse(request.body_, nullptr, false);
    if (!body.is_object())
    {
        return "expected a JSON object";
    }
    config_change change;
    try
    {
        change.author_ = body.value("author", "");
        for (auto const& item : body.at("edits"))
        {
            file_edit edit;
            edit.file_ = file_name{item.at("file").get<std::string>()};
            edit.removed_ = item.value("removed", false);
            edit.text_ = item.value("text", "");
            json const expected = item.value("expected", json());
            edit.expected_revision_ =
                expected.is_null() ? no_offset : expected.get<log_offset>();
            change.edits_.push_back(std::move(edit));
        }
    }
    catch (json::exception const& error)
    {
        return std::string(error.what());
    }
    return change;
}

http_response describe_outcome(operator_reply const& reply)
{
    change_outcome const& outcome = reply.outcome_;
    if (reply.unknown_)
    {
        return json_response(
            504, {{"outcome", "unknown"}, {"reason", "append_unknown"}});
    }
    if (outcome.accepted_)
    {
        return json_response(
            200, {{"outcome", "in-force"}, {"offset", outcome.offset_}});
    }
    json errors = json::array();
    for (auto const& error : outcome.errors_)
    {
        errors.push_back({{"file", error.file_.text()},
                          {"line", error.line_},
                          {"key", error.key_},
                          {"what", error.what_}});
    }
    json conflicts = json::array();
    for (auto const& file : outcome.conflicts_)
    {
        conflicts.push_back(file.text());
    }
    json in_force = json::object();
    for (auto const& conflict : outcome.conflict_details_)
    {
        in_force[conflict.file_.text()] = {
            {"revision", offset_value(conflict.revision_)},
            {"author", conflict.author_}};
    }
    bool const invalid = outcome.cause_ == reason::config_invalid;
    return json_response(invalid ? 422 : 409,
                         {{"outcome", "not-run"},
                          {"reason", std::string(name_of(outcome.cause_))},
                          {"offset", outcome.offset_},
                          {"conflicts", conflicts},
                          {"in_force", in_force},
                          {"errors", errors}});
}

} // namespace cuminfold
