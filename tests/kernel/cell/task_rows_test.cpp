#include "kernel/cell/task_rows.hpp"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace cuminfold;

TEST_CASE("numbers of tasks are read back as they were written")
{
    task_numbers const numbers = {{{job_id{}, 0, 0, 3}, 1},
                                  {{job_id{}, 2, 1, 0}, 5}};
    CHECK(decode_task_numbers(encode(numbers)) == numbers);
    CHECK(decode_task_numbers("").empty());
    for (auto const* const text : {"x", "0 0 0", "0 0 0 1 2"})
    {
        CHECK_THROWS_AS(decode_task_numbers(text), std::invalid_argument);
    }
}
