//! Status query of operators to a single process.

#[derive(Clone, PartialEq, prost::Message)]
pub struct Status {}

#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusAck {
    #[prost(string, tag = "1")]
    pub json: String,
}
