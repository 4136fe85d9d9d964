// Package wal is under construction.
package wal
