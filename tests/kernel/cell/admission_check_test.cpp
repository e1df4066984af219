#include "kernel/cell/admission_check.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace cuminfold;

namespace
{

struct load_case
{
    char const* name_;
    pool_capacity room_;
    std::vector<deadline_work> ahead_;
    deadline_work next_;
    bool taken_;
};

pool_capacity room_of(double workers, double incoming = 0, double lasting = 0)
{
    pool_capacity room;
    room.workers_ = workers;
    room.incoming_ = incoming;
    room.long_running_ = lasting;
    return room;
}

load_case const cases[] = {
    {"an empty pool", room_of(10), {}, {2, 5}, true},
    {"more than the pool can do in time", room_of(2), {}, {2, 5}, false},
    {"work that is due later lets it pass",
     room_of(10),
     {{20, 80}},
     {2, 5},
     true},
    {"work that is due sooner goes first",
     room_of(10),
     {{1.9, 19 * packing_efficiency - 1}},
     {2, 5},
     false},
    {"it would make accepted work late",
     room_of(10),
     {{3, 30 * packing_efficiency - 1}},
     {2, 5},
     false},
    {"what is late anyway does not count against it",
     room_of(10),
     {{3, 100}},
     {2, 5},
     true},
    {"what runs of late jobs holds its room",
     room_of(10),
     {{0, 20 * packing_efficiency - 1}},
     {2, 5},
     false},
    {"VMs on their way help a job that is due later",
     room_of(2, 10),
     {},
     {5, 20},
     true},
    {"VMs on their way come too late", room_of(2, 10), {}, {1.5, 4}, false},
    {"lasting tasks take their share", room_of(10, 0, 9), {}, {2, 5}, false},
};

} // namespace

TEST_CASE("a job is taken only if it makes nothing late")
{
    for (auto const& each : cases)
    {
        CAPTURE(each.name_);
        CHECK((excess_work(each.ahead_, each.next_, each.room_) <= 0) ==
              each.taken_);
    }
}
