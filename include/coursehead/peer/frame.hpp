// SPDX-License-Identifier: BSL-1.0
#ifndef COURSEHEAD_PEER_FRAME_HPP_INCLUDED
#define COURSEHEAD_PEER_FRAME_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

//! Framing of messages inside a stream: a four-byte big-endian length, then that many bytes.
namespace coursehead::peer {

//! The largest frame either side accepts.
inline constexpr std::size_t maxFrameBytes = 4U << 20U;
inline constexpr std::size_t frameHeaderBytes = 4;

//! Appends a framed message to `out`.
void appendFrame( std::string& out, std::string_view message );

//! Cuts a byte stream into frames.
class FrameReader {
public:
    //! Takes bytes and appends each completed frame to `frames`; false once a frame is too large.
    bool feed( std::string_view bytes, std::vector<std::string>& frames );
    //! True when no frame is partly read.
    bool atBoundary() const noexcept { return m_partial.empty(); }
    //! Bytes of a frame that is not complete yet.
    std::size_t partialBytes() const noexcept { return m_partial.size(); }

private:
    std::string m_partial;
    bool m_bad = false;
};

} // namespace coursehead::peer

#endif // COURSEHEAD_PEER_FRAME_HPP_INCLUDED
