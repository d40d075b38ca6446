// The controllers' own records in the state service. They are no part of the
// published protocol, but each version must read what the others wrote:
// tests/stored_forms_test.cc holds the bytes. An error in the result of a
// parser means that the record was damaged or written by something else.
#pragma once

#include <cstdint>
#include <string>

#include "base/parse_error.h"
#include "core/model/job.h"
#include "core/model/stored_records.h"

namespace sorrelwood::protocol {

// A job that has not ended. Its description has the field names of the
// published protocol.
std::string EncodeLiveJob(const LiveJob& job);
ParseResult<LiveJob> ParseLiveJob(const std::string& text);

// How a job ended.
std::string EncodeFinalState(FinalState state);
ParseResult<FinalState> ParseFinalState(const std::string& text);

// The present leader. The record goes with the leader's lease.
std::string EncodeLeaderRecord(const LeaderRecord& leader);
ParseResult<LeaderRecord> ParseLeaderRecord(const std::string& text);

// The latest term of any leader. The record stays.
std::string EncodeTerm(uint64_t term);
ParseResult<uint64_t> ParseTerm(const std::string& text);

// A request to the cloud for machines.
std::string EncodeProvisioningRecord(const ProvisioningRecord& request);
ParseResult<ProvisioningRecord> ParseProvisioningRecord(
    const std::string& text);

// A machine that tasks may be placed on.
std::string EncodeMachineRecord(const MachineRecord& machine);
ParseResult<MachineRecord> ParseMachineRecord(const std::string& text);

// Which tasks of a job are done.
std::string EncodeCompletionRecord(const CompletionRecord& record);
ParseResult<CompletionRecord> ParseCompletionRecord(const std::string& text);

}  // namespace sorrelwood::protocol
