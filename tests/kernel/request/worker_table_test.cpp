#include "kernel/request/worker_table.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

pool_name const pool{"p"};

vm_entry make_vm(int number)
{
    vm_entry vm;
    vm.vm_ = vm_id{"vm-" + std::to_string(number)};
    vm.pool_ = pool;
    vm.phase_ = vm_phase::serving;
    vm.shape_.slots_ = 8;
    return vm;
}

} // namespace

TEST_CASE("the ejected workers of a pool never exceed the limit")
{
    check_property("ejection limit",
                   [](std::vector<std::uint16_t> const& ends)
                   {
                       request_options options;
                       worker_table table(options);
                       constexpr int size = 7;
                       for (int i = 0; i < size; ++i)
                       {
                           table.update(make_vm(i));
                       }
                       time_point now{};
                       for (auto const end : ends)
                       {
                           for (int i = 0; i < 6; ++i)
                           {
                               worker_entry* const worker =
                                   table.find(make_vm(end % size).vm_);
                               table.count(now, *worker, end % 3 == 0);
                           }
                           now += duration{end % 100000};
                           RC_ASSERT(table.ejected(now, pool) <= 3U);
                           RC_ASSERT(table.has_available_worker(now, pool));
                       }
                   });
}

TEST_CASE("a worker returns from an ejection with one dispatch at a time")
{
    request_options options;
    worker_table table(options);
    for (int i = 0; i < 4; ++i)
    {
        table.update(make_vm(i));
    }
    time_point now{};
    worker_entry& worker = *table.find(vm_id{"vm-0"});
    for (int i = 0; i < 5; ++i)
    {
        table.count(now, worker, false);
    }
    REQUIRE(worker.health_.ejected(now));
    CHECK(table.candidates(now, pool, {}, false).size() == 3);
    now += 1100ms;
    CHECK(table.candidates(now, pool, {}, false).size() == 4);
    CHECK(table.candidates(now, pool, {}, true).size() == 3);
    CHECK(worker.health_.limit(8) == 1);
    table.count(now, worker, true);
    CHECK(worker.health_.limit(8) == 2);
    table.count(now, worker, false);
    CHECK(worker.health_.ejected(now + 1900ms));
    CHECK_FALSE(worker.health_.ejected(now + 2100ms));
}

TEST_CASE("a leaving hint applies until the VM returns to service")
{
    request_options options;
    worker_table table(options);
    vm_entry vm = make_vm(0);
    table.update(vm);
    time_point const now{10s};
    CHECK(table.hint(now, vm.vm_, true));
    CHECK_FALSE(table.hint(now, vm.vm_, true));
    CHECK_FALSE(table.has_available_worker(now, pool));
    vm.phase_ = vm_phase::draining;
    ++vm.generation_;
    table.update(vm);
    vm.phase_ = vm_phase::serving;
    ++vm.generation_;
    table.update(vm);
    CHECK(table.has_available_worker(now, pool));
}
