// Package storer is the client of the platform's key-value service.
package storer

import (
	"errors"
)

// Errors of the key-value service. Callers test for them with errors.Is.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's revision is not the expected one. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrUnavailable means that the service did not process the call. Nothing was written.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrResultUnknown means that the answer was lost. The write may have taken effect.
	ErrResultUnknown = errors.New("result of the write is unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes. Nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrGap means that the service no longer knows all changes since the given revision. The
	// watcher has to read the state again.
	ErrGap = errors.New("changes since the revision are no longer known")
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the service's revision of the last write of the key. It is positive and rises
	// with every write to any key.
	Revision int64
	// Deleted is set only in the result of Wait, for a key that was removed.
	Deleted bool
}

// Page is a part of a listing.
type Page struct {
	Entries []Entry
	// Revision is the service's revision when the page was read.
	Revision int64
	// More is set if further entries may follow.
	More bool
}
