// Package wal keeps a member's identity, log and snapshots in one data folder.
//
// The log is a chain of segment files, each a sequence of records: length, CRC-32C,
// type, payload. One Append writes one record, so that at most the last record of
// the last segment can be incomplete after a crash. Such a record was never
// reported durable and is cut. Damage in front of a valid record stops the start.
//
// The identity is part of every segment header and snapshot file. A folder whose log
// was lost has thus lost its identity too and cannot vote twice in a term.
package wal
