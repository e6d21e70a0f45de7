package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. Its answers are linearizable, and it keeps
// its whole history. Each daemon has a listener of its own, so that a fault can apply to one of them.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key unconditionally, as the operator and the runners do.
func (st *store) put(key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.revision++
	st.write(key, value)
	st.notify()
}

// remove deletes a key.
func (st *store) remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, ok := st.items[key]; !ok {
		return
	}
	st.revision++
	st.erase(key)
	st.notify()
}

func (st *store) write(key string, value []byte) {
	it := item{Key: key, Value: value, Revision: st.revision, Created: st.revision}
	if old, ok := st.items[key]; ok {
		it.Created = old.Created
	}
	st.items[key] = it
	st.history = append(st.history, it)
}

func (st *store) erase(key string) {
	delete(st.items, key)
	st.history = append(st.history, item{Key: key, Revision: st.revision, Tombstone: true})
}

func (st *store) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// listen serves the store on a free loopback port and returns its address.
func (st *store) listen() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(ln, st) }()
	return ln.Addr().String()
}

func (st *store) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	switch rq.URL.Path {
	case "/v1/kv-key":
		st.mu.Lock()
		it, ok := st.items[query.Get("key")]
		st.mu.Unlock()
		if !ok {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
		reply(wr, http.StatusOK, it)
	case "/v1/kv-range":
		st.serveRange(wr, query.Get("prefix"), query.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		st.serveWatch(wr, rq, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "/v1/kv-txn":
		st.serveTransaction(wr, rq)
	default:
		wr.WriteHeader(http.StatusNotFound)
	}
}

func (st *store) serveRange(wr http.ResponseWriter, prefix, after string) {
	st.mu.Lock()
	items, truncated := []item{}, false
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	asOf := st.revision
	st.mu.Unlock()
	sort.Slice(items, func(one, two int) bool { return items[one].Key < items[two].Key })
	if len(items) > 500 {
		items, truncated = items[:500], true
	}
	reply(wr, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "asOf": asOf})
}

func (st *store) serveWatch(wr http.ResponseWriter, rq *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
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
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-rq.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			reply(wr, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (st *store) serveTransaction(wr http.ResponseWriter, rq *http.Request) {
	var txn struct {
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
	if json.NewDecoder(rq.Body).Decode(&txn) != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	current := []item{}
	failed := false
	for _, ex := range txn.Expected {
		it, ok := st.items[ex.Key]
		if ok {
			current = append(current, it)
		}
		failed = failed || it.Revision != ex.Revision
	}
	if failed {
		reply(wr, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	st.revision++
	for _, wt := range txn.Writes {
		st.write(wt.Key, wt.Value)
	}
	for _, key := range txn.Remove {
		if _, ok := st.items[key]; ok {
			st.erase(key)
		}
	}
	st.notify()
	reply(wr, http.StatusOK, map[string]any{"revision": st.revision})
}

func reply(wr http.ResponseWriter, status int, document any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(document)
}
