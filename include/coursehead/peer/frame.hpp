// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_FRAME_HPP_INCLUDED
#define COURSEHEAD_PEER_FRAME_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

//! Framing of messages in a stream: a four-byte big-endian length, then that many bytes.
namespace coursehead::peer {

//! Largest frame that either side accepts.
inline constexpr std::size_t maxFrameBytes = 4U << 20U;
inline constexpr std::size_t frameHeaderBytes = 4;

//! Appends a framed message to `out`.
void appendFrame( std::string& out, std::string_view message );

//! Splits a byte stream into frames.
class FrameReader {
public:
    //! Reads bytes and appends each completed frame to `frames`. Returns false from the first frame
    //! that is too large.
    bool feed( std::string_view bytes, std::vector<std::string>& frames );
    //! True when no frame is partially read.
    bool atBoundary() const noexcept { return m_partial.empty(); }
    //! Bytes received of the incomplete frame, with its header.
    std::size_t partialBytes() const noexcept { return m_partial.size(); }

private:
    std::string m_partial;
    bool m_failed = false;
};

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_FRAME_HPP_INCLUDED
