// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PLATFORM_ATTEMPT_HPP_INCLUDED
#define COURSEHEAD_PLATFORM_ATTEMPT_HPP_INCLUDED

#include "coursehead/platform/store.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace coursehead::platform {

//! Runs a store call and returns its value or its StoreError as an Attempt.
template <typename Call>
auto attempt( const Call& call ) {
    using Value = std::decay_t<decltype( call().value() )>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Attempt<Value>> {
            BOOST_LEAF_AUTO( value, call() );
            return Attempt<Value>{ true, std::move( value ), {} };
        },
        []( const StoreError& error ) {
            return Attempt<Value>{ false, {}, error };
        },
        [] {
            return Attempt<Value>{ false, {}, { StoreFailure::unknown, "unclassified" } };
        } );
}

//! Runs a store call that has no value. Sets `ok`, and returns the error if the call failed.
inline StoreError attemptVoid( const std::function<Result<void>()>& call, bool& ok ) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<StoreError> {
            BOOST_LEAF_CHECK( call() );
            ok = true;
            return StoreError{};
        },
        [&ok]( const StoreError& error ) {
            ok = false;
            return error;
        },
        [&ok] {
            ok = false;
            return StoreError{ StoreFailure::unknown, "unclassified" };
        } );
}

} // namespace coursehead::platform

#endif // COURSEHEAD_PLATFORM_ATTEMPT_HPP_INCLUDED
