#pragma once

#include "process/consensus/messages.hpp"
#include "process/consensus/replica_record.hpp"
#include "process/consensus/snapshot_store.hpp"
#include "tests/recorded/sample.hpp"

/// A sample of each message and record of the consensus module.
namespace hatchfork::recorded {

inline Result<nlohmann::json> rereadEnvelope(std::string_view bytes) {
  const Result<consensus::Envelope> value = consensus::decodeEnvelope(bytes);
  if (!isOk(value)) return errorOf(value);
  return decodeCbor(consensus::encodeEnvelope(valueOf(value)));
}

inline void addConsensus(std::vector<Sample>& all) {
  const auto add = [&all](const std::string& name, const consensus::MessageBody& body) {
    consensus::Envelope envelope;
    envelope.from_incarnation = 77;
    envelope.to_incarnation = 78;
    envelope.term = 3;
    envelope.body = body;
    all.push_back({"consensus." + name, consensus::encodeEnvelope(envelope), rereadEnvelope});
  };
  consensus::Hello hello;
  hello.formed = true;
  hello.pinned = membership();
  hello.answer_wanted = true;
  add("hello", hello);
  consensus::VoteRequest vote;
  vote.candidate_term = 4;
  vote.last_index = 9;
  vote.last_term = 3;
  vote.pre_vote = true;
  vote.leadership_transfer = true;
  add("vote_request", vote);
  consensus::VoteReply vote_reply;
  vote_reply.candidate_term = 4;
  vote_reply.pre_vote = true;
  vote_reply.granted = true;
  add("vote_reply", vote_reply);
  consensus::Heartbeat heartbeat;
  heartbeat.round = 5;
  heartbeat.committed = 9;
  add("heartbeat", heartbeat);
  consensus::HeartbeatReply heartbeat_reply;
  heartbeat_reply.round = 5;
  add("heartbeat_reply", heartbeat_reply);
  consensus::LogEntry entry;
  entry.index = 9;
  entry.term = 3;
  entry.kind = consensus::EntryKind::kMembership;
  entry.payload = "payload";
  consensus::AppendRequest append;
  append.previous_index = 8;
  append.previous_term = 3;
  append.committed = 7;
  append.entries = {entry};
  add("append", append);
  consensus::AppendReply append_reply;
  append_reply.accepted = true;
  append_reply.index = 9;
  add("append_reply", append_reply);
  consensus::SnapshotChunk chunk;
  chunk.last_index = 9;
  chunk.last_term = 3;
  chunk.total_bytes = 100;
  chunk.offset = 10;
  chunk.data = "data";
  add("snapshot_chunk", chunk);
  consensus::SnapshotChunkReply chunk_reply;
  chunk_reply.last_index = 9;
  chunk_reply.next_offset = 14;
  add("snapshot_chunk_reply", chunk_reply);
  consensus::ReadIndexRequest read;
  read.number = 21;
  add("read_index", read);
  consensus::ReadIndexReply read_reply;
  read_reply.number = 21;
  read_reply.index = 9;
  add("read_index_reply", read_reply);
  add("timeout_now", consensus::TimeoutNow{});
  all.push_back({"log_entry", encodeStruct(entry), rereadStruct<consensus::LogEntry>});
  all.push_back({"membership", encodeStruct(membership()), rereadStruct<consensus::Membership>});
  consensus::SnapshotHeader header;
  header.index = 9;
  header.term = 3;
  header.membership = membership();
  all.push_back({"snapshot_header", encodeStruct(header), rereadStruct<consensus::SnapshotHeader>});
  consensus::ReplicaRecord record;
  record.incarnation = 77;
  record.boots = 2;
  record.term = 3;
  record.voted_for = ReplicaId("10.0.0.2");
  record.voted_for_incarnation = 78;
  record.joined = true;
  record.pinned = membership();
  record.may_form = false;
  all.push_back({"replica_record", encodeStruct(record), rereadStruct<consensus::ReplicaRecord>});
}

}  // namespace hatchfork::recorded
