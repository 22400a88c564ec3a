//! The introduction of the two sides of a connection.

/// States the longest frame that its sender accepts. The client of a connection sends it before the
/// first frame that is longer than `FRAME_LIMIT` or whose reply may be; the server replies with its
/// own. A process that does not know this message ignores it and accepts `FRAME_LIMIT` bytes.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Hello {
    /// In bytes, without the length prefix.
    #[prost(uint64, tag = "1")]
    pub max_frame_bytes: u64,
}
