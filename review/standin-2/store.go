package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store as PROTOCOL.md describes it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// pageItems and pageBytes bound a page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
	// answerTime is the time of an answer of the store.
	answerTime = 4 * time.Millisecond
)

// store is the stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// changed is closed at the next change.
	changed chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key without a condition, as the operator and the runners do.
func (st *store) put(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.write(key, value)
	st.wake()
}

func (st *store) write(key string, value []byte) {
	it, ok := st.items[key]
	if !ok {
		it.Created = st.revision
	}
	it.Key, it.Value, it.Revision = key, value, st.revision
	st.items[key] = it
	st.history = append(st.history, it)
}

func (st *store) delete(key string) {
	delete(st.items, key)
	st.history = append(st.history, item{Key: key, Revision: st.revision, Tombstone: true})
}

func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	time.Sleep(answerTime)
	query := rq.URL.Query()
	switch rq.Method + " " + rq.URL.Path {
	case "GET /v1/kv-key":
		st.serveKey(wr, query.Get("key"))
	case "GET /v1/kv-range":
		st.serveRange(wr, query.Get("prefix"), query.Get("after"))
	case "GET /v1/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		st.serveWatch(wr, rq, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "POST /v1/kv-txn":
		st.serveChange(wr, rq)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveKey(wr http.ResponseWriter, key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, ok := st.items[key]
	if !ok {
		reply(wr, http.StatusNotFound, map[string]any{"asOf": st.revision})
		return
	}
	reply(wr, http.StatusOK, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "asOf": st.revision})
}

func (st *store) serveRange(wr http.ResponseWriter, prefix, after string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var keys []string
	for key := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, bytes := []item{}, 0
	for _, key := range keys {
		if len(page) >= pageItems || bytes > pageBytes {
			break
		}
		page = append(page, st.items[key])
		bytes += len(st.items[key].Value)
	}
	reply(wr, http.StatusOK, map[string]any{"items": page, "truncated": len(page) < len(keys), "asOf": st.revision})
}

func (st *store) serveWatch(wr http.ResponseWriter, rq *http.Request, prefix string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		st.mu.Lock()
		events := []item{}
		first := sort.Search(len(st.history), func(ix int) bool { return st.history[ix].Revision > after })
		for _, it := range st.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		asOf, changed := st.revision, st.changed
		st.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-rq.Context().Done():
				return
			case <-deadline:
			}
		}
		reply(wr, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
		return
	}
}

// change is the body of a conditional write.
type change struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (st *store) serveChange(wr http.ResponseWriter, rq *http.Request) {
	var ch change
	if err := json.NewDecoder(rq.Body).Decode(&ch); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, ex := range ch.Expected {
		if st.items[ex.Key].Revision != ex.Revision {
			items := []item{}
			for _, other := range ch.Expected {
				if it, ok := st.items[other.Key]; ok {
					items = append(items, it)
				}
			}
			reply(wr, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	st.revision++
	for _, en := range ch.Writes {
		st.write(en.Key, en.Value)
	}
	for _, key := range ch.Remove {
		if _, ok := st.items[key]; ok {
			st.delete(key)
		}
	}
	st.wake()
	reply(wr, http.StatusOK, map[string]any{"revision": st.revision})
}

func reply(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}
