// SPDX-License-Identifier: BSL-1.0
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
