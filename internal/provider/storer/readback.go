package storer

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/currantrouter/currantrouter/internal/process/pauser"
)

// ReadWriter is the part of the key-value service that PutResolved needs.
type ReadWriter interface {
	Get(ctx context.Context, key string) (Entry, error)
	Put(ctx context.Context, key string, value []byte, expected int64) (int64, error)
}

const (
	// maxResolveAttempts bounds the attempts to resolve one lost answer, so that a write ends with
	// ErrResultUnknown during an outage of the service instead of blocking.
	maxResolveAttempts = 4
	// meanResolveDelay is the mean delay before the first attempt. It doubles with each attempt.
	meanResolveDelay = 50 * time.Millisecond
)

// PutResolved writes a value by compare-and-swap and resolves a lost answer by reading the key
// back. The value must be one that no other writer writes, so that finding it proves that this
// write took effect. It returns the revision of the write. Errors are those of Put; ErrConflict
// and ErrUnavailable prove that nothing was written. ErrResultUnknown remains when the key could
// not be read back, or when the key holds another value, which may have replaced that of this write.
func PutResolved(ctx context.Context, st ReadWriter, key string, value []byte, expected int64) (int64, error) {
	rev, err := st.Put(ctx, key, value, expected)
	for at := 0; errors.Is(err, ErrResultUnknown) && at < maxResolveAttempts; at++ {
		if !pause(ctx, meanResolveDelay<<at) {
			return 0, err
		}
		rev, err = readBack(ctx, st, key, value, expected)
		if errors.Is(err, ErrConflict) {
			return 0, ErrResultUnknown
		}
	}
	return rev, err
}

// CreateResolved is PutResolved for a key that is written once and never changed. Another value
// under the key then proves that this write had no effect, and the error is ErrConflict.
func CreateResolved(ctx context.Context, st ReadWriter, key string, value []byte) (int64, error) {
	rev, err := st.Put(ctx, key, value, 0)
	for at := 0; errors.Is(err, ErrResultUnknown) && at < maxResolveAttempts; at++ {
		if !pause(ctx, meanResolveDelay<<at) {
			return 0, err
		}
		rev, err = readBack(ctx, st, key, value, 0)
	}
	return rev, err
}

// readBack reads the key, and repeats the write when the key is unchanged. The repetition is safe: if
// the first write is only delayed, one of the two fails with ErrConflict and the next readBack finds
// the other. ErrConflict means that the key holds another value.
func readBack(ctx context.Context, st ReadWriter, key string, value []byte, expected int64) (int64, error) {
	ent, err := st.Get(ctx, key)
	switch {
	case err == nil && bytes.Equal(ent.Value, value):
		return ent.Revision, nil
	case err == nil && ent.Revision != expected:
		return 0, ErrConflict
	case err != nil && !errors.Is(err, ErrNotFound):
		return 0, ErrResultUnknown
	case err != nil && expected != 0:
		return 0, ErrConflict
	}
	rev, err := st.Put(ctx, key, value, expected)
	if err == nil {
		return rev, nil
	}
	// A conflict may be caused by the first write, and an unavailable service proves nothing
	// about it. The next round reads the key.
	return 0, ErrResultUnknown
}

// pause waits for half to one and a half times the mean, and reports false when ctx ends first.
func pause(ctx context.Context, mean time.Duration) bool {
	return pauser.Sleep(ctx, mean/2+rand.N(mean))
}
