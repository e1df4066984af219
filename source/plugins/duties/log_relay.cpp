#include "kernel/controller/controller_duty.hpp"
#include "kernel/registry.hpp"

#include <memory>
#include <variant>

namespace cuminfold
{

namespace
{

/// Reads and appends to the platform's log for gateways, and for controllers
/// that cannot reach it.
class log_relay : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* received = std::get_if<peer_message>(&event))
        {
            pass_on(context, *received);
        }
        else if (auto const* read = std::get_if<relay_read_done>(&event))
        {
            context.actions_.emplace_back(send_message{
                read->peer_.node_,
                message{relayed_read_result{read->ticket_, read->result_}}});
        }
        else if (auto const* append = std::get_if<relay_append_done>(&event))
        {
            context.actions_.emplace_back(send_message{
                append->peer_.node_, message{relayed_append_result{
                                         append->ticket_, append->result_}}});
        }
    }

private:
    static void pass_on(duty_context& context, peer_message const& received)
    {
        auto const& body = received.message_.body_;
        if (auto const* read = std::get_if<relayed_read>(&body))
        {
            context.actions_.emplace_back(
                relay_read{received.from_, read->ticket_, read->read_});
        }
        else if (auto const* append = std::get_if<relayed_append>(&body))
        {
            context.actions_.emplace_back(
                relay_append{received.from_, append->ticket_, append->append_});
        }
    }
};

registrar<controller_duty> const registered{
    "log_relay",
    [](controller_settings const&) { return std::make_unique<log_relay>(); }};

} // namespace

} // namespace cuminfold
