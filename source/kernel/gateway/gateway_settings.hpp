#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_SETTINGS_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_SETTINGS_HPP

#include "kernel/identifier.hpp"
#include "kernel/log/log_tail.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/request/request_options.hpp"
#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>

namespace cuminfold
{

/// Settings of a gateway's kernel.
struct gateway_settings
{
    incarnation self_;
    data_centre_name data_centre_;
    /// Address to which other gateways forward requests, `IP:PORT`.
    std::string address_;
    /// Number of the streams `claims-<k>`.
    std::uint32_t claim_shards_ = 4;
    log_tail_options tail_;
    log_writer_options writer_;
    /// Registered names of the strategies.
    std::string routing_ = "fixed_share";
    std::string admission_ = "deadline_aware";
    std::string retry_ = "budgeted";
    /// Maximum number of queued requests of one service.
    std::uint32_t queue_limit_ = 256;
    /// Number of gateways of the data centre that share the workers' slots;
    /// 0: the number of registered gateways.
    std::uint32_t gateways_ = 0;
    request_options requests_;
    /// Seed of the kernel's random engine.
    std::uint64_t seed_ = 1;
};

} // namespace cuminfold

#endif
