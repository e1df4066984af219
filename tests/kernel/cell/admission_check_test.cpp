#include "kernel/cell/admission_check.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace cuminfold;

namespace
{

struct load_case
{
    char const* name_;
    pool_capacity pool_;
    std::vector<deadline_work> ahead_;
    deadline_work next_;
    bool accepted_;
};

pool_capacity make_capacity(double workers, double incoming = 0,
                            double long_running = 0)
{
    pool_capacity pool;
    pool.workers_ = workers;
    pool.incoming_ = incoming;
    pool.long_running_ = long_running;
    return pool;
}

load_case const cases[] = {
    {"an empty pool", make_capacity(10), {}, {2, 5}, true},
    {"more work than the pool can do in time",
     make_capacity(2),
     {},
     {2, 5},
     false},
    {"work with a later deadline does not delay it",
     make_capacity(10),
     {{20, 80}},
     {2, 5},
     true},
    {"work with an earlier deadline is done first",
     make_capacity(10),
     {{1.9, 19 * packing_efficiency - 1}},
     {2, 5},
     false},
    {"it would make accepted work miss its deadline",
     make_capacity(10),
     {{3, 30 * packing_efficiency - 1}},
     {2, 5},
     false},
    {"accepted work that is late in any case does not count against it",
     make_capacity(10),
     {{3, 100}},
     {2, 5},
     true},
    {"running tasks of late jobs occupy capacity",
     make_capacity(10),
     {{0, 20 * packing_efficiency - 1}},
     {2, 5},
     false},
    {"VMs that are moving to the pool count for a later deadline",
     make_capacity(2, 10),
     {},
     {5, 20},
     true},
    {"VMs that are moving to the pool arrive too late",
     make_capacity(2, 10),
     {},
     {1.5, 4},
     false},
    {"long-running tasks occupy capacity",
     make_capacity(10, 0, 9),
     {},
     {2, 5},
     false},
};

} // namespace

TEST_CASE("a job is accepted only if it makes no work late")
{
    for (auto const& each : cases)
    {
        CAPTURE(each.name_);
        CHECK((excess_work(each.ahead_, each.next_, each.pool_) <= 0) ==
              each.accepted_);
    }
}
