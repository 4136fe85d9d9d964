// Package wal stores a member's identity, log and snapshots in a data folder.
//
// The log is a chain of segment files, each a sequence of records: length, CRC-32C,
// type, payload. Each Append writes one record, so that after a crash at most the last
// record of the last segment can be incomplete. Such a record was never reported as
// durable and is truncated. Damage before a valid record makes Open fail.
//
// The identity is part of every segment header and snapshot file. A folder that lost
// its log has therefore also lost its identity and cannot vote twice in a term.
package wal
