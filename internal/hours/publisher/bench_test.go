package publisher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/fleet/modeler"
	"github.com/currantrouter/currantrouter/internal/hours/counter"
	"github.com/currantrouter/currantrouter/internal/hours/publisher"
	"github.com/currantrouter/currantrouter/internal/provider/storer"
	"github.com/currantrouter/currantrouter/internal/telemetry/meter"
)

// sortedStore is a store whose entries are sorted by key.
type sortedStore struct {
	entries []storer.Entry
	lists   int
}

func (ss *sortedStore) List(_ context.Context, prefix, after string, limit int) ([]storer.Entry, error) {
	ss.lists++
	from, _ := slices.BinarySearchFunc(ss.entries, max(prefix, after+"\x00"), func(en storer.Entry, key string) int {
		return strings.Compare(en.Key, key)
	})
	end := from
	for end < len(ss.entries) && end-from < limit && strings.HasPrefix(ss.entries[end].Key, prefix) {
		end++
	}
	return ss.entries[from:end], nil
}

// BenchmarkBuild measures a page of yesterday without cached or in-memory reports.
func BenchmarkBuild(b *testing.B) {
	midnight := time.Now().UTC().Truncate(24*time.Hour).AddDate(0, 0, -1)
	for _, size := range []struct{ hosts, services int }{{9, 1}, {100, 1}, {100, 140}} {
		b.Run(fmt.Sprintf("hosts=%d/services=%d", size.hosts, size.services), func(b *testing.B) {
			ss, bytes := new(sortedStore), 0
			for num := range 24 * size.hosts {
				rp := counter.Report{
					Source:   counter.Source{Host: modeler.HostName(fmt.Sprint("entry-", num%size.hosts)), Boot: "boot", Hour: midnight.Add(time.Duration(num/size.hosts) * time.Hour)},
					Services: map[modeler.ServiceName]counter.Counts{},
				}
				for svc := range size.services {
					rp.Services[modeler.ServiceName(fmt.Sprint("service-", svc))] = counter.Counts{Answered: 100_000 + int64(num)}
				}
				doc, err := json.Marshal(rp)
				qt.Assert(b, err, qt.IsNil)
				ss.entries = append(ss.entries, storer.Entry{Key: rp.Key(), Value: doc, Revision: 1})
				bytes += len(doc)
			}
			slices.SortFunc(ss.entries, func(x, y storer.Entry) int { return strings.Compare(x.Key, y.Key) })
			fx, pages := new(fixture), 0
			for b.Loop() {
				pages++
				pb := publisher.New(ss, fx, fx, fx, time.UTC, logr.Discard(), meter.New(nil))
				_, err := pb.Page(b.Context(), midnight.Format(time.DateOnly))
				qt.Assert(b, err, qt.IsNil)
			}
			b.ReportMetric(float64(ss.lists)/float64(pages), "lists/page")
			b.ReportMetric(float64(bytes), "B/page")
		})
	}
}
